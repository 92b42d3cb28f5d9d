// Operators' HTTP interface on an address of its own: GET /healthz, /readyz, /metrics and /status,
// and POST /drain.
//
//   OperatorServer server(control_context, {.port = 9000}, view);
//   server.Open();
#ifndef VERBENARIDGE_FRONTEND_OPERATOR_SERVER_H_
#define VERBENARIDGE_FRONTEND_OPERATOR_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "verbenaridge/base/result.h"
#include "verbenaridge/frontend/http_server.h"

namespace verbenaridge::frontend {

// An operator's order to take a host or an endpoint out of service, or back.
struct DrainOrder {
  std::string target;
  bool is_endpoint = false;
  bool undo = false;
  std::string operator_key;  // bearer token of the request
};

// What operators and the load balancer see. Called on the server's loop.
class OperatorView {
 public:
  virtual ~OperatorView() = default;

  // False only if the process cannot recover without a restart.
  virtual bool healthy() const = 0;

  // Why the daemon takes no new callers, for example "stopping"; empty when it does.
  virtual std::string NotReadyReason() const = 0;

  // Metrics in the Prometheus text format.
  virtual std::string Metrics() const = 0;

  // A JSON document about members, endpoints and plans.
  virtual std::string StatusJson() const = 0;

  // Errors: kPermissionDenied for a wrong key, kNotFound for an unknown target, kUnavailable if the
  // daemon that carries the order out does not answer. `done` runs on the server's loop.
  virtual void Drain(const DrainOrder& order, std::function<void(Status)> done) = 0;
};

class OperatorServer final : private HttpService {
 public:
  // `view` must outlive this object.
  OperatorServer(asio::io_context& io_context, const HttpServer::Options& options,
                 OperatorView& view);

  // Call from the loop's thread, or before the loop runs.
  Status Open() { return server_.Open(); }
  void StopAccepting() { server_.StopAccepting(); }
  std::uint16_t port() const { return server_.port(); }

 private:
  void Handle(const HttpCall& call, std::shared_ptr<ResponseWriter> writer) override;
  void HandleDrain(const HttpCall& call, const std::shared_ptr<ResponseWriter>& writer);

  OperatorView& view_;
  HttpServer server_;
};

}  // namespace verbenaridge::frontend

#endif  // VERBENARIDGE_FRONTEND_OPERATOR_SERVER_H_
