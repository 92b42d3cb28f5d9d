#include "verbenaridge/daemon/status_report.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>

namespace verbenaridge::daemon {
namespace {

using nlohmann::json;

json Members(const Snapshot& snapshot) {
  json members = json::array();
  for (const HostView& host : snapshot.hosts) {
    members.push_back({{"host", host.host.value()},
                       {"data_centre", host.data_centre.value()},
                       {"leaving", host.leaving}});
  }
  return members;
}

json Endpoints(const Snapshot& snapshot) {
  json endpoints = json::array();
  for (const EndpointView& view : snapshot.endpoints) {
    json entry = {{"endpoint", view.settings.id.value()},
                  {"data_centre", view.settings.data_centre.value()},
                  {"owner", view.owner.value()},
                  {"leaving", view.leaving}};
    if (view.summary) {
      entry["running"] = view.summary->running;
      entry["free_kv_bytes"] = view.summary->free_kv_bytes;
      json delays = json::object();
      for (std::size_t i = 0; i < view.summary->queue_delay.size() && i < kPriorityCount; ++i) {
        delays[std::string(PriorityName(kAllPriorities[i]))] =
            std::chrono::duration_cast<std::chrono::milliseconds>(view.summary->queue_delay[i])
                .count();
      }
      entry["queue_delay_ms"] = std::move(delays);
    }
    endpoints.push_back(std::move(entry));
  }
  return endpoints;
}

json Store(const store::StoreGateway& gateway) {
  json calls = json::object();
  for (std::size_t i = 0; i < store::kCallKindCount; ++i) {
    const auto kind = static_cast<store::CallKind>(i);
    const store::CallCounters& counters = gateway.counters(kind);
    calls[std::string(store::CallKindName(kind))] = {
        {"started", counters.started},     {"succeeded", counters.succeeded},
        {"conflicts", counters.conflicts}, {"failed", counters.failed},
        {"refused", counters.refused},     {"rejected", counters.rejected}};
  }
  return {{"circuit", gateway.circuit_open() ? "open" : "closed"}, {"calls", std::move(calls)}};
}

json Suspects(const poison::SuspectRegistry& suspects, WallTime now) {
  std::set<Digest> digests;
  for (const poison::DeathRecord& death : suspects.deaths()) digests.insert(death.death.digest);
  std::size_t suspect = 0;
  std::size_t refused = 0;
  for (Digest digest : digests) {
    const poison::SuspectAction action = suspects.ActionFor(digest, now);
    if (action == poison::SuspectAction::kIsolate) ++suspect;
    if (action == poison::SuspectAction::kRefuse) ++refused;
  }
  return {{"suspect", suspect}, {"refused", refused}};
}

}  // namespace

std::string MakeStatusJson(const StatusInput& input) {
  json confirmed = json::object();
  for (const settings::DataCentreSettings& data_centre : input.settings.data_centres) {
    const auto known = input.confirmed.find(data_centre.id);
    confirmed[data_centre.id.value()] = known == input.confirmed.end() ? 0 : known->second;
  }
  const PlanVersion version =
      input.snapshot.plan ? input.snapshot.plan->document().version() : PlanVersion{0};
  const json status = {{"host", input.settings.host.value()},
                       {"data_centre", input.settings.data_centre.value()},
                       {"serving", input.snapshot.serving},
                       {"draining", input.draining},
                       {"requests_running", input.busy},
                       {"plan",
                        {{"version", version},
                         {"confirmed", std::move(confirmed)},
                         {"watches_store", input.watching}}},
                       {"members", Members(input.snapshot)},
                       {"endpoints", Endpoints(input.snapshot)},
                       {"store", Store(input.gateway)},
                       {"suspect_requests", Suspects(input.suspects, input.now)}};
  return status.dump();
}

}  // namespace verbenaridge::daemon
