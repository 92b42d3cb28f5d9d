// Input: any bytes, decoded as each kind of message. A message that decodes must encode to bytes
// that decode to the same message.
#include <cstdlib>

#include "verbenaridge/wire/codec.h"

namespace verbenaridge::wire {
namespace {

template <class Variant>
void CheckRoundTrip(const Result<Variant>& decoded, Result<Variant> (*decode)(std::string_view)) {
  if (decoded.has_error()) return;
  const std::string bytes = Encode(decoded.value());
  const Result<Variant> again = decode(bytes);
  if (again.has_error() || Encode(again.value()) != bytes) std::abort();
}

}  // namespace
}  // namespace verbenaridge::wire

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace verbenaridge::wire;  // NOLINT(google-build-using-namespace)
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  CheckRoundTrip(DecodeRequest(bytes), &DecodeRequest);
  CheckRoundTrip(DecodeReply(bytes), &DecodeReply);
  CheckRoundTrip(DecodeDatagram(bytes), &DecodeDatagram);
  return 0;
}
