// Heads of HTTP/1.1 messages, and helpers to parse and serialize them.
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

// Compares ASCII text case-insensitively, as for header names.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Value of the first header with this name; empty if absent.
std::string_view FindHeader(std::span<const Header> headers, std::string_view name);

// Whether the header applies to a single connection and must not be forwarded. `connection` is the
// value of the message's Connection header, which may name further hop-by-hop headers.
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
  // The body has neither a length nor chunks and ends when the connection is closed.
  bool close_delimited = false;

  std::string_view header(std::string_view name) const { return FindHeader(headers, name); }
};

// The head in wire format, including the empty line that ends it.
std::string Serialize(const RequestHead& head);
std::string Serialize(const ResponseHead& head);

// One chunk of a chunked body. Empty for empty data, because an empty chunk would end the body.
std::string SerializeChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view ReasonPhrase(int status);

// Parses a decimal whole number. Empty if the text contains anything else or is out of range.
std::optional<std::uint64_t> ParseUnsigned(std::string_view text);

// Removes spaces and tabs at both ends.
std::string_view Trim(std::string_view text);

}  // namespace verbenaridge::http1

#endif  // VERBENARIDGE_HTTP1_MESSAGE_H_
