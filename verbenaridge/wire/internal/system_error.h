// Errors of Asio's socket functions as errors of the standard library.
#ifndef VERBENARIDGE_WIRE_INTERNAL_SYSTEM_ERROR_H_
#define VERBENARIDGE_WIRE_INTERNAL_SYSTEM_ERROR_H_

#include <system_error>

namespace verbenaridge::wire::internal {

// Asio's own category does not compare equal to std::errc. Requires an error of a socket function,
// whose value is an errno.
inline std::error_code SystemError(const std::error_code& error) {
  return {error.value(), std::system_category()};
}

}  // namespace verbenaridge::wire::internal

#endif  // VERBENARIDGE_WIRE_INTERNAL_SYSTEM_ERROR_H_
