// Incremental parsers of HTTP/1.1 messages, based on http_parser. What that library accepts
// although it is malformed is rejected by checks of our own (head_syntax.h, chunk_syntax.h).
//
//   RequestParser parser({.max_head_bytes = 16384}, observer);
//   Result<std::size_t> used = parser.Feed(bytes);
//
// Feed stops at the end of a message and returns the number of bytes used, so that the caller knows
// which bytes follow the message. Not thread-safe; the observer must not destroy the parser from
// within a call.
#ifndef VERBENARIDGE_HTTP1_MESSAGE_PARSER_H_
#define VERBENARIDGE_HTTP1_MESSAGE_PARSER_H_

#include <cstddef>
#include <memory>
#include <string_view>

#include "verbenaridge/base/result.h"
#include "verbenaridge/http1/message.h"

namespace verbenaridge::http1 {

struct ParserLimits {
  std::size_t max_head_bytes = std::size_t{64} * 1024;  // per message, including line ends
};

class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnHead(RequestHead head) = 0;
  virtual void OnBody(std::string_view data) = 0;
};

class ResponseObserver {
 public:
  virtual ~ResponseObserver() = default;
  virtual void OnHead(ResponseHead head) = 0;
  virtual void OnBody(std::string_view data) = 0;
};

namespace internal {
class ParserState;
}

class RequestParser {
 public:
  RequestParser(const ParserLimits& limits, RequestObserver& observer);
  ~RequestParser();

  // Parses `data` and returns the number of bytes used. Errors: kMalformed; kTooLarge for a head
  // over the limit. Reset must be called after an error or a complete message.
  Result<std::size_t> Feed(std::string_view data);

  void Reset();
  void Reset(const ParserLimits& limits);  // for the next message

  bool started() const;  // at least one byte of the message was parsed
  bool head_complete() const;
  bool complete() const;
  // What is wrong with a malformed message, for logs.
  std::string_view fault() const;

 private:
  std::unique_ptr<internal::ParserState> state_;
};

class ResponseParser {
 public:
  explicit ResponseParser(ResponseObserver& observer, const ParserLimits& limits = {});
  ~ResponseParser();

  // Like RequestParser::Feed. Skips interim responses (1xx).
  Result<std::size_t> Feed(std::string_view data);

  // Called when the peer has closed the connection. Completes a close-delimited body. Errors:
  // kMalformed if the message is truncated.
  Status Finish();

  // `head_request`: the next response is to a HEAD request and has no body.
  void Reset(bool head_request = false);

  bool started() const;
  bool head_complete() const;
  bool complete() const;
  std::string_view fault() const;

 private:
  std::unique_ptr<internal::ParserState> state_;
};

}  // namespace verbenaridge::http1

#endif  // VERBENARIDGE_HTTP1_MESSAGE_PARSER_H_
