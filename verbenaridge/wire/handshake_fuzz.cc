// Input: a handshake message, sent to a server as hello and as proof and to a client as reply, and
// an operator proof. None of them may be accepted as proof.
#include <cstdlib>

#include "verbenaridge/wire/handshake.h"
#include "verbenaridge/wire/operator_proof.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace verbenaridge;        // NOLINT(google-build-using-namespace)
  using namespace verbenaridge::wire;  // NOLINT(google-build-using-namespace)
  static const FleetKeys keys =
      FleetKeys::Create({"a fleet key of the fuzzer", "another key of the fuzzer"}).value();
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const std::string nonce(32, 'n');

  // Input behind the fixed start of a hello or a reply reaches the variable fields.
  ServerHandshake server(keys, HostId("server"));
  if (server.OnHello(bytes).has_error()) {
    static_cast<void>(server.OnHello("VRH1" + nonce + std::string(bytes)));
  }
  if (server.OnProof(bytes).has_value() || !server.peer().empty()) std::abort();

  ClientHandshake client(keys, HostId("client"));
  if (client.OnServerHello(bytes).has_value()) std::abort();
  const std::string prefixed = "VRS1" + nonce + keys.keys().front().id + std::string(bytes);
  if (client.OnServerHello(prefixed).has_value() || !client.peer().empty()) std::abort();

  const ManualClock clock;
  OperatorProofChecker checker({"an operator key"}, clock);
  if (checker.Check("drain:host:a", bytes).has_value()) std::abort();
  if (checker.Check("drain:host:a", "v1:" + std::string(bytes)).has_value()) std::abort();
  return 0;
}
