// Finds endpoints by asking the hosts that keep the load board, and answers such questions.
//
//   PlacementExchange placement(io_context, clock, host, exchange, dispatcher);
//   placement.SetKeepers(/*self=*/false, {"10.1.0.40", "10.1.0.41"});
//   placement.Submit(request, callback);
//   placement.OnDatagram(datagram, ip);   // true if it was about placement
//
// A host that keeps the board decides for itself. Another one asks one that does, the nearest
// first; after a short silence it asks the next one, and at last it decides with what it knows. So
// a silent host costs a few milliseconds, and nothing waits for an agreement. Used by the thread of
// its event loop.
#ifndef VERBENARIDGE_INGRESS_PLACEMENT_EXCHANGE_H_
#define VERBENARIDGE_INGRESS_PLACEMENT_EXCHANGE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/ingress/load_exchange.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::ingress {

struct PlacementOptions {
  // A round trip takes 2 ms, and a host with a small share of a processor some milliseconds more.
  Duration answer_limit = std::chrono::milliseconds(30);
  // A host that has said that it holds the request says so again within this time.
  Duration held_limit = std::chrono::milliseconds(400);
  Duration held_repeat = std::chrono::milliseconds(150);
  std::size_t most_asked = 3;
  // A host that did not answer is asked last for so long.
  Duration avoid = std::chrono::seconds(1);
};

class PlacementExchange final : public forwarding::Placement {
 public:
  PlacementExchange(asio::io_context& io_context, const Clock& clock, HostId self,
                    LoadExchange& exchange, forwarding::Dispatcher& dispatcher,
                    const PlacementOptions& options = {});

  // `keepers`: the other hosts that keep the board, the nearest first.
  void SetKeepers(bool self_keeps, std::vector<std::string> keepers);

  // forwarding::Placement
  forwarding::DispatchId Submit(forwarding::DispatchRequest request,
                                forwarding::AssignmentCallback callback) override;
  void Cancel(forwarding::DispatchId id) override;

  bool OnDatagram(const wire::Datagram& datagram, const std::string& ip);

 private:
  struct Question {
    forwarding::DispatchRequest request;
    forwarding::AssignmentCallback callback;
    std::vector<std::string> asked;  // the last one may still answer
    std::unique_ptr<asio::steady_timer> timer;
    forwarding::DispatchId local = 0;  // at the own dispatcher, once nobody else is asked
  };
  struct Foreign {  // a question of another host that is held here
    std::string ip;
    forwarding::DispatchId dispatch = 0;
    std::unique_ptr<asio::steady_timer> timer;
  };
  using ForeignKey = std::pair<HostId, std::uint64_t>;
  struct Given {  // an answer that the asker may not have got
    dispatch::TaskId first_work = 0;
    std::size_t works = 0;
    TimePoint when{};
  };

  std::string NextKeeper(const Question& question) const;
  void AskNext(std::uint64_t id);
  void DecideHere(std::uint64_t id);
  void Arm(std::uint64_t id, Duration limit);
  void OnAnswer(const wire::PlacementReply& answer);
  void OnHeld(const wire::PlacementQueued& held);
  void OnAsk(const wire::PlacementRequest& ask, const std::string& ip);
  void OnCancel(const wire::PlacementCancel& cancel);
  void Reply(const wire::PlacementRequest& ask, const std::string& ip,
             const forwarding::Assignment& assignment);
  void RepeatHeld(const ForeignKey& key);
  void ForgetGiven();

  asio::io_context& io_context_;
  const Clock& clock_;
  const HostId self_;
  LoadExchange& exchange_;
  forwarding::Dispatcher& dispatcher_;
  const PlacementOptions options_;
  bool self_keeps_ = true;
  std::vector<std::string> keepers_;
  std::unordered_map<std::string, TimePoint> avoided_until_;
  std::unordered_map<std::uint64_t, Question> questions_;
  std::map<ForeignKey, Foreign> foreign_;
  std::map<ForeignKey, Given> given_;
  std::uint64_t next_id_ = 1;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_PLACEMENT_EXCHANGE_H_
