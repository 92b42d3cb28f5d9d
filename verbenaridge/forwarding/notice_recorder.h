// Passes what endpoints tell about themselves in their responses to the dispatcher.
//
//   NoticeRecorder recorder(dispatcher, metrics);
//   EndpointPool pool(io_context, clock, adapter, {}, &recorder);
//
// The pool sees the responses to all requests: those of clients, their retries and the calls about
// reservations. Used by the thread of the dispatcher.
#ifndef VERBENARIDGE_FORWARDING_NOTICE_RECORDER_H_
#define VERBENARIDGE_FORWARDING_NOTICE_RECORDER_H_

#include <optional>

#include "verbenaridge/dispatch/endpoint_rates.h"
#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/forwarding/endpoint_pool.h"
#include "verbenaridge/forwarding/request_metrics.h"

namespace verbenaridge::forwarding {

class NoticeRecorder final : public ResponseMonitor {
 public:
  NoticeRecorder(Dispatcher& dispatcher, RequestMetrics& metrics)
      : dispatcher_(dispatcher), metrics_(metrics) {}

  // ResponseMonitor
  void OnResponse(const directory::Endpoint& endpoint, int status,
                  const ResponseMetadata& metadata) override;

 private:
  void RecordLimit(const directory::Endpoint& endpoint,
                   std::optional<dispatch::RequestsPerSecond> limit);

  Dispatcher& dispatcher_;
  RequestMetrics& metrics_;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_NOTICE_RECORDER_H_
