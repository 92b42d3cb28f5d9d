// Fuzzes the parsers of callers' bytes: bodies, paths, times and headers.
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "verbenaridge/frontend/request_parser.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace verbenaridge::frontend;  // NOLINT(google-build-using-namespace)
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  const verbenaridge::WallTime now{std::chrono::seconds(1'796'371'200)};
  switch (data[0] % 4) {
    case 0: {
      const auto body = ParseCompletionBody(bytes);
      if (body && (body.value().max_tokens < 1 || body.value().prompt.empty())) std::abort();
      if (!body && body.error().failure.detail.empty()) std::abort();
      break;
    }
    case 1: {
      const auto route = ParseRoute(data[0] % 8 == 1 ? "POST" : "GET", bytes);
      if (route && route.value().kind == RouteKind::kServiceCall && route.value().service.empty()) {
        std::abort();
      }
      break;
    }
    case 2: {
      const std::vector<HeaderField> headers = {{"Idempotency-Key", "k"},
                                                {"Idempotency-Expires", bytes}};
      const auto parsed = ParseIdempotency({.headers = headers}, now);
      if (parsed && parsed.value().expiry && *parsed.value().expiry <= now) std::abort();
      break;
    }
    default: {
      const std::size_t cut = bytes.find('\n');
      const std::string_view rest = cut == std::string_view::npos ? "" : bytes.substr(cut + 1);
      const std::vector<HeaderField> headers = {{"Authorization", bytes.substr(0, cut)},
                                                {"X-Deadline-Ms", rest},
                                                {"X-Request-Id", rest},
                                                {"traceparent", rest}};
      (void)ParseRequestId({.headers = headers});
      const auto header = ParseCallHeader({.headers = headers}, verbenaridge::RequestId("r"));
      if (header && header.value().bearer_key.empty()) std::abort();
    }
  }
  return 0;
}
