#include "verbenaridge/frontend/problem.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace verbenaridge::frontend {
namespace {

// Clients that retry at once after 429 or 503 add to the overload, so both always carry a delay.
constexpr std::int64_t kMinRetryAfterSeconds = 1;

std::int64_t RetryAfterSeconds(const calls::Failure& failure) {
  if (!failure.retry_after) return kMinRetryAfterSeconds;
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(*failure.retry_after).count();
  return std::max<std::int64_t>(kMinRetryAfterSeconds, seconds);
}

}  // namespace

int StatusOf(calls::FailureKind kind) {
  switch (kind) {
    case calls::FailureKind::kBadRequest:
      return 400;
    case calls::FailureKind::kUnauthenticated:
      return 401;
    case calls::FailureKind::kForbidden:
      return 403;
    case calls::FailureKind::kNotFound:
      return 404;
    case calls::FailureKind::kKeyReused:
      return 409;
    case calls::FailureKind::kRateLimited:
      return 429;
    case calls::FailureKind::kTooLong:
      return 413;
    case calls::FailureKind::kPoison:
      return 422;
    case calls::FailureKind::kDeadlineExceeded:
      return 504;
    case calls::FailureKind::kInterrupted:
      return 502;
    case calls::FailureKind::kOverloaded:
    case calls::FailureKind::kUnavailable:
    case calls::FailureKind::kStopping:
      return 503;
  }
  return 500;
}

Problem ProblemOf(const calls::Failure& failure, const RequestId& request_id, int status) {
  const std::string name(calls::FailureName(failure.kind));
  Problem problem;
  problem.status = status != 0 ? status : StatusOf(failure.kind);
  problem.headers = {{"Content-Type", "application/problem+json"},
                     {"X-Request-Id", request_id.value()}};
  nlohmann::ordered_json document = {{"type", "urn:verbenaridge:problem:" + name},
                                     {"title", name},
                                     {"status", problem.status},
                                     {"detail", failure.detail},
                                     {"request_id", request_id.value()},
                                     {"outcome", std::string(OutcomeName(failure.outcome))}};
  const bool always = problem.status == 429 || problem.status == 503;
  if (always || failure.retry_after) {
    const std::int64_t seconds = RetryAfterSeconds(failure);
    problem.headers.push_back({"Retry-After", std::to_string(seconds)});
    document["retry_after_seconds"] = seconds;
  }
  if (problem.status == 401) problem.headers.push_back({"WWW-Authenticate", "Bearer"});
  problem.body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return problem;
}

std::string JsonEscape(std::string_view text) {
  const std::string quoted =
      nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return quoted.substr(1, quoted.size() - 2);
}

}  // namespace verbenaridge::frontend
