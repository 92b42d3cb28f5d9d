// The part of Dispatcher that keeps what is known of endpoints: failures, notices and limits.
#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::forwarding {
namespace {

// An endpoint that could not be reached may have started anew until it is tried again. The longest
// time until then.
constexpr Duration kLongestAbsence = std::chrono::seconds(4);
// Time from one snapshot to the next one, in which the entry of a cold endpoint is seen again.
// Unchanged entries are published every 1.5 s at most.
constexpr Duration kEntryDelay = std::chrono::seconds(2);

}  // namespace

void Dispatcher::OnSuccess(const directory::Endpoint& endpoint) {
  health_.OnSuccess(EndpointKey(endpoint));
  if (reach_.OnReached(endpoint.data_centre)) {
    RecordColdDataCentre(endpoint.data_centre, {}, "data_centre_returned");
  }
}

void Dispatcher::RecordColdDataCentre(const DataCentreId& data_centre, Duration extra,
                                      std::string_view cause) {
  for (const directory::Endpoint& endpoint : snapshot_->endpoints) {
    if (endpoint.data_centre == data_centre) RecordCold(endpoint, extra, cause);
  }
}

void Dispatcher::RecordUnreachable(const directory::Endpoint& endpoint, std::string_view source) {
  // The host's own data centre is never ejected.
  if (endpoint.data_centre == options_.data_centre) return;
  if (!reach_.OnUnreachable(endpoint.data_centre, EndpointKey(endpoint), clock_.Now())) return;
  telemetry::Log(telemetry::Level::kWarning, "data_centre_left_out",
                 {{"data_centre", endpoint.data_centre.value()},
                  {"endpoint", endpoint.id.value()},
                  {"source", source}});
  // Until the first success shows that it is back, several requests may have been sent there.
  RecordColdDataCentre(endpoint.data_centre, kLongestAbsence, "data_centre_unreachable");
}

void Dispatcher::OnFailure(const directory::Endpoint& endpoint, dispatch::FailureKind kind) {
  const Digest key = EndpointKey(endpoint);
  if (kind == dispatch::FailureKind::kUnreachable) {
    RecordUnreachable(endpoint, "self");
    RecordCold(endpoint, kLongestAbsence, "unreachable");
  }
  const bool newly_ejected = health_.OnFailure(key, kind, clock_.Now());
  if (newly_ejected) {
    telemetry::Log(telemetry::Level::kInfo, "endpoint_left_out",
                   {{"endpoint", endpoint.id.value()},
                    {"reason", dispatch::ToText(kind)},
                    {"error_rate", health_.ErrorRate(key)}});
  }
  if (newly_ejected && kind == dispatch::FailureKind::kUnreachable) {
    announcements_.OnUnreachable(key);
  }
}

bool Dispatcher::OnLeaving(const directory::Endpoint& endpoint) {
  return notices_.OnLeaving(EndpointKey(endpoint), clock_.Now());
}

bool Dispatcher::OnLimit(const directory::Endpoint& endpoint,
                         std::optional<dispatch::RequestsPerSecond> limit) {
  const Digest key = EndpointKey(endpoint);
  const TimePoint now = clock_.Now();
  const std::optional<dispatch::RequestsPerSecond> known = rates_.Limit(key, now);
  if (rates_.OnResponse(key, limit, now)) announcements_.OnLimit(key, limit);
  return rates_.Limit(key, now) != known;
}

bool Dispatcher::HasLimit(const ServiceId& service) const {
  const auto group = groups_.find(service);
  if (group == groups_.end()) return false;
  const auto& endpoints = group->second.endpoints;
  const TimePoint now = clock_.Now();
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const Member& member) {
    return rates_.Share(member.key, now).has_value();
  });
}

bool Dispatcher::OnPause(const directory::Endpoint& endpoint, Duration pause) {
  if (options_.longest_pause == Duration{}) return false;
  const Digest key = EndpointKey(endpoint);
  const bool paused = rates_.IsPaused(key, clock_.Now());
  return rates_.OnPause(key, std::min(pause, options_.longest_pause), clock_.Now()) && !paused;
}

