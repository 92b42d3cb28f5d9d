// The pages of a host for the load balancer and for operators: readiness, metrics, status.
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

// What the pages show. Used by the control thread.
class HostView {
 public:
  virtual ~HostView() = default;

  // Empty: the host is ready for clients.
  virtual std::string NotReadyReason() const = 0;
  virtual std::string Metrics() = 0;
  // `done` runs on the control thread, later.
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
