#include "verbenaridge/frontend/operator_server.h"

#include <array>
#include <utility>

namespace verbenaridge::frontend {
namespace {

void Send(ResponseWriter& writer, int status, const char* type, std::string body) {
  const std::array<ResponseHeader, 1> headers = {{{"Content-Type", type}}};
  writer.Send(status, headers, std::move(body));
}

}  // namespace

OperatorServer::OperatorServer(asio::io_context& io_context, const HttpServer::Options& options,
                               OperatorView& view)
    : view_(view), server_(io_context, options, *this) {}

void OperatorServer::Handle(const HttpCall& call, std::shared_ptr<ResponseWriter> writer) {
  const std::string_view path = call.target.substr(0, call.target.find('?'));
  if (call.method != "GET") return Send(*writer, 405, "text/plain", "method not allowed\n");
  if (path == "/healthz") {
    const bool healthy = view_.healthy();
    return Send(*writer, healthy ? 200 : 503, "text/plain", healthy ? "ok\n" : "unhealthy\n");
  }
  if (path == "/readyz") {
    const std::string reason = view_.NotReadyReason();
    return Send(*writer, reason.empty() ? 200 : 503, "text/plain",
                reason.empty() ? "ready\n" : reason + "\n");
  }
  if (path == "/metrics") return Send(*writer, 200, "text/plain; version=0.0.4", view_.Metrics());
  if (path == "/status") return Send(*writer, 200, "application/json", view_.StatusJson());
  Send(*writer, 404, "text/plain", "no such path\n");
}

}  // namespace verbenaridge::frontend
