// Serves the pages of a host for the load balancer and for operators: readiness, metrics and
// status.
//
//   OperatorPages pages(view);
//   frontend::HttpServer server(io_context, {.address = ip, .port = 9464}, pages);
#ifndef VERBENARIDGE_INGRESS_OPERATOR_PAGES_H_
#define VERBENARIDGE_INGRESS_OPERATOR_PAGES_H_

#include <functional>
#include <memory>
#include <string>

#include "verbenaridge/frontend/http_server.h"
#include "verbenaridge/ingress/host_status.h"

namespace verbenaridge::ingress {

// Source of what the pages show. Used by the control thread.
class HostView {
 public:
  virtual ~HostView() = default;

  // Returns why the host is not ready for clients, or an empty text if it is ready.
  virtual std::string NotReadyReason() const = 0;
  virtual std::string Metrics() = 0;
  // Calls `done` later, on the control thread.
  virtual void DescribeHost(std::function<void(const HostStatus&)> done) = 0;
};

class OperatorPages final : public frontend::HttpService {
 public:
  explicit OperatorPages(HostView& view) : view_(view) {}

  void Handle(const frontend::HttpCall& call,
              std::shared_ptr<frontend::ResponseWriter> writer) override;

 private:
  HostView& view_;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_OPERATOR_PAGES_H_
