#include "verbenaridge/http1/message_parser.h"

#include <http_parser.h>

#include <utility>

#include "verbenaridge/http1/chunk_syntax.h"
#include "verbenaridge/http1/head_syntax.h"
#include "verbenaridge/http1/syntax_fault.h"

namespace verbenaridge::http1 {
namespace {

// An endpoint that sends interim responses without end never responds.
constexpr int kMaxInterimResponses = 16;

}  // namespace

namespace internal {

// State and callbacks of both parsers. The callbacks of http_parser find it in `parser.data`.
class ParserState {
 public:
  ParserState(http_parser_type type, const ParserLimits& limits, RequestObserver* request_observer,
              ResponseObserver* response_observer)
      : type_(type),
        limits_(limits),
        request_observer_(request_observer),
        response_observer_(response_observer),
        head_syntax_(type == HTTP_REQUEST ? Section::kRequestHead : Section::kResponseHead) {
    Reset(false);
  }

  void Reset(bool head_request) {
    head_request_ = head_request;
    started_ = head_complete_ = complete_ = too_large_ = false;
    interim_responses_ = 0;
    fault_ = {};
    BeginMessage();
  }

  void SetLimits(const ParserLimits& limits) { limits_ = limits; }

  Result<std::size_t> Feed(std::string_view data) {
    if (complete_ || data.empty()) return std::size_t{0};
    std::size_t used = 0;
    while (used < data.size() && !complete_) {
      started_ = true;
      std::string_view next = data.substr(used);
      if (!head_complete_) {
        next = next.substr(0, head_syntax_.Feed(next));
        if (head_syntax_.fault() != SyntaxFault::kNone) {
          return Malformed(ToText(head_syntax_.fault()));
        }
      } else if (chunked_) {
        next = next.substr(0, chunk_syntax_.Feed(next));
        if (chunk_syntax_.fault() != SyntaxFault::kNone) {
          return Malformed(ToText(chunk_syntax_.fault()));
        }
      }
      if (next.empty()) return Malformed("end");  // http_parser finds it elsewhere
      used += http_parser_execute(&parser_, &Callbacks(), next.data(), next.size());
      const auto error = HTTP_PARSER_ERRNO(&parser_);
      if (too_large_) return Errc::kTooLarge;
      if (interim_ && error == HPE_PAUSED) {
        if (++interim_responses_ > kMaxInterimResponses) return Malformed("interim_responses");
        BeginMessage();
        continue;
      }
      if (error == HPE_PAUSED) break;
      if (error == HPE_CB_headers_complete) return Errc::kMalformed;
      if (error != HPE_OK) return Malformed(http_errno_name(error));
      if (parser_.upgrade != 0) return Malformed("upgrade");
    }
    return used;
  }

  Status Finish() {
    if (complete_) return Ok();
    if (!head_complete_) return Errc::kMalformed;
    http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
    if (!complete_) return Errc::kMalformed;
    return Ok();
  }

  bool started() const { return started_; }
  bool head_complete() const { return head_complete_; }
  bool complete() const { return complete_; }
  std::string_view fault() const { return fault_; }

 private:
  Errc Malformed(std::string_view fault) {
    fault_ = fault;
    return Errc::kMalformed;
  }

  // For the callback at the end of the head: http_parser stops with HPE_CB_headers_complete.
  int RejectHead(SyntaxFault fault) {
    fault_ = ToText(fault);
    return -1;
  }

  static ParserState& Of(http_parser* parser) { return *static_cast<ParserState*>(parser->data); }

  static const http_parser_settings& Callbacks() {
    static const http_parser_settings settings = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_url = [](http_parser* p, const char* at, size_t n) {
        return Of(p).Append(Of(p).target_, at, n);
      };
      s.on_header_field = [](http_parser* p, const char* at, size_t n) {
        return Of(p).OnHeaderName(at, n);
      };
      s.on_header_value = [](http_parser* p, const char* at, size_t n) {
        return Of(p).OnHeaderValue(at, n);
      };
      s.on_headers_complete = [](http_parser* p) { return Of(p).OnHeadersComplete(); };
      s.on_body = [](http_parser* p, const char* at, size_t n) { return Of(p).OnBody({at, n}); };
      s.on_message_complete = [](http_parser* p) { return Of(p).OnComplete(); };
      return s;
    }();
    return settings;
  }

  int CountHeadBytes(std::size_t bytes) {
    head_bytes_ += bytes;
    too_large_ = head_bytes_ > limits_.max_head_bytes;
    return too_large_ ? 1 : 0;
  }

  int Append(std::string& text, const char* at, std::size_t n) {
    text.append(at, n);
    return CountHeadBytes(n);
  }

  int OnHeaderName(const char* at, std::size_t n) {
    if (head_complete_) return 0;  // trailers are not forwarded
    if (last_was_value_ || headers_.empty()) {
      headers_.emplace_back();
      last_was_value_ = false;
      CountHeadBytes(4);  // separator and line end
    }
    return Append(headers_.back().name, at, n);
  }

