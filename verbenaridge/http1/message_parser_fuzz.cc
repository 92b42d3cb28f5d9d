#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "verbenaridge/http1/message_parser.h"

namespace verbenaridge::http1 {
namespace {

class Sink final : public RequestObserver, public ResponseObserver {
 public:
  void OnHead(RequestHead head) override { bytes += Serialize(head).size(); }
  void OnHead(ResponseHead head) override { bytes += Serialize(head).size(); }
  void OnBody(std::string_view data) override { bytes += data.size(); }

  std::size_t bytes = 0;
};

template <class Parser>
void FeedInParts(Parser& parser, std::string_view data) {
  // Feeds parts of different lengths, because a fault may depend on where a read ends.
  for (std::size_t part = 1; !data.empty(); part = part * 3 + 1) {
    const std::string_view next = data.substr(0, part);
    const Result<std::size_t> used = parser.Feed(next);
    if (used.has_error() || parser.complete()) return;
    if (used.value() != next.size()) __builtin_trap();
    data.remove_prefix(next.size());
  }
}

}  // namespace
}  // namespace verbenaridge::http1

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace verbenaridge::http1;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  Sink sink;
  RequestParser requests({.max_head_bytes = 1024}, sink);
  FeedInParts(requests, text);
  ResponseParser responses(sink);
  FeedInParts(responses, text);
  (void)responses.Finish();
  return 0;
}