void Dispatcher::RecordStarts(const std::unordered_map<Digest, KnownEndpoint>& before) {
  const bool first =
      !std::exchange(knows_endpoints_, knows_endpoints_ || !known_endpoints_.empty());
  for (const directory::Endpoint& endpoint : snapshot_->endpoints) {
    const Digest key = EndpointKey(endpoint);
    const KnownEndpoint& known = known_endpoints_.at(key);
    const auto found = before.find(key);
    if (endpoint.cold && (found == before.end() || !found->second.cold)) {
      RecordCold(endpoint, {}, "entry");
    } else if (found == before.end() && !first) {
      RecordCold(endpoint, {}, "started");
    } else if (found != before.end() && found->second.evacuated && !known.evacuated) {
      RecordCold(endpoint, {}, "evacuation_ended");
    } else if (const auto* cold_start = ColdStartOf(endpoint);
               endpoint.cold && cold_start != nullptr) {
      // It may have become cold again since its entry first said so.
      LimitCold(endpoint, *cold_start, std::min(kEntryDelay, cold_start->duration), "entry");
    }
  }
}

const directory::ColdStart* Dispatcher::ColdStartOf(const directory::Endpoint& endpoint) const {
  if (snapshot_->configuration == nullptr) return nullptr;
  const directory::Service* const service = snapshot_->configuration->FindService(endpoint.service);
  return service == nullptr || !service->cold_start ? nullptr : &*service->cold_start;
}

void Dispatcher::RecordCold(const directory::Endpoint& endpoint, Duration extra,
                            std::string_view cause) {
  const directory::ColdStart* const cold_start = ColdStartOf(endpoint);
  if (cold_start == nullptr) return;
  LimitCold(endpoint, *cold_start, cold_start->duration + extra, cause);
}

void Dispatcher::LimitCold(const directory::Endpoint& endpoint,
                           const directory::ColdStart& cold_start, Duration duration,
                           std::string_view cause) {
  const double rate = cold_start.requests_per_second;
  // What a second may have beyond the rate, divided between schedulers that decide at the same
  // moment.
  const double burst = (rate * (options_.cold_overshoot - 1) + options_.cold_slack) /
                       static_cast<double>(std::max<std::size_t>(schedulers_, 1));
  if (!rates_.OnCold(EndpointKey(endpoint),
                     {.rate = rate, .burst = std::max(burst, 1.0), .duration = duration},
                     clock_.Now())) {
    return;
  }
  telemetry::Log(telemetry::Level::kInfo, "endpoint_cold",
                 {{"endpoint", endpoint.id.value()},
                  {"cause", cause},
                  {"requests_per_s", rate},
                  {"at_most_ms", ToSeconds(duration) * 1000}});
}

void Dispatcher::OnColdNotice(const directory::Endpoint& endpoint, Duration remaining) {
  // The endpoint may be wrong about the time, and an absurd one must not limit it for a day.
  if (remaining > Duration{}) RecordCold(endpoint, {}, "response");
}

void Dispatcher::RemoveExpired() {
  const TimePoint now = clock_.Now();
  load_table_.RemoveExpired(now);
  const std::vector<Digest> warm = rates_.RemoveEnded(now);
  if (warm.empty()) return;
  for (const directory::Endpoint& endpoint : snapshot_->endpoints) {
    if (std::find(warm.begin(), warm.end(), EndpointKey(endpoint)) == warm.end()) continue;
    telemetry::Log(telemetry::Level::kInfo, "endpoint_warm", {{"endpoint", endpoint.id.value()}});
  }
}

std::vector<EndpointId> Dispatcher::ColdEndpoints() const {
  const TimePoint now = clock_.Now();
  std::vector<EndpointId> cold;
  for (const directory::Endpoint& endpoint : snapshot_->endpoints) {
    if (rates_.IsCold(EndpointKey(endpoint), now)) cold.push_back(endpoint.id);
  }
  return cold;
}

void Dispatcher::SetScheduling(bool is_scheduler, Digest self,
                               std::span<const Digest> other_schedulers) {
  is_scheduler_ = is_scheduler;
  schedulers_ = other_schedulers.size() + (is_scheduler ? 1 : 0);
  turns_.SetSchedulers(self, other_schedulers);
  UpdateShare();
}

// A scheduler that hears from a part of the hosts keeps the part of the limits that is theirs.
void Dispatcher::UpdateShare() {
  const std::size_t counted = is_scheduler_ ? snapshot_->live_hosts : 1;
  rates_.SetShare(
      std::min(1.0, static_cast<double>(counted) /
                        static_cast<double>(std::max<std::size_t>(snapshot_->hosts, 1))));
}

