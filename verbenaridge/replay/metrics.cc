#include "verbenaridge/replay/metrics.h"

#include <algorithm>
#include <cmath>

namespace verbenaridge::replay {

namespace {

double Percentile95(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(
                                       0.95 * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

double Ratio(double part, double whole) { return whole > 0 ? part / whole : 1; }

double Jain(const std::vector<double>& values) {
  double sum = 0, squares = 0;
  for (const double value : values) {
    sum += value;
    squares += value * value;
  }
  return squares > 0 ? sum * sum / (static_cast<double>(values.size()) * squares) : 1;
}

bool InTime(const TraceRequest& request, const RequestResult& result) {
  return result.end == RequestEnd::kCompleted && result.first_token > Duration::zero() &&
         result.first_token <= request.first_token_target;
}

struct Tally {
  std::array<double, kPriorityCount> asked{}, in_time{}, served{};
  std::array<std::vector<double>, kPriorityCount> first{};
  std::vector<double> short_first;
  std::vector<double> account_asked, account_in_time, account_tokens;
  double good = 0, completed = 0, rejected = 0, count = 0;
  double others = 0, others_in_time = 0;
};

void Count(const FleetSpec& fleet, const TraceRequest& request, const RequestResult& result,
           Tally& tally) {
  const std::size_t rank = Rank(request.priority);
  const auto tokens = static_cast<double>(request.prompt_tokens + request.output_tokens);
  const bool in_time = InTime(request, result);
  tally.count += 1;
  tally.asked[rank] += 1;
  tally.account_asked[request.account] += 1;
  if (result.end == RequestEnd::kRejected) tally.rejected += 1;
  if (result.end == RequestEnd::kCompleted) {
    tally.completed += 1;
    tally.served[rank] += tokens;
  }
  if (result.first_token > Duration::zero()) {
    tally.first[rank].push_back(ToSeconds(result.first_token));
    if (request.prompt_tokens <= 4'000) {
      tally.short_first.push_back(ToSeconds(result.first_token));
    }
  }
  const bool other = request.host % fleet.data_centres.size() != 0 && rank == 0;
  if (other) tally.others += 1;
  if (!in_time) return;
  if (other) tally.others_in_time += 1;
  tally.in_time[rank] += 1;
  tally.account_in_time[request.account] += 1;
  tally.account_tokens[request.account] += tokens;
  tally.good += tokens;
}

}  // namespace

Metrics Measure(const FleetSpec& fleet, const Trace& trace,
                std::span<const RequestResult> results) {
  Tally tally;
  tally.account_asked.resize(fleet.account_demand.size());
  tally.account_in_time = tally.account_tokens = tally.account_asked;
  Metrics metrics;
  for (std::size_t i = 0; i < results.size(); ++i) {
    const TraceRequest& request = trace.requests[i];
    if (results[i].end == RequestEnd::kOpen) ++metrics.open;
    if (request.prompt_tokens > fleet.engine.memory_tokens) {
      metrics.group_first_token = ToSeconds(results[i].first_token);
    }
    if (request.arrival >= trace.measured_from && request.arrival < trace.measured_to) {
      Count(fleet, request, results[i], tally);
    }
  }
  double served = 0;
  for (const double part : tally.served) served += part;
  for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
    metrics.asked[rank] = tally.asked[rank];
    metrics.in_time[rank] = Ratio(tally.in_time[rank], tally.asked[rank]);
    metrics.first_token_p95[rank] = Percentile95(tally.first[rank]);
    metrics.served_share[rank] = served > 0 ? tally.served[rank] / served : 0;
  }
  metrics.short_first_token_p95 = Percentile95(tally.short_first);
  metrics.goodput = tally.good / ToSeconds(trace.measured_to - trace.measured_from);
  std::vector<double> equals;
  for (std::size_t account = 0; account < tally.account_asked.size(); ++account) {
    const auto& greedy = trace.greedy_accounts;
    if (std::find(greedy.begin(), greedy.end(), account) != greedy.end()) continue;
    metrics.small_in_time_min =
        std::min(metrics.small_in_time_min,
                 Ratio(tally.account_in_time[account], tally.account_asked[account]));
    equals.push_back(tally.account_tokens[account]);
  }
  metrics.jain = Jain(equals);
  metrics.completed = Ratio(tally.completed, tally.count);
  metrics.rejected = tally.count > 0 ? tally.rejected / tally.count : 0;
  metrics.other_centres_in_time = Ratio(tally.others_in_time, tally.others);
  return metrics;
}

}  // namespace verbenaridge::replay
