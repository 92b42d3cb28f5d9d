#include "verbenaridge/daemon/gossip_exchange.h"

#include <bit>
#include <cstdlib>
#include <utility>

#include "verbenaridge/daemon/conversions.h"

namespace verbenaridge::daemon {
namespace {

constexpr Duration kQuietInterval = std::chrono::seconds(2);
constexpr Duration kDelayChange = std::chrono::milliseconds(10);
// News reaches all members with high probability after this many sends per doubling of the fleet.
constexpr int kSendsPerDoubling = 2;
// Encoded sizes without the variable parts, rounded up.
constexpr std::size_t kSummaryBytes = 72;
constexpr std::size_t kDeathBytes = 40;
constexpr std::size_t kConfirmedBytes = 12;
constexpr std::size_t kPlanBytes = 10;

std::size_t SizeOf(const wire::EndpointSummary& summary) {
  return kSummaryBytes + summary.endpoint.value().size() + 5 * summary.prefix_digest.size();
}

std::size_t SizeOfDeath(const poison::DeathRecord& death) {
  return kDeathBytes + death.death.endpoint.value().size();
}

bool TakesWork(const wire::EndpointSummary& summary) {
  return !summary.leaving && !summary.drained && summary.reachable;
}

bool Differs(const wire::EndpointSummary& a, const wire::EndpointSummary& b) {
  if (TakesWork(a) != TakesWork(b) || a.running != b.running ||
      a.long_prefills != b.long_prefills) {
    return true;
  }
  for (std::size_t i = 0; i < a.queue_delay.size() && i < b.queue_delay.size(); ++i) {
    if (std::chrono::abs(a.queue_delay[i] - b.queue_delay[i]) > kDelayChange) return true;
  }
  return std::abs(a.free_kv_bytes - b.free_kv_bytes) > a.kv_capacity_bytes / 20;
}

}  // namespace

bool GossipExchange::AddSummary(const wire::EndpointSummary& summary, bool own_data_centre,
                                TimePoint now) {
  Sent& last = last_[summary.endpoint];
  const bool first = last.summary.endpoint.empty();
  const bool differs = first || Differs(last.summary, summary);
  if (!differs && now - last.at < kQuietInterval) return false;
  if (first || TakesWork(last.summary) != TakesWork(summary)) {
    fleet_summaries_.Put(summary.endpoint, summary);
  }
  if (own_data_centre) local_summaries_.Put(summary.endpoint, summary);
  last = {summary, now};
  return differs;
}

void GossipExchange::AddDeaths(std::span<const poison::DeathRecord> deaths) {
  for (const poison::DeathRecord& death : deaths) deaths_.Put(death.death, death);
}

void GossipExchange::AddExonerations(std::span<const poison::DeathRecord> exonerations) {
  for (const poison::DeathRecord& death : exonerations) exonerations_.Put(death.death, death);
}

void GossipExchange::SetPlan(PlanVersion version,
                             const std::map<DataCentreId, PlanVersion>& confirmed) {
  plan_version_ = version;
  confirmed_.clear();
  for (const auto& [data_centre, confirmed_version] : confirmed) {
    confirmed_.push_back({data_centre, confirmed_version});
  }
}

void GossipExchange::Fill(wire::Gossip& gossip, std::size_t budget, std::size_t member_count,
                          bool to_own_data_centre) {
  const auto take = [&budget](std::size_t bytes) {
    const bool fits = bytes <= budget;
    if (fits) budget -= bytes;
    return fits;
  };
  gossip.plan_version = plan_version_;
  take(kPlanBytes);
  for (const wire::ConfirmedPlan& confirmed : confirmed_) {
    if (take(kConfirmedBytes + confirmed.data_centre.value().size())) {
      gossip.confirmed.push_back(confirmed);
    }
  }
  const int max_sends = kSendsPerDoubling * (1 + static_cast<int>(std::bit_width(member_count)));
  // Suspects come first: a late summary costs time, a late death may cost an endpoint.
  for (const auto& death : deaths_.Take(budget, max_sends, SizeOfDeath)) {
    take(SizeOfDeath(death));
    gossip.deaths.push_back(ToSuspectDeath(death));
  }
  for (const auto& death : exonerations_.Take(budget, max_sends, SizeOfDeath)) {
    take(SizeOfDeath(death));
    gossip.exonerations.push_back(ToSuspectDeath(death));
  }
  gossip.summaries =
      (to_own_data_centre ? local_summaries_ : fleet_summaries_).Take(budget, max_sends, SizeOf);
}

}  // namespace verbenaridge::daemon
