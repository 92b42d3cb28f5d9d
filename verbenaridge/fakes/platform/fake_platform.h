// A small fake of the platform for tests: key-value store, host list and weight store over HTTP,
// with faults on command. docs/plans.md describes the protocol.
//
//   asio::io_context io_context;
//   fakes::FakePlatform platform(io_context, {});
//   platform.faults().outage = fakes::Outage::kRefuse;
//   ... platform.base_url() ...
#ifndef VERBENARIDGE_FAKES_PLATFORM_FAKE_PLATFORM_H_
#define VERBENARIDGE_FAKES_PLATFORM_FAKE_PLATFORM_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "verbenaridge/base/clock.h"

namespace verbenaridge::fakes {

enum class Outage : std::uint8_t {
  kNone,
  kRefuse,  // answers 503
  kSilent,  // accepts calls and never answers
};

// Faults of the key-value store; the host list and the weight store share outage and delay.
struct PlatformFaults {
  Outage outage = Outage::kNone;
  Duration delay{};       // before each answer
  int lose_replies = 0;   // the next so many writes take effect, but get no answer
  int lose_requests = 0;  // the next so many writes have no effect and get no answer
  double reads_per_second = 2000;
  double writes_per_second = 400;
  Duration host_list_lag{};  // a change of the host list is visible after this time
};

// Runs on the loop of `io_context`, which must not run after this object is destroyed. Used from
// the thread of the loop alone.
class FakePlatform {
 public:
  struct Options {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;  // 0: any free port
  };

  FakePlatform(asio::io_context& io_context, const Options& options);
  ~FakePlatform();
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  std::uint16_t port() const;
  std::string base_url() const;
  PlatformFaults& faults();

  // Calls by kind: "read", "write", "watch", "lease", "hosts", "weights", and "refused" for those
  // over the rate limit.
  const std::map<std::string, std::uint64_t>& counters() const;

  // The value now stored, empty if none; for assertions.
  std::string Value(std::string_view key) const;

  // {"hosts": [...]}, visible after faults().host_list_lag.
  void SetHosts(std::string json);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace verbenaridge::fakes

#endif  // VERBENARIDGE_FAKES_PLATFORM_FAKE_PLATFORM_H_
