#include "verbenaridge/ingress/directory_service.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/base/compression.h"
#include "verbenaridge/base/hash.h"
#include "verbenaridge/ingress/wire_conversions.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::ingress {
namespace {

using telemetry::Level;
using telemetry::Log;

// A gap of this length between two ticks means that the process or its host was suspended.
constexpr Duration kStallThreshold = std::chrono::milliseconds(900);
// Reads reported by peers that are older than this are ignored.
constexpr Duration kMaxPeerAge = std::chrono::seconds(5);
// Limits what this host decompresses for a peer. The platform's store holds values of up to 1 MB.
constexpr std::size_t kMaxDocumentBytes = std::size_t{8} * 1024 * 1024;
// A snapshot without changes updates the age of the endpoints and the number of hosts.
constexpr Duration kPublishPeriod = std::chrono::seconds(1);
// Age of a value that was never read.
constexpr Duration kNeverReadAge = std::chrono::hours(1);
// Gossip is sent right after a read. Relayed values count as newer only with a margin, because
// their age does not include the time that they waited on slow hosts. The margin is shorter than
// the time between two reads.
constexpr Duration kFreshReadAge = std::chrono::milliseconds(20);
constexpr Duration kRelayMargin = std::chrono::milliseconds(250);
// Added to the age of a read that this host knows from a peer, for the time that the gossip took.
// Without it each datagram makes a read look younger by its delay. Relays by hosts that the store
// rejects then passed for new reads without end, and the host that the store served waited for
// them: with delays of 20 ms no version arrived for 6 s.
constexpr Duration kMaxGossipDelay = std::chrono::milliseconds(100);

double Milliseconds(Duration duration) { return ToSeconds(duration) * 1000; }

std::string_view ToText(directory::EndpointTable::Change::Kind kind) {
  using Kind = directory::EndpointTable::Change::Kind;
  switch (kind) {
    case Kind::kAdded:
      return "added";
    case Kind::kRestarted:
      return "restarted";
    case Kind::kDraining:
      return "draining";
    case Kind::kRemoved:
      return "removed";
    case Kind::kMoved:
      return "moved";
  }
  return "unknown";
}

}  // namespace

DirectoryService::DirectoryService(asio::io_context& io_context, const DirectoryOptions& options,
                                   directory::DirectoryStore& store, const Clock& clock,
                                   RandomSource& random, DirectoryOutputs outputs)
    : DirectoryService(
          std::make_unique<SocketDirectoryLink>(io_context,
                                                PeerDirectory::Options{.self = options.self,
                                                                       .ip = options.ip,
                                                                       .port = options.port,
                                                                       .keys = options.keys},
                                                clock),
          options, store, clock, random, std::move(outputs)) {}

DirectoryService::DirectoryService(std::unique_ptr<DirectoryLink> link,
                                   const DirectoryOptions& options,
                                   directory::DirectoryStore& store, const Clock& clock,
                                   RandomSource& random, DirectoryOutputs outputs)
    : options_(options),
      store_(store),
      clock_(clock),
      random_(random),
      outputs_(std::move(outputs)),
      peers_({.host = options.self,
              .ip = options.ip,
              .data_centre = options.data_centre,
              .capacity = options.capacity,
              .incarnation = options.incarnation},
             options.peers),
      link_(std::move(link)),
      configuration_schedule_(options.refresh, random, clock.Now()),
      endpoints_schedule_(options.refresh, random, clock.Now()) {
  SetEndpointHeartbeat(options.endpoint_heartbeat);
  AddSeeds(options.seeds);
}

void DirectoryService::AddSeeds(std::span<const std::string> seeds) {
  for (const std::string& seed : seeds) peers_.AddSeed(seed);
}

void DirectoryService::SetEndpointHeartbeat(Duration heartbeat) { table_.SetHeartbeat(heartbeat); }

Status DirectoryService::Open() { return link_->Open(*this); }

