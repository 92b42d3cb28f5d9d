// The platform's weight store, which limits the rate at which weights may be fetched. Endpoints
// fetch weights themselves; daemons only ask whether a fetch may start now.
//
//   platform::WeightStoreClient weights(http_client, "http://127.0.0.1:9000");
//   weights.Reserve("model-7b/2", [](Result<platform::WeightTicket> ticket) { ... });
#ifndef VERBENARIDGE_PLATFORM_WEIGHT_STORE_H_
#define VERBENARIDGE_PLATFORM_WEIGHT_STORE_H_

#include <functional>
#include <string>
#include <string_view>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/net/http_client.h"

namespace verbenaridge::platform {

struct WeightTicket {
  bool granted = false;
  ByteCount bytes = 0;     // size of the weights, if granted
  Duration retry_after{};  // when to ask again, if not
};

// Used from the thread of its event loop alone.
class WeightStoreClient {
 public:
  // `client` must outlive this object.
  WeightStoreClient(net::HttpClient& client, std::string base_url);

  // Errors: kNotFound for unknown weights, kTimeout after 500 ms, kUnavailable, kMalformed.
  void Reserve(std::string_view name, std::function<void(Result<WeightTicket>)> callback);

 private:
  net::HttpClient& client_;
  const std::string base_url_;
};

}  // namespace verbenaridge::platform

#endif  // VERBENARIDGE_PLATFORM_WEIGHT_STORE_H_
