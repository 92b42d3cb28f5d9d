// What gossip carries besides members: plan versions, confirmations, endpoint summaries and
// suspects.
#ifndef VERBENARIDGE_DAEMON_GOSSIP_EXCHANGE_H_
#define VERBENARIDGE_DAEMON_GOSSIP_EXCHANGE_H_

#include <cstddef>
#include <map>
#include <span>

#include "verbenaridge/base/ids.h"
#include "verbenaridge/membership/gossip_queue.h"
#include "verbenaridge/poison/suspect_registry.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::daemon {

// Not thread-safe; belongs to the control thread.
class GossipExchange {
 public:
  // Returns whether the summary differs from the last one in what routing goes by. One that does
  // not is queued only every two seconds. Summaries of this data centre's endpoints stay in it;
  // what others hear of an endpoint is only whether it takes work.
  bool AddSummary(const wire::EndpointSummary& summary, bool own_data_centre, TimePoint now);
  void AddDeaths(std::span<const poison::DeathRecord> deaths);
  void AddExonerations(std::span<const poison::DeathRecord> exonerations);

  // Adds what fits into `budget` bytes to an outgoing message. `member_count` sets how often each
  // entry is sent.
  void Fill(wire::Gossip& gossip, std::size_t budget, std::size_t member_count,
            bool to_own_data_centre);

  // Versions that each message carries.
  void SetPlan(PlanVersion version, const std::map<DataCentreId, PlanVersion>& confirmed);

 private:
  struct Sent {
    wire::EndpointSummary summary;
    TimePoint at{};
  };

  std::map<EndpointId, Sent> last_;
  membership::GossipQueue<EndpointId, wire::EndpointSummary> local_summaries_;
  membership::GossipQueue<EndpointId, wire::EndpointSummary> fleet_summaries_;
  membership::GossipQueue<poison::Death, poison::DeathRecord> deaths_;
  membership::GossipQueue<poison::Death, poison::DeathRecord> exonerations_;
  PlanVersion plan_version_ = 0;
  std::vector<wire::ConfirmedPlan> confirmed_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_GOSSIP_EXCHANGE_H_
