// Queue of values to spread by gossip. Take returns as many as fit into a datagram, the least often
// sent first and the most recent first among those. Each value is sent a limited number of times.
//
//   GossipQueue<HostId, Member> queue;
//   queue.Put(member.host, member);
//   for (const Member& next : queue.Take(1000, max_sends, size_of)) { ... }
#ifndef VERBENARIDGE_MEMBERSHIP_GOSSIP_QUEUE_H_
#define VERBENARIDGE_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace verbenaridge::membership {

// Not thread-safe.
template <class Key, class Value>
class GossipQueue {
 public:
  // Adds or replaces the value of `key`, which then counts as never sent.
  void Put(const Key& key, Value value) {
    entries_.insert_or_assign(key, Entry{std::move(value), 0, ++last_order_});
  }

  void Erase(const Key& key) { entries_.erase(key); }

  // Returns values of at most `budget` bytes in total. A value is removed after `max_sends` sends.
  // `size_of(value)` is its encoded size in bytes. O(n log n) in the number of queued values.
  template <class SizeOf>
  std::vector<Value> Take(std::size_t budget, int max_sends, SizeOf size_of) {
    std::vector<typename std::map<Key, Entry>::iterator> order;
    for (auto it = entries_.begin(); it != entries_.end(); ++it) order.push_back(it);
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
      return std::pair(a->second.sends, ~a->second.order) <
             std::pair(b->second.sends, ~b->second.order);
    });
    std::vector<Value> taken;
    for (const auto& it : order) {
      const std::size_t size = size_of(it->second.value);
      if (size > budget) continue;
      budget -= size;
      taken.push_back(it->second.value);
      if (++it->second.sends >= max_sends) entries_.erase(it);
    }
    return taken;
  }

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Value value;
    int sends = 0;
    std::uint64_t order = 0;
  };

  std::map<Key, Entry> entries_;
  std::uint64_t last_order_ = 0;
};

}  // namespace verbenaridge::membership

#endif  // VERBENARIDGE_MEMBERSHIP_GOSSIP_QUEUE_H_
