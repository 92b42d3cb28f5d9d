#include "verbenaridge/http1/message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace verbenaridge::http1 {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {"connection",
                                                       "keep-alive",
                                                       "proxy-authenticate",
                                                       "proxy-authorization",
                                                       "proxy-connection",
                                                       "te",
                                                       "trailer",
                                                       "transfer-encoding",
                                                       "upgrade"};

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

void AppendHeaders(std::span<const Header> headers, std::string& out) {
  for (const Header& header : headers) {
    out.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  out.append("\r\n");
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                            [](char x, char y) { return Lower(x) == Lower(y); });
}

std::string_view FindHeader(std::span<const Header> headers, std::string_view name) {
  for (const Header& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) return header.value;
  }
  return {};
}

bool IsHopByHop(std::string_view name, std::string_view connection) {
  for (const std::string_view known : kHopByHop) {
    if (EqualsIgnoringCase(name, known)) return true;
  }
  while (!connection.empty()) {
    const std::size_t end = std::min(connection.find(','), connection.size());
    if (EqualsIgnoringCase(Trim(connection.substr(0, end)), name)) return true;
    connection.remove_prefix(std::min(end + 1, connection.size()));
  }
  return false;
}

std::string Serialize(const RequestHead& head) {
  std::string out;
  out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
  AppendHeaders(head.headers, out);
  return out;
}

std::string Serialize(const ResponseHead& head) {
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
  out.append(ReasonPhrase(head.status)).append("\r\n");
  AppendHeaders(head.headers, out);
  return out;
}

std::string SerializeChunk(std::string_view data) {
  if (data.empty()) return {};
  std::array<char, 18> size{};
  const auto end = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
  std::string out(size.data(), end.ptr);
  out.append("\r\n").append(data).append("\r\n");
  return out;
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) return {};
  return value;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace verbenaridge::http1