void DirectoryService::Start() {
  started_ = true;
  last_tick_ = clock_.Now();
  SendGossip(/*news=*/false);
  Tick();
}

std::uint64_t DirectoryService::version() const {
  return configuration_ == nullptr ? 0 : configuration_->version();
}

void DirectoryService::Tick() {
  if (!started_) return;
  const TimePoint now = clock_.Now();
  DetectStall(now);
  if (evacuations_.has_lost() && now >= forget_lost_evacuations_) {
    OnEvacuationsChanged(evacuations_.ForgetLost(), "restore");
  }
  if (configuration_schedule_.IsDue(now)) ReadConfiguration();
  if (endpoints_schedule_.IsDue(now) && MayReadEndpoints()) ReadEndpoints();
  for (const auto& [host, incarnation] : peers_.RemoveTimedOut(now)) {
    Log(Level::kInfo, "peer_silent", {{"peer", host.value()}, {"hosts", peers_.live_hosts()}});
    outputs_.peer_gone(incarnation);
  }
  if (now - last_gossip_ >= peers_.RoundInterval(now)) SendGossip(/*news=*/false);
  if (newer_ && !IsNewer(*newer_)) newer_.reset();
  if (newer_ && now - newer_->first_reported >= options_.local_wait) Fetch();
  SetIntervals();
  std::pair<bool, std::vector<std::string>> schedulers{peers_.IsScheduler(), peers_.Schedulers()};
  if (schedulers == published_schedulers_) return;
  Log(Level::kInfo, "keepers_changed",
      {{"self", schedulers.first},
       {"others", schedulers.second.size()},
       {"hosts", peers_.live_hosts()}});
  const bool became_scheduler = schedulers.first && !published_schedulers_.first;
  published_schedulers_ = schedulers;
  // At its start a host reads anyway.
  if (became_scheduler && ready()) {
    configuration_schedule_.OnPeerDiffers(now);
    endpoints_schedule_.OnPeerDiffers(now);
  }
  outputs_.schedulers(schedulers.first, std::move(schedulers.second));
}

void DirectoryService::SetIntervals() {
  const bool scheduler = published_schedulers_.first;
  const std::size_t readers =
      scheduler ? 1 + published_schedulers_.second.size() : peers_.live_hosts();
  directory::RefreshIntervals intervals = scheduler ? options_.refresh.others : options_.passive;
  intervals.retry_delay = std::clamp<Duration>(options_.outage_interval * readers,
                                               std::chrono::seconds(1), options_.max_retry_delay);
  configuration_schedule_.SetIntervals(intervals);
  endpoints_schedule_.SetIntervals(intervals);
}

void DirectoryService::DetectStall(TimePoint now) {
  const Duration gap = now - std::exchange(last_tick_, now);
  if (gap < kStallThreshold) return;
  Log(Level::kWarning, "pause_noticed", {{"gap_ms", Milliseconds(gap)}});
  configuration_schedule_.OnPeerDiffers(now);
  endpoints_schedule_.OnPeerDiffers(now);
}

void DirectoryService::RecordRead(directory::RefreshSchedule& schedule, std::string_view value) {
  const TimePoint now = clock_.Now();
  const bool takes_over = !schedule.is_reader() && schedule.last_current() != TimePoint{};
  if (takes_over) {
    Log(Level::kInfo, "reader_changed",
        {{"value", value},
         {"since_read_ms", Milliseconds(now - schedule.last_current())},
         {"failures", schedule.failures()}});
  }
  schedule.OnReadSucceeded(now);
}

// While the store does not serve this host, or a host takes over the reading and does not know yet
// whether it does, the configuration alone is asked for.
bool DirectoryService::MayReadEndpoints() const {
  if (!table_.loaded() || endpoints_schedule_.is_reader()) return true;
  return store_works_ && !configuration_schedule_.read_in_progress();
}

