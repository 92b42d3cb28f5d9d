// Client of the platform's key-value store over HTTP. docs/plans.md describes the protocol.
//
//   store::HttpKeyValueStore store(http_client, "http://127.0.0.1:9000");
//   store.Read("plans/current", [](Result<store::StoredValue> value) { ... });
#ifndef VERBENARIDGE_STORE_HTTP_KEY_VALUE_STORE_H_
#define VERBENARIDGE_STORE_HTTP_KEY_VALUE_STORE_H_

#include <string>
#include <string_view>

#include "verbenaridge/net/http_client.h"
#include "verbenaridge/store/key_value_store.h"

namespace verbenaridge::store {

// Keys and names in URLs: all but unreserved characters and '/' become %XX.
std::string EscapeKey(std::string_view key);

class HttpKeyValueStore final : public KeyValueStore {
 public:
  struct Options {
    // A call that takes longer is a failure; a watch has this in addition to its wait.
    Duration call_timeout = std::chrono::milliseconds(500);
  };

  // `client` must outlive this object.
  HttpKeyValueStore(net::HttpClient& client, std::string base_url);
  HttpKeyValueStore(net::HttpClient& client, std::string base_url, Options options);

  void Read(std::string_view key, ReadCallback callback) override;
  void CompareAndSwap(std::string_view key, KeyVersion expected, std::string_view value,
                      WriteCallback callback) override;
  void Watch(std::string_view key, KeyVersion after, Duration wait, ReadCallback callback) override;
  void Lease(std::string_view key, std::string_view value, Duration time_to_live,
             WriteCallback callback) override;

 private:
  void Get(std::string url, Duration timeout, ReadCallback callback);
  void Put(std::string url, std::string_view value, WriteCallback callback);
  std::string UrlOf(std::string_view key) const;

  net::HttpClient& client_;
  const std::string base_url_;
  const Options options_;
};

}  // namespace verbenaridge::store

#endif  // VERBENARIDGE_STORE_HTTP_KEY_VALUE_STORE_H_
