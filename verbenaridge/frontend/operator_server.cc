#include "verbenaridge/frontend/operator_server.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace verbenaridge::frontend {
namespace {

void Send(ResponseWriter& writer, int status, const char* type, std::string body) {
  const std::array<ResponseHeader, 1> headers = {{{"Content-Type", type}}};
  writer.Send(status, headers, std::move(body));
}

// Empty unless the body is {"target": ..., "kind": "host" or "endpoint", "undo": bool}.
std::optional<DrainOrder> ParseDrain(std::string_view body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto target = json.find("target");
  const auto kind = json.find("kind");
  if (target == json.end() || !target->is_string()) return std::nullopt;
  if (kind == json.end() || (*kind != "host" && *kind != "endpoint")) return std::nullopt;
  const auto undo = json.find("undo");
  if (undo != json.end() && !undo->is_boolean()) return std::nullopt;
  return DrainOrder{.target = target->get<std::string>(),
                    .is_endpoint = *kind == "endpoint",
                    .undo = undo != json.end() && undo->get<bool>(),
                    .operator_key = {}};
}

int DrainStatus(const Status& status) {
  if (status.has_value()) return 200;
  if (status.error() == Errc::kPermissionDenied) return 403;
  if (status.error() == Errc::kNotFound) return 404;
  return 503;
}

}  // namespace

OperatorServer::OperatorServer(asio::io_context& io_context, const HttpServer::Options& options,
                               OperatorView& view)
    : view_(view), server_(io_context, options, *this) {}

void OperatorServer::Handle(const HttpCall& call, std::shared_ptr<ResponseWriter> writer) {
  const std::string_view path = call.target.substr(0, call.target.find('?'));
  if (path == "/drain") return HandleDrain(call, writer);
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

void OperatorServer::HandleDrain(const HttpCall& call,
                                 const std::shared_ptr<ResponseWriter>& writer) {
  constexpr std::string_view kBearer = "Bearer ";
  const std::string_view authorization = call.header("Authorization");
  if (call.method != "POST") return Send(*writer, 405, "text/plain", "method not allowed\n");
  if (!authorization.starts_with(kBearer)) {
    return Send(*writer, 401, "text/plain", "operator key missing\n");
  }
  std::optional<DrainOrder> order = ParseDrain(call.body);
  if (!order) {
    return Send(*writer, 400, "text/plain", "expected target, kind (host or endpoint) and undo\n");
  }
  order->operator_key = authorization.substr(kBearer.size());
  view_.Drain(*order, [writer](const Status& status) {
    const std::string text = status.has_value() ? "ok" : status.error().message();
    Send(*writer, DrainStatus(status), "text/plain", text + "\n");
  });
}

}  // namespace verbenaridge::frontend