bool Dispatcher::OnMalformedNotice(const directory::Endpoint& endpoint) {
  return notices_.OnMalformed(EndpointKey(endpoint), clock_.Now());
}

bool Dispatcher::IsLeaving(const directory::Endpoint& endpoint) const {
  return notices_.IsLeaving(EndpointKey(endpoint));
}

bool Dispatcher::HasUsableEndpoint() const {
  const TimePoint now = clock_.Now();
  const std::vector<directory::Endpoint>& endpoints = snapshot_->endpoints;
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const directory::Endpoint& endpoint) {
    return !endpoint.draining && MaySend(endpoint) && health_.Usable(EndpointKey(endpoint), now) &&
           !reach_.IsUnreachable(endpoint.data_centre, now);
  });
}

bool Dispatcher::IsEvacuated(const directory::Endpoint& endpoint) const {
  const std::vector<DataCentreId>& evacuated = snapshot_->evacuated;
  return std::find(evacuated.begin(), evacuated.end(), endpoint.data_centre) != evacuated.end();
}

bool Dispatcher::MaySend(const directory::Endpoint& endpoint) const {
  const Digest key = EndpointKey(endpoint);
  const TimePoint now = clock_.Now();
  return !IsEvacuated(endpoint) && !rates_.IsPaused(key, now) && notices_.MayServeAsLast(key, now);
}

std::vector<Digest> Dispatcher::AvoidedEndpoints(const ServiceId& service) const {
  std::vector<Digest> avoided;
  const auto group = groups_.find(service);
  if (group == groups_.end()) return avoided;
  for (const auto& [endpoint, key, evacuated] : group->second.endpoints) {
    if (endpoint->draining) continue;
    const bool avoids = evacuated || notices_.IsLeaving(key) || rates_.IsPaused(key, clock_.Now());
    if (avoids) avoided.push_back(key);
  }
  return avoided;
}

bool Dispatcher::AvoidsAllEndpoints(const DispatchRequest& request) const {
  const auto group = groups_.find(request.service);
  if (group == groups_.end()) return false;
  const auto& endpoints = group->second.endpoints;
  const TimePoint now = clock_.Now();
  return std::all_of(endpoints.begin(), endpoints.end(), [&](const Member& member) {
    return !IsOpenTo(member, request) || notices_.IsLeaving(member.key) ||
           rates_.IsPaused(member.key, now);
  });
}

void Dispatcher::OnPeerUnreachable(Digest endpoint) {
  health_.OnFailure(endpoint, dispatch::FailureKind::kUnreachable, clock_.Now());
  for (const directory::Endpoint& known : snapshot_->endpoints) {
    if (EndpointKey(known) != endpoint) continue;
    RecordUnreachable(known, "peer");
    RecordCold(known, kLongestAbsence, "unreachable");
  }
}

std::vector<Dispatcher::LimitedEndpoint> Dispatcher::LimitedEndpoints() const {
  std::vector<LimitedEndpoint> limited;
  const TimePoint now = clock_.Now();
  for (const auto& [service, group] : groups_) {
    for (const auto& [endpoint, key, evacuated] : group.endpoints) {
      if (const auto limit = rates_.Limit(key, now)) limited.push_back({endpoint->id, *limit});
    }
  }
  return limited;
}

std::vector<EndpointId> Dispatcher::LeavingEndpoints() const {
  std::vector<EndpointId> leaving;
  for (const auto& [service, group] : groups_) {
    for (const auto& [endpoint, key, evacuated] : group.endpoints) {
      if (!endpoint->draining && notices_.IsLeaving(key)) leaving.push_back(endpoint->id);
    }
  }
  return leaving;
}

std::vector<EndpointId> Dispatcher::EjectedEndpoints() const {
  const TimePoint now = clock_.Now();
  std::vector<EndpointId> ejected;
  for (const auto& [service, group] : groups_) {
    for (const auto& [endpoint, key, evacuated] : group.endpoints) {
      const bool in_use = !endpoint->draining && !evacuated && !notices_.IsLeaving(key);
      if (in_use && !health_.Usable(key, now)) ejected.push_back(endpoint->id);
    }
  }
  return ejected;
}

}  // namespace verbenaridge::forwarding
