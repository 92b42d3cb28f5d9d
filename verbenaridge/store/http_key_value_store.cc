#include "verbenaridge/store/http_key_value_store.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace verbenaridge::store {
namespace {

constexpr std::string_view kVersionHeader = "x-key-version";

std::optional<KeyVersion> VersionOf(const net::HttpResponse& response) {
  const net::HttpResponseHead head{response.status, response.headers};
  const std::string_view text = head.header(kVersionHeader);
  KeyVersion version = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, version);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return version;
}

Errc ErrorOf(int status) {
  switch (status) {
    case 409:
      return Errc::kConflict;
    case 413:
      return Errc::kTooLarge;
    case 429:
      return Errc::kResourceExhausted;
    case 400:
      return Errc::kInvalidArgument;
    default:
      return Errc::kUnavailable;
  }
}

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::ceil<std::chrono::milliseconds>(std::max(duration, Duration::zero())).count());
}

}  // namespace

std::string EscapeKey(std::string_view key) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : key) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       std::string_view("-._~/").find(c) != std::string_view::npos;
    if (plain) {
      escaped += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    escaped += '%';
    escaped += kDigits[byte >> 4];
    escaped += kDigits[byte & 15];
  }
  return escaped;
}

HttpKeyValueStore::HttpKeyValueStore(net::HttpClient& client, std::string base_url)
    : HttpKeyValueStore(client, std::move(base_url), Options{}) {}

HttpKeyValueStore::HttpKeyValueStore(net::HttpClient& client, std::string base_url, Options options)
    : client_(client), base_url_(std::move(base_url)), options_(options) {}

std::string HttpKeyValueStore::UrlOf(std::string_view key) const {
  return base_url_ + "/kv/" + EscapeKey(key);
}

void HttpKeyValueStore::Read(std::string_view key, ReadCallback callback) {
  Get(UrlOf(key), options_.call_timeout, std::move(callback));
}

void HttpKeyValueStore::Watch(std::string_view key, KeyVersion after, Duration wait,
                              ReadCallback callback) {
  Get(UrlOf(key) + "?after=" + std::to_string(after) + "&wait_ms=" + Milliseconds(wait),
      options_.call_timeout + wait, std::move(callback));
}

void HttpKeyValueStore::CompareAndSwap(std::string_view key, KeyVersion expected,
                                       std::string_view value, WriteCallback callback) {
  Put(UrlOf(key) + "?expect=" + std::to_string(expected), value, std::move(callback));
}

void HttpKeyValueStore::Lease(std::string_view key, std::string_view value, Duration time_to_live,
                              WriteCallback callback) {
  Put(UrlOf(key) + "?ttl_ms=" + Milliseconds(time_to_live), value, std::move(callback));
}

void HttpKeyValueStore::Get(std::string url, Duration timeout, ReadCallback callback) {
  net::HttpRequest request;
  request.url = std::move(url);
  request.connect_timeout = options_.call_timeout;
  request.timeout = timeout;
  const auto done = [callback = std::move(callback)](Result<net::HttpResponse> response,
                                                     net::RequestProgress) {
    if (response.has_error()) return callback(response.error());
    if (response.value().status == 404) return callback(StoredValue{});
    const std::optional<KeyVersion> version = VersionOf(response.value());
    const int status = response.value().status;
    if (status != 200 && status != 204) return callback(ErrorOf(status));
    if (!version) return callback(Errc::kMalformed);
    callback(StoredValue{*version, std::move(response.value().body)});
  };
  net::FetchWhole(client_, std::move(request), kMaxValueBytes, done);
}

void HttpKeyValueStore::Put(std::string url, std::string_view value, WriteCallback callback) {
  net::HttpRequest request;
  request.method = "PUT";
  request.url = std::move(url);
  request.headers = {{"content-type", "application/octet-stream"}};
  request.body = std::string(value);
  request.connect_timeout = options_.call_timeout;
  request.timeout = options_.call_timeout;
  const auto done = [callback = std::move(callback)](Result<net::HttpResponse> response,
                                                     net::RequestProgress) {
    if (response.has_error()) return callback(response.error());
    if (response.value().status != 200) return callback(ErrorOf(response.value().status));
    const std::optional<KeyVersion> version = VersionOf(response.value());
    if (!version) return callback(Errc::kMalformed);
    callback(*version);
  };
  net::FetchWhole(client_, std::move(request), kMaxValueBytes, done);
}

}  // namespace verbenaridge::store
