// Heads of HTTP/1.1 messages as values.
//
//   RequestHead head = ...;
//   std::string_view host = head.header("host");
//   std::string bytes = Serialize(head);
#ifndef VERBENARIDGE_HTTP1_MESSAGE_H_
#define VERBENARIDGE_HTTP1_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenaridge::http1 {

struct Header {
  std::string name;
  std::string value;
};

// Compares ASCII text without case, as header names are.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Value of the first header with this name; empty if absent.
std::string_view FindHeader(std::span<const Header> headers, std::string_view name);

// Whether the header speaks about one connection only and is not forwarded. `connection` is the
// value of the message's Connection header, which may name further ones.
bool IsHopByHop(std::string_view name, std::string_view connection);

struct RequestHead {
  std::string method;
  std::string target;
  std::vector<Header> headers;
  bool keep_alive = true;

  std::string_view header(std::string_view name) const { return FindHeader(headers, name); }
};

struct ResponseHead {
  int status = 0;
  std::vector<Header> headers;
  bool keep_alive = true;
  // Neither a length nor chunks: the body ends with the connection.
  bool close_delimited = false;

  std::string_view header(std::string_view name) const { return FindHeader(headers, name); }
};

// The head with its empty line, ready to be sent.
std::string Serialize(const RequestHead& head);
std::string Serialize(const ResponseHead& head);

// One chunk of a chunked body. Empty data gives nothing, since an empty chunk ends the body.
std::string SerializeChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view ReasonPhrase(int status);

// The whole number in the text; nothing if there is anything else.
std::optional<std::uint64_t> ParseUnsigned(std::string_view text);

// Text without spaces and tabs at both ends.
std::string_view Trim(std::string_view text);

}  // namespace verbenaridge::http1

#endif  // VERBENARIDGE_HTTP1_MESSAGE_H_