void DirectoryService::ReadEndpoints() {
  endpoints_schedule_.OnReadStarted(clock_.Now());
  endpoints_read_started_ = endpoints_position_;
  store_.ReadEndpoints(WhileAlive<directory::StoredEndpoints>(
      [this](Result<directory::StoredEndpoints> stored) { OnEndpointsRead(std::move(stored)); }));
}

void DirectoryService::OnEndpointsRead(Result<directory::StoredEndpoints> stored) {
  if (stored.has_error()) {
    endpoints_schedule_.OnReadFailed(clock_.Now());
    if (store_works_) configuration_schedule_.OnOtherReadFailed(clock_.Now());
    table_.OnReadFailed(clock_.Now());
    SetStoreWorks(false, stored.error());
    Fetch();
    return;
  }
  SetStoreWorks(true, {});
  const directory::StorePosition& position = stored.value().position;
  // A response that waited, as in a freeze of this host. One that is older than what was known when
  // the read started is of a store that went back without telling an era.
  if (position.known() && position < endpoints_position_ && position >= endpoints_read_started_) {
    Log(Level::kInfo, "endpoints_read_outdated",
        {{"revision", position.revision},
         {"era", position.era},
         {"known_revision", endpoints_position_.revision},
         {"known_era", endpoints_position_.era}});
    endpoints_schedule_.OnReadOutdated(clock_.Now());
    return;
  }
  RecordRead(endpoints_schedule_, "endpoints");
  SetEndpointsPosition(position);
  ApplyEndpoints(std::move(stored.value().endpoints), "store");
  SendGossip(/*news=*/true);
}

bool DirectoryService::IsNewerList(const directory::StorePosition& position, TimePoint read) const {
  if (!table_.loaded()) return true;
  if (position.era != endpoints_position_.era) return position.era > endpoints_position_.era;
  const bool comparable = position.known() && endpoints_position_.known();
  if (comparable && position != endpoints_position_) return position > endpoints_position_;
  return read > endpoints_schedule_.last_current();
}

directory::StorePosition DirectoryService::ReportedPosition(directory::StoreEra era,
                                                            std::uint64_t revision) const {
  if (era == 0 && revision == 0) return {.era = endpoints_position_.era};
  return {.era = era, .revision = revision};
}

void DirectoryService::SetEndpointsPosition(const directory::StorePosition& position) {
  const directory::StorePosition before = std::exchange(endpoints_position_, position);
  // Without entries there is nothing that the copy may contradict. Era 0 with entries is that of a
  // store that counts from 0, or not told by a peer of an earlier release.
  if (position.era <= before.era || !table_.loaded()) return;
  Log(Level::kInfo, "endpoints_restored", {{"era", position.era}, {"before", before.era}});
  table_.OnStoreRestored(clock_.Now());
}

void DirectoryService::ApplyEndpoints(std::vector<directory::Endpoint> entries,
                                      std::string_view source) {
  directory::SortById(entries);
  const Digest digest = directory::DigestOf(entries);
  if (digest == last_digest_ && HandleUnchangedEndpoints()) return;
  if (digest != last_digest_) history_.Record(last_entries_, entries);
  last_digest_ = digest;
  last_entries_ = entries;
  ApplyToTable(std::move(entries), source);
}

// Snapshots are large if there are many endpoints, so unchanged ones are published rarely.
bool DirectoryService::HandleUnchangedEndpoints() {
  const TimePoint now = clock_.Now();
  if (!table_.OnEntriesUnchanged(now)) return false;
  if (now - last_published_ >= kPublishPeriod) Publish();
  return true;
}

void DirectoryService::ApplyToTable(std::vector<directory::Endpoint> entries,
                                    std::string_view source) {
  for (const auto& change : table_.OnEntriesRead(std::move(entries), clock_.Now())) {
    Log(Level::kInfo, "endpoint_changed",
        {{"endpoint", change.endpoint.id.value()},
         {"change", ToText(change.kind)},
         {"service", change.endpoint.service.value()},
         {"data_centre", change.endpoint.data_centre.value()},
         {"source", source}});
  }
  Publish();
}