  int OnHeaderValue(const char* at, std::size_t n) {
    if (head_complete_ || headers_.empty()) return 0;
    last_was_value_ = true;
    return Append(headers_.back().value, at, n);
  }

  int OnHeadersComplete() {
    const bool keep_alive = http_should_keep_alive(&parser_) != 0;
    if (parser_.http_major != 1) return RejectHead(SyntaxFault::kVersion);
    if (!IsFramingKnown()) return RejectHead(SyntaxFault::kTransferCoding);
    chunked_ = (parser_.flags & F_CHUNKED) != 0;
    if (type_ == HTTP_REQUEST) {
      head_complete_ = true;
      request_observer_->OnHead(
          {.method = http_method_str(static_cast<http_method>(parser_.method)),
           .target = std::move(target_),
           .headers = std::move(headers_),
           .keep_alive = keep_alive});
      return 0;
    }
    const int status = static_cast<int>(parser_.status_code);
    interim_ = status >= 100 && status < 200;
    if (interim_) return 1;
    head_complete_ = true;
    const bool close_delimited = http_message_needs_eof(parser_) && !head_request_;
    response_observer_->OnHead({.status = status,
                                .headers = std::move(headers_),
                                .keep_alive = keep_alive,
                                .close_delimited = close_delimited});
    return head_request_ || !HasContent(status) ? 1 : 0;
  }

  // Whether responses with this status have a body, as far as the framing of their head says so.
  static bool HasContent(int status) { return status != 204 && status != 304; }

  // Whether the body is under no coding other than `chunked`, which HTTP/1.0 does not have. No
  // other is decoded here, and the field that names it is not forwarded.
  bool IsFramingKnown() const {
    int codings = 0;
    for (const Header& header : headers_) {
      if (!EqualsIgnoringCase(header.name, "Transfer-Encoding")) continue;
      if (!EqualsIgnoringCase(Trim(header.value), "chunked")) return false;
      ++codings;
    }
    return codings == 0 || (codings == 1 && parser_.http_minor > 0);
  }

  static bool http_message_needs_eof(const http_parser& parser) {
    return HasContent(static_cast<int>(parser.status_code)) &&
           (parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
  }

  int OnBody(std::string_view data) {
    if (type_ == HTTP_REQUEST) {
      request_observer_->OnBody(data);
    } else {
      response_observer_->OnBody(data);
    }
    return 0;
  }

  int OnComplete() {
    complete_ = !interim_;
    http_parser_pause(&parser_, 1);
    return 0;
  }

  void BeginMessage() {
    http_parser_init(&parser_, type_);
    parser_.data = this;
    head_syntax_.Reset();
    chunk_syntax_.Reset();
    chunked_ = false;
    interim_ = false;
    target_.clear();
    headers_.clear();
    last_was_value_ = false;
    head_bytes_ = 0;
  }

  const http_parser_type type_;
  ParserLimits limits_;
  RequestObserver* const request_observer_;
  ResponseObserver* const response_observer_;
  HeadSyntax head_syntax_;
  ChunkSyntax chunk_syntax_;
  bool chunked_ = false;
  http_parser parser_{};
  std::string_view fault_;  // a constant
  std::string target_;
  std::vector<Header> headers_;
  std::size_t head_bytes_ = 0;
  bool last_was_value_ = false;
  bool head_request_ = false;
  bool started_ = false;
  bool head_complete_ = false;
  bool complete_ = false;
  bool too_large_ = false;
  bool interim_ = false;  // the message being parsed has a status of 1xx
  int interim_responses_ = 0;
};

}  // namespace internal

RequestParser::RequestParser(const ParserLimits& limits, RequestObserver& observer)
    : state_(std::make_unique<internal::ParserState>(HTTP_REQUEST, limits, &observer, nullptr)) {}
RequestParser::~RequestParser() = default;
Result<std::size_t> RequestParser::Feed(std::string_view data) { return state_->Feed(data); }
void RequestParser::Reset() { state_->Reset(false); }
void RequestParser::Reset(const ParserLimits& limits) {
  state_->SetLimits(limits);
  state_->Reset(false);
}
bool RequestParser::started() const { return state_->started(); }
bool RequestParser::head_complete() const { return state_->head_complete(); }
bool RequestParser::complete() const { return state_->complete(); }
std::string_view RequestParser::fault() const { return state_->fault(); }

ResponseParser::ResponseParser(ResponseObserver& observer, const ParserLimits& limits)
    : state_(std::make_unique<internal::ParserState>(HTTP_RESPONSE, limits, nullptr, &observer)) {}
ResponseParser::~ResponseParser() = default;
Result<std::size_t> ResponseParser::Feed(std::string_view data) { return state_->Feed(data); }
Status ResponseParser::Finish() { return state_->Finish(); }
void ResponseParser::Reset(bool head_request) { state_->Reset(head_request); }
bool ResponseParser::started() const { return state_->started(); }
bool ResponseParser::head_complete() const { return state_->head_complete(); }
bool ResponseParser::complete() const { return state_->complete(); }
std::string_view ResponseParser::fault() const { return state_->fault(); }

}  // namespace verbenaridge::http1
