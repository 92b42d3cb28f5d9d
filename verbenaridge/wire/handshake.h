// Mutual proof of a fleet key when a connection opens.
//
//   ClientHandshake client(keys, HostId("a"));        ServerHandshake server(keys, HostId("b"));
//   hello = client.Hello();                           reply = server.OnHello(hello);
//   proof = client.OnServerHello(reply.value());      server.OnProof(proof.value());
//
// The hello carries the client's nonce, host id and the ids of its keys. The reply carries the
// server's nonce and host id, the id of the key that both list, and the server's HMAC over both
// messages. The client answers with its own HMAC over them. Each side contributes a fresh 32-byte
// nonce and the two proofs name their direction, so a recorded or reflected proof is refused; both
// proofs cover both host ids. The proof shows who opened the connection; it does not encrypt it.
//
// Not thread-safe. FleetKeys is a value.
#ifndef VERBENARIDGE_WIRE_HANDSHAKE_H_
#define VERBENARIDGE_WIRE_HANDSHAKE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/result.h"

namespace verbenaridge::wire {

inline constexpr std::size_t kMaxHandshakeBytes = 512;

// Shorter keys could be found by trying.
inline constexpr std::size_t kMinKeyBytes = 16;

// One key, or two during a rotation: first every host lists both, then the old one is removed.
class FleetKeys {
 public:
  // Errors: kInvalidArgument unless there are one or two different keys of at least kMinKeyBytes.
  static Result<FleetKeys> Create(std::vector<std::string> keys);

  struct Key {
    std::string id;  // 8 bytes derived from the secret, sent in clear
    std::string secret;
  };

  // The preferred key comes first.
  const std::vector<Key>& keys() const { return keys_; }

  // Null if no listed key has this id.
  const Key* Find(std::string_view id) const;

 private:
  std::vector<Key> keys_;
};

class ClientHandshake {
 public:
  ClientHandshake(const FleetKeys& keys, const HostId& self);

  const std::string& Hello() const { return hello_; }

  // Checks the server's proof and returns the client's. Errors: kMalformed; kPermissionDenied if
  // the server shares no key or its proof is wrong.
  Result<std::string> OnServerHello(std::string_view reply);

  // The server's host id; empty before the server proved the key.
  const HostId& peer() const { return peer_; }

 private:
  FleetKeys keys_;
  std::string hello_;
  HostId peer_;
};

class ServerHandshake {
 public:
  ServerHandshake(const FleetKeys& keys, HostId self);

  // Returns the reply, which is a refusal if the client lists no key that this side lists; see
  // refused(). Errors: kMalformed, also for a second hello.
  Result<std::string> OnHello(std::string_view hello);

  bool greeted() const { return greeted_; }
  bool refused() const { return refused_; }

  // Errors: kPermissionDenied if the proof is wrong or was tried before.
  Status OnProof(std::string_view proof);

  // The client's host id; empty before the client proved the key.
  const HostId& peer() const { return peer_; }

 private:
  FleetKeys keys_;
  HostId self_;
  HostId claimed_peer_;
  HostId peer_;
  std::string expected_proof_;
  bool greeted_ = false;
  bool refused_ = false;
};

}  // namespace verbenaridge::wire

#endif  // VERBENARIDGE_WIRE_HANDSHAKE_H_