void DirectoryService::OnGossip(const wire::DirectoryGossip& gossip, const std::string& ip) {
  const TimePoint now = clock_.Now();
  if (gossip.leaving) {
    if (const auto gone = peers_.OnLeaving(gossip.sender)) outputs_.peer_gone(*gone);
    return;
  }
  const PeerList::GossipResult result = peers_.OnGossip({.host = gossip.sender,
                                                         .ip = ip,
                                                         .data_centre = gossip.data_centre,
                                                         .capacity = gossip.capacity,
                                                         .incarnation = gossip.incarnation,
                                                         .is_scheduler = gossip.is_scheduler,
                                                         .live_hosts = gossip.live_hosts},
                                                        gossip.is_reply, now);
  for (const wire::PeerEntry& peer : gossip.peers) {
    peers_.OnMentioned({.host = peer.host,
                        .ip = peer.ip,
                        .data_centre = peer.data_centre,
                        .capacity = peer.capacity,
                        .is_scheduler = peer.is_scheduler},
                       now);
  }
  if (result.change == PeerList::Change::kRestarted) outputs_.peer_gone(result.previous);
  if (result.change != PeerList::Change::kNone) {
    Log(Level::kInfo, "peer_heard",
        {{"peer", gossip.sender.value()},
         {"restarted", result.change == PeerList::Change::kRestarted},
         {"hosts", peers_.live_hosts()}});
    outputs_.peer_started();
  }
  if (result.reply) SendGossip({.addresses = {ip}, .with_sample = true, .is_reply = true});
  if (!gossip.suspected_keys.empty() || !gossip.crash_refusals.empty() ||
      !gossip.refuted_keys.empty()) {
    outputs_.crash_notice(CrashNoticeOf(gossip, now));
  }
  OnEvacuationGossip(gossip);
  OnConfigurationGossip(gossip, ip);
  OnEndpointsGossip(gossip, ip);
}

void DirectoryService::OnConfigurationGossip(const wire::DirectoryGossip& gossip,
                                             const std::string& ip) {
  const TimePoint now = clock_.Now();
  if (gossip.configuration_version > version()) {
    OnPeerHasNewer(gossip, ip);
  } else if (gossip.configuration_version == version() && gossip.configuration_age <= kMaxPeerAge &&
             gossip.evacuation_era >= evacuations_.view().position.era &&
             Replaces(configuration_schedule_, gossip)) {
    if (configuration_schedule_.OnPeerRead(now - gossip.configuration_age)) RelayGossip();
  }
}

void DirectoryService::OnEndpointsGossip(const wire::DirectoryGossip& gossip,
                                         const std::string& ip) {
  if (gossip.endpoints_age > kMaxPeerAge) return;
  const TimePoint read = clock_.Now() - gossip.endpoints_age;
  const directory::StorePosition position =
      ReportedPosition(gossip.endpoints_era, gossip.endpoints_revision);
  if (gossip.endpoints_digest == last_digest_ && table_.loaded()) {
    if (position.known() && position < endpoints_position_) return;  // of an earlier read
    // The entries are the same at both positions.
    if (position > endpoints_position_) SetEndpointsPosition(position);
    if (!Replaces(endpoints_schedule_, gossip)) return;
    if (!endpoints_schedule_.OnPeerRead(read)) return;
    if (!HandleUnchangedEndpoints()) ApplyToTable(last_entries_, "peer");
    RelayGossip();
    return;
  }
  const Duration margin = gossip.endpoints_age < kFreshReadAge ? Duration{} : kRelayMargin;
  const bool reported_before = newer_ && newer_->endpoints_digest == gossip.endpoints_digest;
  if (IsNewerList(position, reported_before ? TimePoint::max() : read - margin)) {
    OnPeerHasNewer(gossip, ip);
  }
}

