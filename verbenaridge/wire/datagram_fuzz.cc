// Input: a packet as it arrives, and a payload under a right tag. The first must never be accepted,
// the second always, once.
#include <cstdlib>

#include "verbenaridge/wire/codec.h"
#include "verbenaridge/wire/datagram_tag.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace verbenaridge;        // NOLINT(google-build-using-namespace)
  using namespace verbenaridge::wire;  // NOLINT(google-build-using-namespace)
  static const FleetKeys keys = FleetKeys::Create({"a fleet key of the fuzzer"}).value();
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const ManualClock clock;
  DatagramOpener opener(keys, clock);
  if (opener.Open(bytes).has_value()) std::abort();
  // The magic and the key id let the input reach the check of the tag.
  const std::string prefixed = "VD1" + keys.keys().front().id + std::string(bytes);
  if (opener.Open(prefixed).has_value()) std::abort();

  DatagramSealer sealer(keys, HostId("fuzzer"), clock);
  const Result<std::string> packet = sealer.Seal(bytes);
  if (packet.has_error()) return 0;
  const Result<OpenedDatagram> opened = opener.Open(packet.value());
  if (opened.has_error() || opened.value().payload != bytes) std::abort();
  if (opener.Open(packet.value()).has_value()) std::abort();
  static_cast<void>(DecodeDatagram(opened.value().payload));
  return 0;
}
