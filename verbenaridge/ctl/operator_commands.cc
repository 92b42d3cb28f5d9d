#include "verbenaridge/ctl/operator_commands.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace verbenaridge::ctl {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxAnswerBytes = 4'000'000;
constexpr Duration kTimeLimit = std::chrono::seconds(5);

ExitCode CodeOf(int status) {
  if (status >= 200 && status < 300) return ExitCode::kSuccess;
  return status >= 400 && status < 500 ? ExitCode::kRefused : ExitCode::kUnavailable;
}

// One line per value, "a.b: 1", so that a person can read and search it.
void PrintFlat(std::ostream& out, const std::string& name, const Json& json) {
  if (!json.is_structured()) {
    out << name << ": " << (json.is_string() ? json.get<std::string>() : json.dump()) << '\n';
    return;
  }
  for (const auto& [key, value] : json.items()) {
    std::string path = name;
    if (!path.empty()) path += '.';
    PrintFlat(out, path.append(key), value);
  }
}

}  // namespace

Result<net::HttpResponse> OperatorCommands::Fetch(net::HttpRequest request) {
  request.connect_timeout = kTimeLimit;
  request.timeout = kTimeLimit;
  auto slot = std::make_shared<std::optional<Result<net::HttpResponse>>>();
  net::FetchWhole(client_, std::move(request), kMaxAnswerBytes,
                  [slot](Result<net::HttpResponse> response, net::RequestProgress) {
                    slot->emplace(std::move(response));
                  });
  io_context_.restart();
  while (!slot->has_value()) {
    if (io_context_.run_one() == 0) return Errc::kUnavailable;
  }
  return std::move(**slot);
}

ExitCode OperatorCommands::Report(const Result<net::HttpResponse>& response,
                                  const std::string& success) {
  const bool answered = response.has_value();
  const ExitCode code = answered ? CodeOf(response.value().status) : ExitCode::kUnavailable;
  const std::string body = answered ? response.value().body : response.error().message();
  if (reporter_.json) {
    const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
    const Json result = {{"result", code == ExitCode::kSuccess ? "ok" : "failed"},
                         {"answer", json.is_discarded() ? Json(body) : json}};
    reporter_.out << result.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
  } else if (code == ExitCode::kSuccess) {
    if (!success.empty()) reporter_.out << success << '\n';
    const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
    if (json.is_structured()) PrintFlat(reporter_.out, "", json);
  } else {
    reporter_.err << (code == ExitCode::kRefused ? "refused: " : "unavailable: ") << body << '\n';
  }
  return code;
}

ExitCode OperatorCommands::Status() {
  net::HttpRequest request;
  request.url = base_url_ + "/status";
  return Report(Fetch(std::move(request)), "");
}

ExitCode OperatorCommands::Drain(const DrainOrder& order, const std::string& operator_key) {
  net::HttpRequest request;
  request.method = "POST";
  request.url = base_url_ + "/drain";
  request.headers = {{"content-type", "application/json"},
                     {"authorization", "Bearer " + operator_key}};
  request.body = Json{
      {"target", order.target},
      {"kind", order.is_endpoint ? "endpoint" : "host"},
      {"undo",
       order.undo}}.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Report(Fetch(std::move(request)),
                (order.undo ? "no longer draining " : "draining ") + order.target);
}

}  // namespace verbenaridge::ctl
