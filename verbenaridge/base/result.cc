#include "verbenaridge/base/result.h"

#include <string>

namespace verbenaridge {
namespace {

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "verbenaridge"; }
  std::string message(int value) const override;
};

std::string Category::message(int value) const {
  switch (static_cast<Errc>(value)) {
    case Errc::kInvalidArgument:
      return "invalid argument";
    case Errc::kNotFound:
      return "not found";
    case Errc::kConflict:
      return "conflict";
    case Errc::kTimeout:
      return "timeout";
    case Errc::kUnavailable:
      return "unavailable";
    case Errc::kResourceExhausted:
      return "resource exhausted";
    case Errc::kPermissionDenied:
      return "permission denied";
    case Errc::kCancelled:
      return "cancelled";
    case Errc::kMalformed:
      return "malformed message";
    case Errc::kTooLarge:
      return "message too large";
  }
  return "unknown error";
}

}  // namespace

const std::error_category& VerbenaridgeCategory() {
  static const Category category;
  return category;
}

}  // namespace verbenaridge
