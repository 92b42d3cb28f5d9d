#include "verbenaridge/calls/calls.h"

namespace verbenaridge::calls {

std::string_view FailureName(FailureKind kind) {
  switch (kind) {
    case FailureKind::kBadRequest:
      return "bad-request";
    case FailureKind::kUnauthenticated:
      return "unauthenticated";
    case FailureKind::kForbidden:
      return "forbidden";
    case FailureKind::kNotFound:
      return "not-found";
    case FailureKind::kKeyReused:
      return "key-reused";
    case FailureKind::kRateLimited:
      return "rate-limited";
    case FailureKind::kOverloaded:
      return "overloaded";
    case FailureKind::kTooLong:
      return "too-long";
    case FailureKind::kPoison:
      return "poison-request";
    case FailureKind::kUnavailable:
      return "unavailable";
    case FailureKind::kDeadlineExceeded:
      return "deadline-exceeded";
    case FailureKind::kInterrupted:
      return "interrupted";
    case FailureKind::kStopping:
      return "stopping";
  }
  return "unavailable";
}

}  // namespace verbenaridge::calls
