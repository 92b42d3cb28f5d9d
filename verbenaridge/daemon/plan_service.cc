#include "verbenaridge/daemon/plan_service.h"

#include <utility>

#include "verbenaridge/plan_codec/plan_codec.h"

namespace verbenaridge::daemon {
namespace {

constexpr Duration kPeerDeadline = std::chrono::milliseconds(800);
// A waiting watch counts as one call of the store, so it waits long.
constexpr Duration kWatchWait = std::chrono::seconds(30);
constexpr Duration kWatchRetry = std::chrono::milliseconds(500);

// Null for a value that is no document; the daemon then keeps what it has.
plans::PlanDocumentPtr Decode(std::string_view text) {
  auto decoded = plan_codec::DecodeDocument(text);
  if (!decoded.problems.empty() || !decoded.value) return nullptr;
  plans::Normalise(*decoded.value);
  return std::make_shared<const plans::PlanDocument>(std::move(*decoded.value));
}

}  // namespace

PlanService::PlanService(const Options& options, asio::io_context& io_context, const Clock& clock,
                         RandomSource& random, store::KeyValueStore& store, PeerRouter& router,
                         std::function<void()> changed)
    : options_(options),
      clock_(clock),
      store_(store),
      router_(router),
      changed_(std::move(changed)),
      watch_timer_(io_context),
      replica_({.host = options.host, .data_centre = options.data_centre}, random),
      distributor_({.host = options.host, .data_centre = options.data_centre}) {}

void PlanService::Tick(std::span<const plans::PlanPeer> peers,
                       std::span<const plans::PlanMember> members) {
  for (const plans::PlanMember& member : members) incarnations_[member.host] = member.incarnation;
  Execute(replica_.Tick(clock_.Now(), peers));
  distributor_.OnVersion(options_.host, incarnations_[options_.host],
                         serving() ? replica_.version() : 0);
  Execute(distributor_.Tick(clock_.Now(), members, replica_.document()));
}

void PlanService::Execute(const std::vector<plans::ReplicaAction>& actions) {
  bool changed = false;
  for (const plans::ReplicaAction& action : actions) {
    if (const auto* read = std::get_if<plans::ReadStore>(&action)) {
      ReadStore(read->session);
    } else if (const auto* ask = std::get_if<plans::FetchPeerPlan>(&action)) {
      FetchPeerPlan(*ask);
    } else {
      changed = true;
    }
  }
  if (changed) changed_();
}

void PlanService::Execute(const std::vector<plans::DistributorAction>& actions) {
  for (const plans::DistributorAction& action : actions) {
    if (const auto* watch = std::get_if<plans::SetWatching>(&action)) {
      SetWatching(watch->watching);
    } else if (const auto* push = std::get_if<plans::PushPlan>(&action)) {
      Push(*push);
    } else if (const auto* write = std::get_if<plans::WriteConfirmed>(&action)) {
      WriteConfirmed(write->version);
    }
  }
}

void PlanService::ReadStore(plans::SessionNumber session) {
  store_.Read(plans::kCurrentPlanKey, [this, session](const Result<store::StoredValue>& value) {
    if (value.has_error()) return;  // asked again in the next round
    const bool exists = value.value().version != 0;
    const plans::PlanDocumentPtr document = exists ? Decode(value.value().value) : nullptr;
    if (exists && !document) return;
    Execute(replica_.OnStoreReply(session, document, clock_.Now()));
  });
  ReadConfirmed();
}

void PlanService::ReadConfirmed() {
  store_.Read(plans::ConfirmedPlanKey(options_.data_centre),
              [this](const Result<store::StoredValue>& value) {
                if (value.has_error()) return;
                const auto version = plan_codec::DecodeConfirmed(value.value().value);
                if (version) OnConfirmed(options_.data_centre, *version);
              });
}

void PlanService::FetchPeerPlan(const plans::FetchPeerPlan& ask) {
  router_.Call(
      ask.host,
      wire::FetchPlanRequest{.have_version = ask.have_version, .data_centre = options_.data_centre},
      kPeerDeadline, [this, ask](Result<wire::Reply> reply) {
        const auto* answer =
            reply.has_value() ? std::get_if<wire::FetchPlanReply>(&reply.value()) : nullptr;
        if (answer == nullptr) {
          Execute(replica_.OnPeerFailed(ask.session, ask.host, clock_.Now()));
          return;
        }
        plans::PeerPlanReply peer{.host = ask.host,
                                  .data_centre = answer->own_data_centre,
                                  .serving = answer->serving,
                                  .version = answer->version,
                                  .confirmed_version = answer->confirmed_version};
        if (!answer->document.empty()) peer.document = Decode(answer->document);
        Execute(replica_.OnPeerReply(ask.session, peer, clock_.Now()));
      });
}

void PlanService::Push(const plans::PushPlan& push) {
  wire::PushPlanDeltaRequest request{.to_version = push.document->version()};
  if (push.delta) {
    request.from_version = push.delta->from_version;
    request.delta = plan_codec::EncodeDelta(*push.delta);
  } else {
    request.delta = plan_codec::EncodeDocument(*push.document);
  }
  router_.Call(push.host, std::move(request), kPeerDeadline,
               [this, host = push.host](Result<wire::Reply> reply) {
                 const auto* answer = reply.has_value()
                                          ? std::get_if<wire::PushPlanDeltaReply>(&reply.value())
                                          : nullptr;
                 if (answer == nullptr) return;  // pushed again
                 if (answer->conflict) distributor_.OnPushConflict(host);
                 distributor_.OnVersion(host, answer->incarnation, answer->version);
               });
}

wire::PushPlanDeltaReply PlanService::OnPush(const wire::PushPlanDeltaRequest& request) {
  std::vector<plans::ReplicaAction> actions;
  bool conflict = false;
  if (request.from_version == 0) {
    if (const auto document = Decode(request.delta)) {
      actions = replica_.OnDocument(document, clock_.Now());
    }
  } else {
    const auto decoded = plan_codec::DecodeDelta(request.delta);
    conflict =
        !decoded.value || replica_.OnDelta(*decoded.value, clock_.Now(), actions).has_error();
  }
  Execute(actions);
  return {.version = serving() ? replica_.version() : 0,
          .incarnation = incarnations_[options_.host],
          .conflict = conflict && replica_.version() < request.to_version};
}

wire::FetchPlanReply PlanService::OnFetch(const wire::FetchPlanRequest& request) {
  wire::FetchPlanReply reply{.version = replica_.version(),
                             .confirmed_version = confirmed_[request.data_centre],
                             .serving = serving(),
                             .own_data_centre = options_.data_centre};
  if (replica_.version() > request.have_version) {
    reply.document = plan_codec::EncodeDocument(*replica_.document());
  }
  return reply;
}

void PlanService::OnGossip(const HostId& host, Incarnation incarnation, PlanVersion version) {
  distributor_.OnVersion(host, incarnation, version);
  Execute(replica_.OnGossipVersion(host, version, clock_.Now()));
}

void PlanService::OnConfirmed(const DataCentreId& data_centre, PlanVersion version) {
  PlanVersion& known = confirmed_[data_centre];
  if (version <= known) return;
  known = version;
  Execute(replica_.OnConfirmed(data_centre, version, clock_.Now()));
}

void PlanService::SetWatching(bool watching) {
  watching_ = watching;
  if (watching && !watch_pending_) Watch();
}

void PlanService::Watch() {
  watch_pending_ = true;
  store_.Watch(plans::kCurrentPlanKey, watched_version_, kWatchWait,
               [this](const Result<store::StoredValue>& value) { OnWatched(value); });
}

void PlanService::OnWatched(const Result<store::StoredValue>& value) {
  watch_pending_ = false;
  if (!watching_) return;
  if (value.has_error()) {
    watch_pending_ = true;
    watch_timer_.expires_after(kWatchRetry);
    watch_timer_.async_wait([this](std::error_code error) {
      watch_pending_ = false;
      if (!error && watching_) Watch();
    });
    return;
  }
  if (value.value().version != watched_version_) {
    watched_version_ = value.value().version;
    const auto document = Decode(value.value().value);
    if (document) Execute(replica_.OnDocument(document, clock_.Now()));
  }
  Watch();
}

// Confirmed versions only grow: the write is a compare-and-swap on what was read.
void PlanService::WriteConfirmed(PlanVersion version) {
  store_.Read(plans::ConfirmedPlanKey(options_.data_centre),
              [this, version](const Result<store::StoredValue>& value) {
                if (value.has_error()) return;  // the distributor asks again
                RaiseConfirmed(version, value.value());
              });
}

void PlanService::RaiseConfirmed(PlanVersion version, const store::StoredValue& current) {
  const PlanVersion stored = plan_codec::DecodeConfirmed(current.value).value_or(0);
  if (stored >= version) {
    distributor_.OnConfirmedWritten(stored);
    OnConfirmed(options_.data_centre, stored);
    return;
  }
  store_.CompareAndSwap(plans::ConfirmedPlanKey(options_.data_centre), current.version,
                        plan_codec::EncodeConfirmed(version),
                        [this, version](const Result<store::KeyVersion>& written) {
                          if (written.has_error()) return;
                          distributor_.OnConfirmedWritten(version);
                          OnConfirmed(options_.data_centre, version);
                        });
}

}  // namespace verbenaridge::daemon