// A scheduler that the store serves does not wait for the reads of a host that is none: such a host
// tells only schedulers, and all the others would miss the news, read themselves and become readers
// one after the other (6,400 calls on a day of 132 hosts after a restart of all).
bool DirectoryService::Replaces(const directory::RefreshSchedule& schedule,
                                const wire::DirectoryGossip& gossip) const {
  return gossip.is_scheduler || !peers_.IsScheduler() || schedule.failures() > 0;
}

void DirectoryService::RelayGossip() {
  if (!peers_.IsScheduler()) return;
  if (configuration_schedule_.failures() > 0 || endpoints_schedule_.failures() > 0) {
    SendGossip(/*news=*/true);
  } else if (peers_.IsSettling(clock_.Now())) {
    SendGossip({.addresses = peers_.LocalTargets()});
  }
}

void DirectoryService::RelayChange() {
  if (!peers_.IsScheduler()) return;
  if (configuration_schedule_.failures() > 0 || endpoints_schedule_.failures() > 0) {
    SendGossip(/*news=*/true);
  } else {
    SendGossip({.addresses = peers_.LocalTargets()});
  }
}

void DirectoryService::OnPeerHasNewer(const wire::DirectoryGossip& gossip, const std::string& ip) {
  const TimePoint now = clock_.Now();
  newer_ = NewerValue{
      .ip = ip,
      .version = gossip.configuration_version,
      .endpoints_digest = gossip.endpoints_digest,
      .endpoints_position = ReportedPosition(gossip.endpoints_era, gossip.endpoints_revision),
      .endpoints_read = now - gossip.endpoints_age,
      .first_reported = newer_ ? newer_->first_reported : now};
  // Hosts that are not schedulers fetch from one of their data centre if it reports the change in
  // time, since two hosts cannot send a large value to all others.
  const bool local = gossip.data_centre == options_.data_centre;
  if (peers_.IsScheduler() || local || !peers_.HasLocalScheduler()) Fetch();
}

bool DirectoryService::IsNewer(const NewerValue& value) const {
  if (value.version > version()) return true;
  if (!table_.loaded()) return true;
  return value.endpoints_digest != last_digest_ &&
         IsNewerList(value.endpoints_position, value.endpoints_read);
}

void DirectoryService::SetCrashNotice(CrashNotice notice) {
  crash_notice_ = std::move(notice);
  if (peers_.IsScheduler()) SendGossip({.addresses = peers_.GossipTargets()});
}

Duration DirectoryService::AgeToReport(const directory::RefreshSchedule& schedule) const {
  const Duration age = clock_.Now() - schedule.last_current();
  return schedule.is_reader() ? age : age + kMaxGossipDelay;
}

void DirectoryService::SendGossip(bool news) {
  last_gossip_ = clock_.Now();
  PeerList::GossipRound round = peers_.StartRound(last_gossip_, news);
  // Otherwise each host would read itself and become a reader: 12,500 calls in 55 s where 132 hosts
  // had schedulers of an earlier release only, 230 without them.
  if (news && !peers_.IsScheduler() && heard_earlier_scheduler_ &&
      last_gossip_ - *heard_earlier_scheduler_ < kMaxPeerAge) {
    round.addresses = peers_.KnownAddresses();
  }
  SendGossip(round);
}

