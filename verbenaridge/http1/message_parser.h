// Incremental parser of one HTTP/1.1 message, on http_parser.
//
//   RequestParser parser({.max_head_bytes = 16384}, observer);
//   Result<std::size_t> used = parser.Feed(bytes);
//
// Feed stops after the end of a message, so that the caller sees which bytes are left over. Not
// thread-safe; the observer must not destroy the parser from within a call.
#ifndef VERBENARIDGE_HTTP1_MESSAGE_PARSER_H_
#define VERBENARIDGE_HTTP1_MESSAGE_PARSER_H_

#include <cstddef>
#include <memory>
#include <string_view>

#include "verbenaridge/base/result.h"
#include "verbenaridge/http1/message.h"

namespace verbenaridge::http1 {

struct ParserLimits {
  std::size_t max_head_bytes = std::size_t{64} * 1024;  // of one message's head, with its line ends
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

  // Bytes used. Errors: kMalformed; kTooLarge for a head over the limit. After an error or a
  // complete message, Reset comes first.
  Result<std::size_t> Feed(std::string_view data);

  void Reset();

  bool started() const;  // at least one byte of a message was read
  bool head_complete() const;
  bool complete() const;

 private:
  std::unique_ptr<internal::ParserState> state_;
};

class ResponseParser {
 public:
  explicit ResponseParser(ResponseObserver& observer, const ParserLimits& limits = {});
  ~ResponseParser();

  // As RequestParser::Feed. Interim responses (1xx) are skipped.
  Result<std::size_t> Feed(std::string_view data);

  // The connection ended in order: completes a body that has no length. kMalformed if the message
  // is cut off.
  Status Finish();

  // `head_request`: the response to a HEAD request has no body.
  void Reset(bool head_request = false);

  bool started() const;
  bool head_complete() const;
  bool complete() const;

 private:
  std::unique_ptr<internal::ParserState> state_;
};

}  // namespace verbenaridge::http1

#endif  // VERBENARIDGE_HTTP1_MESSAGE_PARSER_H_
