// Keys, addresses and ports of hosts that tests run in one process.
#ifndef VERBENARIDGE_INGRESS_TESTING_H_
#define VERBENARIDGE_INGRESS_TESTING_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "verbenaridge/wire/handshake.h"

namespace verbenaridge::ingress::testing {

inline wire::FleetKeys Keys() { return wire::FleetKeys::Create({"hosts-test-fleet-key"}).value(); }

inline std::string Ip(std::size_t host) {
  return std::string("127.0.0.").append(std::to_string(20 + host));
}

// Each test case uses a different port, since datagrams may remain after a socket was closed.
inline std::uint16_t NextPort() {
  static std::uint16_t port = 17'400;
  return ++port;
}

}  // namespace verbenaridge::ingress::testing

#endif  // VERBENARIDGE_INGRESS_TESTING_H_
