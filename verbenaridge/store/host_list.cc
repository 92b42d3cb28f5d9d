#include "verbenaridge/store/host_list.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace verbenaridge::store {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxListBytes = 1'000'000;
constexpr Duration kTimeLimit = std::chrono::milliseconds(500);

std::string TextOf(const Json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

Result<ListedHost> ParseHost(const Json& json) {
  if (!json.is_object()) return Errc::kMalformed;
  ListedHost host;
  host.host = HostId(TextOf(json, "host"));
  host.data_centre = DataCentreId(TextOf(json, "data_centre"));
  host.ip = TextOf(json, "ip");
  const std::string state = TextOf(json, "state");
  const auto port = json.find("port");
  const bool port_ok =
      port != json.end() && port->is_number_unsigned() && port->get<std::uint64_t>() <= 65535;
  if (host.host.empty() || host.data_centre.empty() || host.ip.empty() || !port_ok ||
      (state != "live" && state != "leaving")) {
    return Errc::kMalformed;
  }
  host.port = port->get<std::uint16_t>();
  host.leaving = state == "leaving";
  return host;
}

}  // namespace

Result<std::vector<ListedHost>> ParseHostList(std::string_view text) {
  const Json json = Json::parse(text.begin(), text.end(), nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return Errc::kMalformed;
  const auto list = json.find("hosts");
  if (list == json.end() || !list->is_array()) return Errc::kMalformed;
  std::vector<ListedHost> hosts;
  for (const Json& item : *list) {
    Result<ListedHost> host = ParseHost(item);
    if (host.has_error()) return host.error();
    hosts.push_back(std::move(host.value()));
  }
  return hosts;
}

HostListClient::HostListClient(net::HttpClient& client, std::string base_url)
    : client_(client), base_url_(std::move(base_url)) {}

void HostListClient::Fetch(HostListCallback callback) {
  net::HttpRequest request;
  request.url = base_url_ + "/hosts";
  request.connect_timeout = kTimeLimit;
  request.timeout = kTimeLimit;
  const auto done = [callback = std::move(callback)](Result<net::HttpResponse> response,
                                                     net::RequestProgress) {
    if (response.has_error()) return callback(response.error());
    if (response.value().status != 200) return callback(Errc::kUnavailable);
    callback(ParseHostList(response.value().body));
  };
  net::FetchWhole(client_, std::move(request), kMaxListBytes, done);
}

}  // namespace verbenaridge::store
