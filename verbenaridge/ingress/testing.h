// Keys, addresses and ports of hosts that tests run in one process, and what the tests of versions
// in real and in virtual time share.
#ifndef VERBENARIDGE_INGRESS_TESTING_H_
#define VERBENARIDGE_INGRESS_TESTING_H_

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>

#include "verbenaridge/base/clock.h"
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

// The seed of a run by hand, or a fixed one.
inline std::uint64_t TestSeed() {
  const char* const seed = std::getenv("VERBENARIDGE_TEST_SEED");
  return seed == nullptr ? 5 : std::stoull(seed);
}

// Time for which a host has missed a version.
class VersionLag {
 public:
  // The store has the version from `now` on.
  void OnVersion(std::uint64_t version, TimePoint now) { stored_at_[version] = now; }

  Duration Of(std::uint64_t version, TimePoint now) const {
    const auto missed = stored_at_.upper_bound(version);
    return missed == stored_at_.end() ? Duration{} : now - missed->second;
  }

 private:
  std::map<std::uint64_t, TimePoint> stored_at_;
};

// Cases in which the store serves a single host.
struct ServedHostRow {
  const char* name;
  std::size_t served;  // index of the host
  bool silent;         // rejected calls time out instead of failing at once
};
inline constexpr ServedHostRow kServedHostRows[] = {
    {"a scheduler is served", 0, false},
    {"a host that is no scheduler is served", 14, false},
    {"a host that is no scheduler is served, the store is silent", 14, true}};
inline constexpr std::size_t kServedHostFleet = 15;  // hosts, in three data centres

}  // namespace verbenaridge::ingress::testing

#endif  // VERBENARIDGE_INGRESS_TESTING_H_
