#include <cctype>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "verbenaridge/http1/message_parser.h"

namespace verbenaridge::http1 {
namespace {

// What is forwarded must not be read in another way by the receiver.
void CheckText(std::string_view text) {
  for (const char c : text) {
    if (std::iscntrl(static_cast<unsigned char>(c)) != 0 && c != '\t') __builtin_trap();
  }
}

void CheckHeaders(std::span<const Header> headers) {
  for (const Header& header : headers) {
    if (header.name.empty() || header.name.find_first_of(" \t:") != std::string::npos) {
      __builtin_trap();
    }
    CheckText(header.name);
    CheckText(header.value);
  }
}

class Sink final : public RequestObserver, public ResponseObserver {
 public:
  void OnHead(RequestHead head) override {
    CheckText(head.target);
    CheckHeaders(head.headers);
    bytes += Serialize(head).size();
  }
  void OnHead(ResponseHead head) override {
    if (head.status < 200 || head.status > 599) __builtin_trap();
    CheckHeaders(head.headers);
    bytes += Serialize(head).size();
  }
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
  // Random bytes seldom get as far as the fields of a head or a chunk.
  for (const char* const start :
       {"", "POST / HTTP/1.1\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    RequestParser requests({.max_head_bytes = 1024}, sink);
    FeedInParts(requests, std::string(start).append(text));
  }
  for (const char* const start : {"", "HTTP/1.1 ", "HTTP/1.1 200 OK\r\n",
                                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    ResponseParser responses(sink);
    FeedInParts(responses, std::string(start).append(text));
    (void)responses.Finish();
  }
  return 0;
}
