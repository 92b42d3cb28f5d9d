// What a replay measured.
#ifndef VERBENARIDGE_REPLAY_METRICS_H_
#define VERBENARIDGE_REPLAY_METRICS_H_

#include <array>
#include <span>
#include <vector>

#include "verbenaridge/replay/trace.h"

namespace verbenaridge::replay {

enum class RequestEnd : std::uint8_t { kOpen, kCompleted, kRejected, kLeft, kTooLong };

struct RequestResult {
  Duration first_token{};  // zero: none
  RequestEnd end = RequestEnd::kOpen;
  std::uint32_t attempts = 0;
  std::uint32_t revocations = 0;
};

struct Metrics {
  std::array<double, kPriorityCount> in_time{};  // part of what was asked, by priority
  std::array<double, kPriorityCount> first_token_p95{};  // seconds, of requests that got one
  std::array<double, kPriorityCount> served_share{};  // of the tokens served
  std::array<double, kPriorityCount> asked{};
  double short_first_token_p95 = 0;  // prompts of 4,000 tokens or less
  double goodput = 0;  // tokens/s of requests in time
  double small_in_time_min = 1;  // the worst served account that is not greedy
  double jain = 1;  // of the tokens served in time to accounts that are not greedy
  double completed = 0;
  double rejected = 0;
  double group_first_token = 0;  // of the prompt over an engine's memory; 0: none
  std::size_t open = 0;  // neither completed nor failed at the end
  std::size_t reserved_after = 0;  // permits, waiting requests and streams left at the end
  double other_centres_in_time = 1;  // urgent requests outside the first data centre
};

Metrics Measure(const FleetSpec& fleet, const Trace& trace, std::span<const RequestResult> results);

}  // namespace verbenaridge::replay

#endif  // VERBENARIDGE_REPLAY_METRICS_H_