void DirectoryService::SendGossip(const PeerList::GossipRound& round) {
  wire::DirectoryGossip gossip{
      .sender = options_.self,
      .ip = options_.ip,
      .incarnation = options_.incarnation,
      .configuration_version = version(),
      .configuration_age = AgeToReport(configuration_schedule_),
      .endpoints_digest = last_digest_,
      .endpoints_age = table_.loaded() ? AgeToReport(endpoints_schedule_) : kNeverReadAge,
      .data_centre = options_.data_centre,
      .capacity = options_.capacity,
      .is_scheduler = peers_.IsScheduler(),
      .live_hosts = peers_.live_hosts(),
      .is_reply = round.is_reply,
      .evacuation_revision = evacuations_.view().position.revision,
      .evacuated = evacuations_.view().data_centres,
      .evacuation_era = evacuations_.view().position.era,
      .endpoints_era = endpoints_position_.era,
      .endpoints_revision = endpoints_position_.revision};
  AddCrashNotice(crash_notice_, clock_.Now(), gossip);
  if (round.with_sample) {
    for (const KnownHost& peer : peers_.Sample(random_)) {
      gossip.peers.push_back(
          {peer.host, peer.ip, peer.data_centre, peer.capacity, peer.is_scheduler});
    }
  }
  const wire::Datagram datagram = std::move(gossip);
  for (const std::string& ip : round.addresses) {
    const Status sent = link_->Send(ip, datagram);
    if (sent.has_error()) {
      Log(Level::kDebug, "notice_dropped", {{"peer", ip}, {"error", sent.error().message()}});
    }
  }
}

void DirectoryService::AnnounceLeaving() {
  const wire::Datagram datagram = wire::DirectoryGossip{.sender = options_.self,
                                                        .ip = options_.ip,
                                                        .incarnation = options_.incarnation,
                                                        .leaving = true};
  for (const std::string& ip : peers_.GossipTargets()) {
    // If the datagram is lost, the peers detect the end of this host by its timeout.
    (void)link_->Send(ip, datagram);
  }
}

void DirectoryService::Fetch() {
  if (fetching_) return;
  std::string ip;
  if (newer_) {
    ip = newer_->ip;
  } else {
    const auto sample = peers_.Sample(random_);
    if (sample.empty()) return;
    ip = sample[random_.Below(sample.size())].ip;
  }
  newer_.reset();
  fetching_ = true;
  const Digest endpoints = table_.loaded() ? last_digest_ : 0;
  link_->Fetch(
      ip,
      {.have_version = version(),
       .have_endpoints_digest = endpoints,
       .accepts_difference = !std::exchange(fetch_all_endpoints_, false)},
      WhileAlive<wire::FetchDirectoryReply>([this, ip](Result<wire::FetchDirectoryReply> reply) {
        fetching_ = false;
        OnFetched(std::move(reply), ip);
        // A peer may have reported another change during the call.
        if (newer_ && IsNewer(*newer_)) {
          Fetch();
        } else {
          newer_.reset();
        }
      }));
}

void DirectoryService::OnFetched(Result<wire::FetchDirectoryReply> reply, const std::string& ip) {
  if (reply.has_error()) {
    Log(Level::kInfo, "peer_not_answering", {{"peer", ip}, {"error", reply.error().message()}});
    configuration_schedule_.OnPeerDiffers(clock_.Now());
    endpoints_schedule_.OnPeerDiffers(clock_.Now());
    return;
  }
  wire::FetchDirectoryReply content = std::move(reply).value();
  const bool new_configuration = AdoptFetchedConfiguration(content, ip);
  const bool new_endpoints = AdoptFetchedEndpoints(content, ip);
  if (new_configuration || new_endpoints) RelayChange();
}

bool DirectoryService::AdoptFetchedConfiguration(wire::FetchDirectoryReply& content,
                                                 const std::string& ip) {
  if (content.configuration.empty() || content.configuration_version <= version()) return false;
  Result<std::shared_ptr<const directory::Configuration>> decoded =
      DecodeDocument(content.configuration);
  if (decoded.has_error()) {
    Log(Level::kError, "configuration_malformed", {{"peer", ip}});
    return false;
  }
  if (!Adopt(std::move(decoded).value(), "peer")) return false;
  compressed_document_ = std::move(content.configuration);
  return true;
}

