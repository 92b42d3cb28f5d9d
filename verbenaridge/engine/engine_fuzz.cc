// Fuzzes the parsers of endpoints' bytes. A stream must parse the same however reads split it.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/engine/engine_json.h"
#include "verbenaridge/engine/sse_parser.h"

namespace {

using verbenaridge::engine::SseEvent;
using verbenaridge::engine::SseParser;

std::vector<std::string> ParseEvents(std::string_view bytes, std::size_t step) {
  SseParser parser(1 << 20);
  std::vector<std::string> events;
  for (std::size_t at = 0; at < bytes.size(); at += step) {
    parser.Feed(bytes.substr(at, step), [&](const SseEvent& event) {
      events.push_back(std::string(event.type) + "|" + std::string(event.data));
      return true;
    });
  }
  return events;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 4) {
    case 0: {
      const auto whole = ParseEvents(bytes, bytes.size() + 1);
      if (whole != ParseEvents(bytes, 1) || whole != ParseEvents(bytes, 7)) std::abort();
      break;
    }
    case 1: {
      const auto event = verbenaridge::engine::ParseStreamEvent(bytes);
      if (event && event.value().index < -1) std::abort();
      break;
    }
    case 2: {
      const auto load = verbenaridge::engine::ParseLoadReport(bytes);
      if (load && load.value().kv_capacity_bytes < 0) std::abort();
      break;
    }
    default:
      (void)verbenaridge::engine::ParseCacheEvents(bytes);
  }
  return 0;
}
