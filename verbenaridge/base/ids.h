// Strongly typed identifiers.
//
//   EndpointId endpoint("furano-03");
//   std::string_view text = endpoint.value();
#ifndef VERBENARIDGE_BASE_IDS_H_
#define VERBENARIDGE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace verbenaridge {

// A string that cannot be mixed up with an identifier of another kind.
template <class Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // clang-tidy 14 takes the literal 0 of a rewritten comparison for a null pointer.
  friend auto operator<=>(const StringId&,
                          const StringId&) = default;  // NOLINT(modernize-use-nullptr)
  friend std::ostream& operator<<(std::ostream& out, const StringId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

using ClientAccountId = StringId<struct ClientAccountTag>;
using PlanId = StringId<struct PlanTag>;
using EndpointId = StringId<struct EndpointTag>;
using HostId = StringId<struct HostTag>;
using DataCentreId = StringId<struct DataCentreTag>;
using RegionId = StringId<struct RegionTag>;
using ModelId = StringId<struct ModelTag>;
using ServiceId = StringId<struct ServiceTag>;
using RequestId = StringId<struct RequestTag>;

// Grows each time a host or endpoint starts anew or refutes a suspicion.
using Incarnation = std::uint64_t;

// Numbers the attempts of one request, from 1.
using AttemptNumber = std::uint32_t;

// Version of the plan document; 0 means none.
using PlanVersion = std::uint64_t;

// A 64-bit digest of request content or a name, equal on every host.
using Digest = std::uint64_t;

}  // namespace verbenaridge

template <class Tag>
struct std::hash<verbenaridge::StringId<Tag>> {
  std::size_t operator()(const verbenaridge::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // VERBENARIDGE_BASE_IDS_H_