bool DirectoryService::AdoptFetchedEndpoints(const wire::FetchDirectoryReply& content,
                                             const std::string& ip) {
  const TimePoint read = clock_.Now() - content.endpoints_age;
  const directory::StorePosition position =
      ReportedPosition(content.endpoints_era, content.endpoints_revision);
  if (!content.has_endpoints || content.endpoints_age > kMaxPeerAge) return false;
  if (!IsNewerList(position, read)) return false;
  std::optional<std::vector<directory::Endpoint>> entries = EntriesOf(content);
  if (!entries) {
    Log(Level::kInfo, "endpoint_difference_unusable",
        {{"peer", ip}, {"changed", content.endpoints.size()}});
    fetch_all_endpoints_ = true;
    return false;
  }
  endpoints_schedule_.OnPeerRead(read);
  SetEndpointsPosition(position);
  ApplyEndpoints(std::move(*entries), "peer");
  return true;
}

std::optional<std::vector<directory::Endpoint>> DirectoryService::EntriesOf(
    const wire::FetchDirectoryReply& content) const {
  std::vector<directory::Endpoint> entries;
  entries.reserve(content.endpoints.size());
  for (const wire::EndpointEntry& entry : content.endpoints) entries.push_back(FromWire(entry));
  if (content.base_endpoints_digest == 0) return entries;
  if (content.base_endpoints_digest != last_digest_) return std::nullopt;
  entries = directory::Apply(last_entries_, {.base = content.base_endpoints_digest,
                                             .result = content.endpoints_digest,
                                             .changed = std::move(entries),
                                             .removed = content.removed_endpoints});
  if (directory::DigestOf(entries) != content.endpoints_digest) return std::nullopt;
  return entries;
}

Result<std::shared_ptr<const directory::Configuration>> DirectoryService::DecodeDocument(
    std::string_view compressed) const {
  BOOST_OUTCOME_TRY(document, Decompress(compressed, kMaxDocumentBytes));
  return store_.Decode(document);
}

wire::FetchDirectoryReply DirectoryService::Content(const wire::FetchDirectoryRequest& have) const {
  wire::FetchDirectoryReply reply{
      .configuration_version = version(),
      .has_endpoints = table_.loaded() && have.have_endpoints_digest != last_digest_};
  if (version() > have.have_version) reply.configuration = compressed_document_;
  if (!reply.has_endpoints) return reply;
  reply.endpoints_age = endpoints_age();
  reply.endpoints_digest = last_digest_;
  reply.endpoints_era = endpoints_position_.era;
  reply.endpoints_revision = endpoints_position_.revision;
  std::optional<directory::EndpointDifference> difference;
  if (have.accepts_difference) difference = history_.Since(have.have_endpoints_digest);
  if (difference) {
    reply.base_endpoints_digest = difference->base;
    reply.removed_endpoints = std::move(difference->removed);
  }
  for (const directory::Endpoint& entry : difference ? difference->changed : last_entries_) {
    reply.endpoints.push_back(ToWire(entry));
  }
  return reply;
}

void DirectoryService::SetStoreWorks(bool works, std::error_code error) {
  if (std::exchange(store_works_, works) == works) return;
  if (works) {
    endpoints_schedule_.OnOtherReadSucceeded(clock_.Now());
    Log(Level::kInfo, "store_regained", {{"endpoints_age_ms", Milliseconds(endpoints_age())}});
  } else {
    Log(Level::kWarning, "store_lost", {{"error", error.message()}});
  }
}

void DirectoryService::Publish() {
  last_published_ = clock_.Now();
  auto snapshot = std::make_shared<forwarding::DirectorySnapshot>();
  // Without it no request is served.
  if (knows_evacuations()) snapshot->configuration = configuration_;
  snapshot->evacuated = evacuations_.in_force();
  published_evacuations_ = evacuations_.known();
  snapshot->endpoints = table_.endpoints();
  snapshot->endpoints_read = endpoints_schedule_.last_current();
  snapshot->hosts = peers_.RecentMaxHosts(clock_.Now());
  snapshot->live_hosts = peers_.live_hosts();
  outputs_.snapshot(std::move(snapshot));
}

}  // namespace verbenaridge::ingress
