// Outcomes as values: `Result<T>` holds a T or a std::error_code, `Status` holds success or an
// error.
//
//   Result<Port> ParsePort(std::string_view text) {
//     if (text.empty()) return Errc::kInvalidArgument;
//     ...
//   }
#ifndef VERBENARIDGE_BASE_RESULT_H_
#define VERBENARIDGE_BASE_RESULT_H_

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>
#include <system_error>

namespace verbenaridge {

// Errors common to the packages. Values are stable: peers exchange them.
enum class Errc {
  kInvalidArgument = 1,
  kNotFound = 2,
  kConflict = 3,
  kTimeout = 4,
  kUnavailable = 5,
  kResourceExhausted = 6,
  kPermissionDenied = 7,
  kCancelled = 8,
  kMalformed = 9,
  kTooLarge = 10,
};

const std::error_category& VerbenaridgeCategory();

inline std::error_code make_error_code(Errc error) {
  return {static_cast<int>(error), VerbenaridgeCategory()};
}

template <class T>
using Result = boost::outcome_v2::std_result<T>;

using Status = Result<void>;

inline Status Ok() { return boost::outcome_v2::success(); }

}  // namespace verbenaridge

template <>
struct std::is_error_code_enum<verbenaridge::Errc> : std::true_type {};

#endif  // VERBENARIDGE_BASE_RESULT_H_
