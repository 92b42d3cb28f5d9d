#include "verbenaridge/ingress/operator_pages.h"

#include <array>
#include <string_view>

#include "platform/http_adapter.h"

namespace verbenaridge::ingress {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kStatusPath = "/status";

}  // namespace

void OperatorPages::Handle(const frontend::HttpCall& call,
                           std::shared_ptr<frontend::ResponseWriter> writer) {
  if (call.target == platform::kReadinessPath) {
    const std::string reason = view_.NotReadyReason();
    writer->Send(reason.empty() ? 200 : 503, {}, reason.empty() ? "ready" : reason);
  } else if (call.target == kMetricsPath) {
    writer->Send(200, {}, view_.Metrics());
  } else if (call.target == kStatusPath) {
    view_.DescribeHost([writer](const HostStatus& status) {
      const std::array<frontend::ResponseHeader, 1> headers = {
          {{"Content-Type", "application/json"}}};
      writer->Send(200, headers, ToJson(status));
    });
  } else {
    writer->Send(404, {}, "");
  }
}

}  // namespace verbenaridge::ingress
