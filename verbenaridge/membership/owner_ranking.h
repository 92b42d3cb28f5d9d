// Weighted rendezvous hashing. All hosts with the same list of live hosts compute the same owner of
// a key. When a host leaves, only the keys that it owned move.
//
//   OwnerRanking ranking(hosts);
//   const HostId* owner = ranking.Owner("endpoint/furano-03");
#ifndef VERBENARIDGE_MEMBERSHIP_OWNER_RANKING_H_
#define VERBENARIDGE_MEMBERSHIP_OWNER_RANKING_H_

#include <span>
#include <string_view>
#include <vector>

#include "verbenaridge/base/ids.h"

namespace verbenaridge::membership {

struct WeightedHost {
  HostId host;
  double weight = 1;  // a host with weight 2 owns twice as many keys; at or below 0: none
};

// Immutable after construction and thread-safe.
class OwnerRanking {
 public:
  OwnerRanking() = default;
  explicit OwnerRanking(std::span<const WeightedHost> hosts);

  // The owner of `key`, or null if there is no host. The pointer is valid as long as this object.
  const HostId* Owner(std::string_view key) const;

  // The `count` highest-ranked hosts for `key`, highest first; fewer if there are fewer hosts.
  std::vector<HostId> Top(std::string_view key, std::size_t count) const;

  bool empty() const { return hosts_.empty(); }

 private:
  struct Entry {
    HostId host;
    Digest digest = 0;
    double weight = 1;
  };

  std::vector<Entry> hosts_;
};

}  // namespace verbenaridge::membership

#endif  // VERBENARIDGE_MEMBERSHIP_OWNER_RANKING_H_
