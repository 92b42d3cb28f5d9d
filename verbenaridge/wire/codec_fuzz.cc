// Input: any bytes, decoded as each kind of message; and changes to one filled message, so that
// inputs reach the fields of all messages. A message that decodes must encode to bytes that decode
// to the same message.
#include <cstdlib>
#include <span>

#include "verbenaridge/wire/codec.h"
#include "verbenaridge/wire/message_samples.h"

namespace verbenaridge::wire {
namespace {

template <class Variant>
void CheckRoundTrip(const Result<Variant>& decoded, Result<Variant> (*decode)(std::string_view)) {
  if (decoded.has_error()) return;
  const std::string bytes = Encode(decoded.value());
  const Result<Variant> again = decode(bytes);
  if (again.has_error() || Encode(again.value()) != bytes) std::abort();
}

// The first byte selects the message; each further three are an offset and the byte to put there.
template <class Variant>
std::string ChangedSample(std::span<const std::uint8_t> input) {
  static const std::vector<Variant> samples = testing::Samples<Variant>();
  std::string bytes = Encode(samples[input[0] % samples.size()]);
  for (input = input.subspan(1); input.size() >= 3; input = input.subspan(3)) {
    const std::size_t offset = static_cast<std::size_t>(input[0]) << 8 | input[1];
    bytes[offset % bytes.size()] = static_cast<char>(input[2]);
  }
  return bytes;
}

template <class Variant>
void CheckInput(std::span<const std::uint8_t> input, Result<Variant> (*decode)(std::string_view)) {
  const std::string_view bytes(reinterpret_cast<const char*>(input.data()), input.size());
  CheckRoundTrip(decode(bytes), decode);
  if (!input.empty()) CheckRoundTrip(decode(ChangedSample<Variant>(input)), decode);
}

}  // namespace
}  // namespace verbenaridge::wire

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace verbenaridge::wire;  // NOLINT(google-build-using-namespace)
  const std::span<const std::uint8_t> input(data, size);
  CheckInput(input, &DecodeRequest);
  CheckInput(input, &DecodeReply);
  CheckInput(input, &DecodeDatagram);
  return 0;
}
