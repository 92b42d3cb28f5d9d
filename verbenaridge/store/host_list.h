// The platform's list of hosts. It lags: a dead host may be listed live and a new one may be
// missing.
//
//   store::HostListClient hosts(http_client, "http://127.0.0.1:9000");
//   hosts.Fetch([](Result<std::vector<store::ListedHost>> list) { ... });
#ifndef VERBENARIDGE_STORE_HOST_LIST_H_
#define VERBENARIDGE_STORE_HOST_LIST_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/net/http_client.h"

namespace verbenaridge::store {

struct ListedHost {
  HostId host;
  DataCentreId data_centre;
  std::string ip;
  std::uint16_t port = 0;
  bool leaving = false;

  friend bool operator==(const ListedHost&, const ListedHost&) = default;
};

using HostListCallback = std::function<void(Result<std::vector<ListedHost>>)>;

// kMalformed for a text that is not a host list.
Result<std::vector<ListedHost>> ParseHostList(std::string_view text);

// Used from the thread of its event loop alone.
class HostListClient {
 public:
  // `client` must outlive this object.
  HostListClient(net::HttpClient& client, std::string base_url);

  // Errors: kTimeout after 500 ms, kUnavailable, kMalformed. The callback never runs from within.
  void Fetch(HostListCallback callback);

 private:
  net::HttpClient& client_;
  const std::string base_url_;
};

}  // namespace verbenaridge::store

#endif  // VERBENARIDGE_STORE_HOST_LIST_H_
