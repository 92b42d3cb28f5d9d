#include "verbenaridge/ingress/directory_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "verbenaridge/base/compression.h"
#include "verbenaridge/base/hash.h"
#include "verbenaridge/ingress/wire_conversions.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::ingress {
namespace {

using telemetry::Level;
using telemetry::Log;

constexpr Duration kTick = std::chrono::milliseconds(40);
// Ticks this far apart mean that the process or its host stood still.
constexpr Duration kPause = std::chrono::milliseconds(900);
// A reading that a peer passed on is of use only if it is newer than the own one.
constexpr Duration kMaxPeerAge = std::chrono::seconds(5);
// The platform's store holds values of up to 1 MB; beyond that a peer sends nonsense.
constexpr std::size_t kMaxDocumentBytes = std::size_t{8} * 1024 * 1024;
// A snapshot without news tells the age of the endpoints, and how many hosts share the bounds.
constexpr Duration kPublishPeriod = std::chrono::seconds(1);
// The age of what was never read.
constexpr Duration kNever = std::chrono::hours(1);
// A notice follows a reading at once. What was passed on by others is trusted to be newer only with
// a margin, since its age leaves out what it waited on slow hosts.
constexpr Duration kJustRead = std::chrono::milliseconds(20);
constexpr Duration kRelayMargin = std::chrono::milliseconds(500);

double Milliseconds(Duration duration) { return ToSeconds(duration) * 1000; }

Digest DigestOf(std::vector<directory::Endpoint>& entries) {
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  Digest digest = 1;
  for (const directory::Endpoint& entry : entries) {
    digest = CombineDigests(
        digest, HashOf({entry.id.value(), entry.service.value(), entry.ip,
                        std::to_string(entry.port), std::to_string(entry.start_unix_ms),
                        entry.draining ? std::string_view("d") : std::string_view("r")}));
  }
  return digest;
}

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
      socket_(io_context,
              {.listen = {options.ip, options.port}, .self = options.self, .keys = options.keys},
              clock,
              [this](const wire::Datagram& datagram, const wire::PeerAddress& from) {
                if (const auto* notice = std::get_if<wire::DirectoryGossip>(&datagram)) {
                  OnNotice(*notice, from.ip);
                }
              }),
      peer_directory_(
          io_context,
          {.self = options.self, .ip = options.ip, .port = options.port, .keys = options.keys},
          *this),
      tick_(io_context, kTick, [this] { Tick(); }),
      configuration_schedule_(options.refresh, random, clock.Now()),
      endpoints_schedule_(options.refresh, random, clock.Now()) {
  SetEndpointHeartbeat(options.endpoint_heartbeat);
  AddSeeds(options.seeds);
}

void DirectoryService::AddSeeds(std::span<const std::string> seeds) {
  for (const std::string& seed : seeds) peers_.AddSeed(seed);
}

void DirectoryService::SetEndpointHeartbeat(Duration heartbeat) {
  // An entry lapses when its endpoint could not renew it for two heartbeats.
  table_.SetOutageThreshold(2 * heartbeat);
}

Status DirectoryService::Open() {
  BOOST_OUTCOME_TRYV(socket_.Open());
  return peer_directory_.Open();
}

void DirectoryService::Start() {
  started_ = true;
  last_tick_ = clock_.Now();
  SendNotice(nullptr);
  Tick();
}

std::uint64_t DirectoryService::version() const {
  return configuration_ == nullptr ? 0 : configuration_->version();
}

void DirectoryService::Tick() {
  if (!started_) return;
  const TimePoint now = clock_.Now();
  NoticePause(now);
  if (configuration_schedule_.IsDue(now)) ReadConfiguration();
  if (endpoints_schedule_.IsDue(now)) ReadEndpoints();
  for (const auto& [host, incarnation] : peers_.RemoveSilent(now)) {
    Log(Level::kInfo, "peer_silent", {{"peer", host.value()}, {"hosts", peers_.live()}});
    outputs_.peer_gone(incarnation);
  }
  if (now - last_notice_ >= options_.notice_interval) SendNotice(nullptr);
  SetIntervals();
  std::pair<bool, std::vector<std::string>> keepers{peers_.Keeps(), peers_.Keepers()};
  if (keepers == published_keepers_) return;
  Log(Level::kInfo, "keepers_changed",
      {{"self", keepers.first}, {"others", keepers.second.size()}, {"hosts", peers_.live()}});
  const bool became_keeper = keepers.first && !published_keepers_.first;
  published_keepers_ = keepers;
  if (became_keeper) {
    configuration_schedule_.OnPeerDiffers(now);
    endpoints_schedule_.OnPeerDiffers(now);
  }
  outputs_.keepers(keepers.first, std::move(keepers.second));
}

void DirectoryService::SetIntervals() {
  const bool keeps = published_keepers_.first;
  const std::size_t readers = keeps ? 1 + published_keepers_.second.size() : peers_.live();
  const Duration together = options_.outage_interval * readers;
  const Duration retry =
      std::clamp<Duration>(together, std::chrono::seconds(1), options_.max_retry_delay);
  for (directory::RefreshSchedule* schedule : {&configuration_schedule_, &endpoints_schedule_}) {
    if (keeps) {
      schedule->SetIntervals(options_.refresh.interval, options_.refresh.jitter, retry);
    } else {
      schedule->SetIntervals(options_.listening_interval, together, retry);
    }
  }
}

void DirectoryService::NoticePause(TimePoint now) {
  const Duration gap = now - std::exchange(last_tick_, now);
  if (gap < kPause) return;
  Log(Level::kWarning, "pause_noticed", {{"gap_ms", Milliseconds(gap)}});
  configuration_schedule_.OnPeerDiffers(now);
  endpoints_schedule_.OnPeerDiffers(now);
}

void DirectoryService::ReadConfiguration() {
  configuration_schedule_.OnReadStarted(clock_.Now());
  if (read_anew_) {
    store_.ReadConfiguration([this](Result<directory::StoredConfiguration> reading) {
      OnConfigurationRead(std::move(reading));
    });
  } else {
    store_.PollConfiguration(revision_,
                             [this](Result<std::optional<directory::StoredConfiguration>> reading) {
                               OnConfigurationPolled(std::move(reading));
                             });
  }
}

void DirectoryService::OnConfigurationRead(Result<directory::StoredConfiguration> reading) {
  if (reading.has_error()) {
    OnConfigurationFailed(reading.error());
    return;
  }
  read_anew_ = false;
  NoteStore(true, {});
  configuration_schedule_.OnReadSucceeded(clock_.Now());
  OnNewReading(std::move(reading).value());
  SendNotice(nullptr);
}

void DirectoryService::OnConfigurationPolled(
    Result<std::optional<directory::StoredConfiguration>> reading) {
  if (reading.has_error()) {
    if (reading.error() == Errc::kConflict) read_anew_ = true;
    OnConfigurationFailed(reading.error());
    return;
  }
  NoteStore(true, {});
  configuration_schedule_.OnReadSucceeded(clock_.Now());
  if (reading.value()) OnNewReading(std::move(*reading.value()));
  SendNotice(nullptr);
}

void DirectoryService::OnNewReading(directory::StoredConfiguration reading) {
  revision_ = std::max(revision_, reading.revision);
  if (Adopt(std::move(reading.configuration), "store")) {
    packed_document_ = Compress(reading.document);
  }
}

bool DirectoryService::Adopt(std::shared_ptr<const directory::Configuration> configuration,
                             std::string_view source) {
  const std::uint64_t known = version();
  if (configuration->version() < known) {
    Log(Level::kWarning, "configuration_older",
        {{"version", configuration->version()}, {"known", known}, {"source", source}});
    return false;
  }
  differs_since_.reset();
  if (configuration->version() == known) return false;
  configuration_ = std::move(configuration);
  Log(Level::kInfo, "configuration_in_force",
      {{"version", version()},
       {"before", known},
       {"source", source},
       {"revision", revision_},
       {"routes", configuration_->route_count()}});
  Publish();
  return true;
}

void DirectoryService::OnConfigurationFailed(std::error_code error) {
  configuration_schedule_.OnReadFailed(clock_.Now());
  if (error == Errc::kMalformed) {
    Log(Level::kError, "configuration_malformed", {{"known", version()}});
  } else if (error == Errc::kConflict) {
    Log(Level::kInfo, "store_history_lost", {{"revision", revision_}});
    configuration_schedule_.OnPeerDiffers(clock_.Now());
  } else {
    NoteStore(false, error);
  }
  AskPeer();
}

void DirectoryService::ReadEndpoints() {
  endpoints_schedule_.OnReadStarted(clock_.Now());
  store_.ReadEndpoints(
      [this](Result<directory::StoredEndpoints> reading) { OnEndpointsRead(std::move(reading)); });
}

void DirectoryService::OnEndpointsRead(Result<directory::StoredEndpoints> reading) {
  if (reading.has_error()) {
    endpoints_schedule_.OnReadFailed(clock_.Now());
    table_.OnReadFailed(clock_.Now());
    NoteStore(false, reading.error());
    AskPeer();
    return;
  }
  NoteStore(true, {});
  endpoints_schedule_.OnReadSucceeded(clock_.Now());
  ApplyEndpoints(std::move(reading.value().endpoints), "store");
  SendNotice(nullptr);
}

void DirectoryService::ApplyEndpoints(std::vector<directory::Endpoint> entries,
                                      std::string_view source) {
  const Digest digest = DigestOf(entries);
  if (digest == last_digest_ && NoteSameEndpoints()) return;
  last_digest_ = digest;
  last_entries_ = entries;
  ApplyToTable(std::move(entries), source);
}

// Snapshots are large where endpoints are many, so that one without news is rare.
bool DirectoryService::NoteSameEndpoints() {
  const TimePoint now = clock_.Now();
  if (!table_.OnEntriesUnchanged(now)) return false;
  differs_since_.reset();
  if (now - last_published_ >= kPublishPeriod) Publish();
  return true;
}

void DirectoryService::ApplyToTable(std::vector<directory::Endpoint> entries,
                                    std::string_view source) {
  differs_since_.reset();
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

void DirectoryService::OnNotice(const wire::DirectoryGossip& notice, const std::string& ip) {
  const TimePoint now = clock_.Now();
  if (notice.leaving) {
    if (const auto gone = peers_.OnLeaving(notice.sender)) outputs_.peer_gone(*gone);
    return;
  }
  const PeerList::Heard heard = peers_.OnHeard({.host = notice.sender,
                                                .ip = ip,
                                                .data_centre = notice.data_centre,
                                                .capacity = notice.capacity,
                                                .incarnation = notice.incarnation,
                                                .is_scheduler = notice.is_scheduler,
                                                .live_hosts = notice.live_hosts},
                                               now);
  for (const wire::PeerEntry& peer : notice.peers) peers_.OnNamed(peer.host, peer.ip, now);
  if (heard.news == PeerList::News::kRestarted) outputs_.peer_gone(heard.before);
  if (heard.news != PeerList::News::kNone) {
    Log(Level::kInfo, "peer_heard",
        {{"peer", notice.sender.value()},
         {"restarted", heard.news == PeerList::News::kRestarted},
         {"hosts", peers_.live()}});
    SendNotice(&ip);
    outputs_.peer_started();
  }
  OnConfigurationNotice(notice, ip);
  OnEndpointsNotice(notice, ip);
}

void DirectoryService::OnConfigurationNotice(const wire::DirectoryGossip& notice,
                                             const std::string& ip) {
  const TimePoint now = clock_.Now();
  if (notice.configuration_version > version()) {
    OnDifference(notice, ip, configuration_schedule_);
  } else if (notice.configuration_version == version() && notice.configuration_age <= kMaxPeerAge) {
    if (configuration_schedule_.OnPeerRead(now - notice.configuration_age, now)) RelayNews();
  }
}

void DirectoryService::OnEndpointsNotice(const wire::DirectoryGossip& notice,
                                         const std::string& ip) {
  if (notice.endpoints_age > kMaxPeerAge) return;
  const TimePoint now = clock_.Now();
  const TimePoint read = now - notice.endpoints_age;
  if (notice.endpoints_digest == last_digest_ && table_.loaded()) {
    if (!endpoints_schedule_.OnPeerRead(read, now)) return;
    if (!NoteSameEndpoints()) ApplyToTable(last_entries_, "peer");
    RelayNews();
    return;
  }
  const Duration margin = notice.endpoints_age < kJustRead ? Duration{} : kRelayMargin;
  if (!table_.loaded() || read > endpoints_schedule_.last_current() + margin) {
    OnDifference(notice, ip, endpoints_schedule_);
  }
}

void DirectoryService::RelayNews() {
  if (!peers_.Keeps()) return;
  if (configuration_schedule_.failures() == 0 && endpoints_schedule_.failures() == 0) return;
  SendNotice(nullptr);
}

void DirectoryService::OnDifference(const wire::DirectoryGossip& notice, const std::string& ip,
                                    directory::RefreshSchedule& schedule) {
  informed_peer_ = ip;
  if (peers_.Keeps()) {
    schedule.OnPeerDiffers(clock_.Now());
    if (schedule.failures() > 0) AskPeer();
    return;
  }
  // The many hosts that do not keep the board spare the store: they ask one that does, and a near
  // one if it tells them in time.
  const TimePoint now = clock_.Now();
  if (!differs_since_) differs_since_ = now;
  const bool near = notice.data_centre == options_.data_centre;
  if (near || !peers_.KnowsNearKeeper() || now - *differs_since_ >= options_.near_wait) AskPeer();
}

void DirectoryService::SendNotice(const std::string* to) {
  wire::DirectoryGossip notice{.sender = options_.self,
                               .ip = options_.ip,
                               .incarnation = options_.incarnation,
                               .configuration_version = version(),
                               .configuration_age = configuration_age(),
                               .endpoints_digest = last_digest_,
                               .endpoints_age = table_.loaded() ? endpoints_age() : kNever,
                               .data_centre = options_.data_centre,
                               .capacity = options_.capacity,
                               .is_scheduler = peers_.Keeps(),
                               .live_hosts = peers_.live()};
  for (auto& [host, ip] : peers_.Sample(random_)) notice.peers.push_back({host, ip});
  const wire::Datagram datagram = std::move(notice);
  const auto send = [&](const std::string& ip) {
    const Status sent = socket_.Send({ip, options_.port}, datagram);
    if (sent.has_error()) {
      Log(Level::kDebug, "notice_dropped", {{"peer", ip}, {"error", sent.error().message()}});
    }
  };
  if (to != nullptr) {
    send(*to);
    return;
  }
  last_notice_ = clock_.Now();
  for (const std::string& ip : peers_.NoticeTargets()) send(ip);
}

void DirectoryService::AnnounceLeaving() {
  const wire::Datagram datagram = wire::DirectoryGossip{.sender = options_.self,
                                                        .ip = options_.ip,
                                                        .incarnation = options_.incarnation,
                                                        .leaving = true};
  for (const std::string& ip : peers_.NoticeTargets()) {
    // The peers notice the silence otherwise.
    (void)socket_.Send({ip, options_.port}, datagram);
  }
}

void DirectoryService::AskPeer() {
  if (asking_peer_) return;
  std::string ip = std::exchange(informed_peer_, {});
  if (ip.empty()) {
    const auto sample = peers_.Sample(random_);
    if (sample.empty()) return;
    ip = sample.front().second;
  }
  asking_peer_ = true;
  const Digest endpoints = table_.loaded() ? last_digest_ : 0;
  peer_directory_.Fetch(ip, {.have_version = version(), .have_endpoints_digest = endpoints},
                        [this, ip](Result<wire::FetchDirectoryReply> reply) {
                          asking_peer_ = false;
                          OnPeerContent(std::move(reply), ip);
                        });
}

void DirectoryService::OnPeerContent(Result<wire::FetchDirectoryReply> reply,
                                     const std::string& ip) {
  if (reply.has_error()) {
    Log(Level::kInfo, "peer_not_answering", {{"peer", ip}, {"error", reply.error().message()}});
    configuration_schedule_.OnPeerDiffers(clock_.Now());
    endpoints_schedule_.OnPeerDiffers(clock_.Now());
    return;
  }
  wire::FetchDirectoryReply content = std::move(reply).value();
  if (!content.configuration.empty() && content.configuration_version > version()) {
    Result<std::shared_ptr<const directory::Configuration>> decoded = Unpack(content.configuration);
    if (decoded.has_error()) {
      Log(Level::kError, "configuration_malformed", {{"peer", ip}});
    } else if (Adopt(std::move(decoded).value(), "peer")) {
      packed_document_ = std::move(content.configuration);
      RelayNews();
    }
  }
  const bool newer = !table_.loaded() || content.endpoints_age < endpoints_age();
  if (!content.has_endpoints || !newer || content.endpoints_age > kMaxPeerAge) return;
  std::vector<directory::Endpoint> entries;
  entries.reserve(content.endpoints.size());
  for (const wire::EndpointEntry& entry : content.endpoints) entries.push_back(FromWire(entry));
  const TimePoint now = clock_.Now();
  endpoints_schedule_.OnPeerRead(now - content.endpoints_age, now);
  ApplyEndpoints(std::move(entries), "peer");
  RelayNews();
}

Result<std::shared_ptr<const directory::Configuration>> DirectoryService::Unpack(
    std::string_view packed) const {
  BOOST_OUTCOME_TRY(document, Decompress(packed, kMaxDocumentBytes));
  return store_.Decode(document);
}

wire::FetchDirectoryReply DirectoryService::Content(const wire::FetchDirectoryRequest& have) const {
  wire::FetchDirectoryReply reply{
      .configuration_version = version(),
      .has_endpoints = table_.loaded() && have.have_endpoints_digest != last_digest_};
  if (version() > have.have_version) reply.configuration = packed_document_;
  if (!reply.has_endpoints) return reply;
  reply.endpoints_age = endpoints_age();
  for (const directory::Endpoint& entry : last_entries_) reply.endpoints.push_back(ToWire(entry));
  return reply;
}

void DirectoryService::NoteStore(bool works, std::error_code error) {
  if (std::exchange(store_works_, works) == works) return;
  if (works) {
    Log(Level::kInfo, "store_regained", {{"endpoints_age_ms", Milliseconds(endpoints_age())}});
  } else {
    Log(Level::kWarning, "store_lost", {{"error", error.message()}});
  }
}

void DirectoryService::Publish() {
  last_published_ = clock_.Now();
  auto snapshot = std::make_shared<forwarding::DirectorySnapshot>();
  snapshot->configuration = configuration_;
  snapshot->endpoints = table_.endpoints();
  snapshot->endpoints_read = endpoints_schedule_.last_current();
  snapshot->hosts = peers_.MostLately(clock_.Now());
  outputs_.snapshot(std::move(snapshot));
}

}  // namespace verbenaridge::ingress
