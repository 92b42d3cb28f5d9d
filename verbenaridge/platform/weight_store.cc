#include "verbenaridge/platform/weight_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "verbenaridge/platform/http_key_value_store.h"

namespace verbenaridge::platform {
namespace {

constexpr std::size_t kMaxAnswerBytes = 10'000;
constexpr Duration kTimeLimit = std::chrono::milliseconds(500);

Result<WeightTicket> ParseTicket(const net::HttpResponse& response) {
  if (response.status == 404) return Errc::kNotFound;
  if (response.status != 200 && response.status != 429) return Errc::kUnavailable;
  const bool granted = response.status == 200;
  const char* name = granted ? "bytes" : "retry_after_ms";
  const auto json = nlohmann::json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains(name) || !json[name].is_number_unsigned()) {
    return Errc::kMalformed;
  }
  const auto number = json[name].get<std::int64_t>();
  if (granted) return WeightTicket{.granted = true, .bytes = number, .retry_after = {}};
  // An hour is longer than any wait for weights; a larger number would overflow nanoseconds.
  constexpr std::int64_t kMaxRetryMs = 3'600'000;
  return WeightTicket{.granted = false,
                      .bytes = 0,
                      .retry_after = std::chrono::milliseconds(std::min(number, kMaxRetryMs))};
}

}  // namespace

WeightStoreClient::WeightStoreClient(net::HttpClient& client, std::string base_url)
    : client_(client), base_url_(std::move(base_url)) {}

void WeightStoreClient::Reserve(std::string_view name,
                                std::function<void(Result<WeightTicket>)> callback) {
  net::HttpRequest request;
  request.url = base_url_ + "/weights/" + EscapeKey(name);
  request.connect_timeout = kTimeLimit;
  request.timeout = kTimeLimit;
  const auto done = [callback = std::move(callback)](Result<net::HttpResponse> response,
                                                     net::RequestProgress) {
    if (response.has_error()) return callback(response.error());
    callback(ParseTicket(response.value()));
  };
  net::FetchWhole(client_, std::move(request), kMaxAnswerBytes, done);
}

}  // namespace verbenaridge::platform
