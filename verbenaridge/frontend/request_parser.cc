#include "verbenaridge/frontend/request_parser.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace verbenaridge::frontend {
namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kMaxBearerKeyBytes = 512;
constexpr TokenCount kMaxTokensLimit = 1'000'000;
constexpr auto kMaxDeadline = std::chrono::hours(24);
constexpr auto kMaxKeyLife = std::chrono::minutes(10);

// Callers' clocks may be ahead of ours by the fleet's clock skew bound.
constexpr auto kClockSkew = std::chrono::seconds(5);

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == ':' || c == '-';
}

template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) return {};
  return value;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    unsigned value = 0;
    if (i + 2 >= text.size()) return {};
    const auto [end, error] = std::from_chars(&text[i + 1], &text[i + 1] + 2, value, 16);
    if (error != std::errc() || end != &text[i + 1] + 2) return {};
    out.push_back(static_cast<char>(value));
    i += 2;
  }
  return out;
}

std::vector<std::string_view> SplitPath(std::string_view path) {
  std::vector<std::string_view> parts;
  while (!path.empty()) {
    const std::size_t slash = path.find('/');
    parts.push_back(path.substr(0, slash));
    if (slash == std::string_view::npos) break;
    path.remove_prefix(slash + 1);
    if (path.empty()) parts.emplace_back();
  }
  return parts;
}

Parsed<Route> ParseServiceRoute(std::string_view method, std::span<const std::string_view> parts) {
  std::array<std::string, 3> names;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    auto decoded = PercentDecode(parts[i]);
    if (!decoded || decoded->empty() || decoded->size() > kMaxKeyBytes ||
        !IsVisibleAscii(*decoded)) {
      return BadRequest("the path has an invalid part");
    }
    names.at(i) = std::move(*decoded);
  }
  const bool call = parts.size() == 2;
  if (method != (call ? "POST" : "GET")) return BadRequest("method not allowed", 405);
  return Route{.kind = call ? RouteKind::kServiceCall : RouteKind::kServiceLookup,
               .service = std::move(names[0]),
               .operation = std::move(names[1]),
               .key = std::move(names[2])};
}

// Reads the fields of a completion request; skips all others, however deeply nested.
class CompletionReader final : public nlohmann::json_sax<nlohmann::json> {
 public:
  CompletionBody body;
  bool has_model = false;
  bool has_prompt = false;
  std::string error;

  bool null() override { return true; }  // null stands for the default, as in OpenAI's interface

  bool boolean(bool value) override {
    if (depth_ != 1) return depth_ > 1 ? CheckNested() : Fail("the body is not a JSON object");
    if (key_ == "stream") {
      body.stream = value;
      return true;
    }
    return CheckScalar();
  }

  bool number_integer(number_integer_t value) override { return Integer(value); }

  bool number_unsigned(number_unsigned_t value) override {
    return Integer(static_cast<std::int64_t>(
        std::min<std::uint64_t>(value, std::numeric_limits<std::int64_t>::max())));
  }

  bool number_float(number_float_t, const string_t&) override {
    if (depth_ == 1 && (key_ == "max_tokens" || key_ == "n")) return Fail(key_ + " is no integer");
    return depth_ == 1 ? CheckScalar() : CheckNested();
  }

  bool string(string_t& value) override {
    if (depth_ == 2 && in_prompt_list_) {
      if (has_prompt) return Fail("prompt has more than one element");
      return TakePrompt(value);
    }
    if (depth_ != 1) return depth_ > 1 || Fail("the body is not a JSON object");
    if (key_ == "prompt") return TakePrompt(value);
    if (key_ == "model") {
      has_model = true;
      body.model = std::move(value);
      return true;
    }
    if (key_ == "max_tokens" || key_ == "stream" || key_ == "n") return Fail(WrongType());
    return true;
  }

  bool binary(binary_t&) override { return Fail("binary values are not JSON"); }

  bool start_object(std::size_t) override {
    if (depth_ >= 1 && !Nest()) return false;
    ++depth_;
    return true;
  }

  bool key(string_t& value) override {
    if (depth_ == 1) key_ = value;
    return true;
  }

  bool end_object() override {
    --depth_;
    return true;
  }

  bool start_array(std::size_t) override {
    if (depth_ == 0) return Fail("the body is not a JSON object");
    if (depth_ == 1 && key_ == "prompt") {
      in_prompt_list_ = true;
    } else if (!Nest()) {
      return false;
    }
    ++depth_;
    return true;
  }

  bool end_array() override {
    --depth_;
    if (depth_ == 1) in_prompt_list_ = false;
    return true;
  }

  bool parse_error(std::size_t position, const std::string&,
                   const nlohmann::json::exception&) override {
    return Fail("the body is not valid JSON in UTF-8 (at byte " + std::to_string(position) + ")");
  }

 private:
  bool Fail(std::string detail) {
    if (error.empty()) error = std::move(detail);
    return false;
  }

  std::string WrongType() const { return key_ + " has the wrong type"; }

  bool TakePrompt(string_t& value) {
    has_prompt = true;
    body.prompt = std::move(value);
    return true;
  }

  bool Integer(std::int64_t value) {
    if (depth_ != 1) return depth_ > 1 ? CheckNested() : Fail("the body is not a JSON object");
    if (key_ == "max_tokens") {
      if (value < 1 || value > kMaxTokensLimit) return Fail("max_tokens is out of range");
      body.max_tokens = value;
      return true;
    }
    if ((key_ == "n" || key_ == "best_of") && value != 1) return Fail(key_ + " must be 1");
    return CheckScalar();
  }

  // A scalar of the wrong type for a known field is refused.
  bool CheckScalar() {
    const bool wrong =
        key_ == "model" || key_ == "prompt" || key_ == "stream" || key_ == "max_tokens";
    return !wrong || Fail(WrongType());
  }

  bool CheckNested() {
    return !in_prompt_list_ || Fail("prompt must be a string; token lists are not accepted");
  }

  bool Nest() {
    if (depth_ == 1) return CheckScalar();
    return CheckNested();
  }

  int depth_ = 0;
  bool in_prompt_list_ = false;
  std::string key_;
};

std::optional<std::int64_t> Digits(std::string_view text, std::size_t at, std::size_t count) {
  if (at + count > text.size()) return {};
  const std::string_view part = text.substr(at, count);
  if (!std::all_of(part.begin(), part.end(), [](char c) { return c >= '0' && c <= '9'; })) {
    return {};
  }
  return ParseNumber<std::int64_t>(part);
}

// The fraction of a second and the zone: "Z", ".25Z" or "+00:00".
std::optional<Duration> ParseFractionAndZone(std::string_view rest) {
  Duration fraction{};
  if (rest.starts_with('.')) {
    std::size_t digits = 1;
    Duration unit = std::chrono::milliseconds(100);
    for (; digits < rest.size() && rest[digits] >= '0' && rest[digits] <= '9'; ++digits) {
      fraction += unit * (rest[digits] - '0');
      unit /= 10;
    }
    if (digits == 1) return {};
    rest.remove_prefix(digits);
  }
  if (rest != "Z" && rest != "z" && rest != "+00:00") return {};
  return fraction;
}

}  // namespace

Rejection BadRequest(std::string detail, int status) {
  const auto kind = status == 404 ? calls::FailureKind::kNotFound : calls::FailureKind::kBadRequest;
  return {.status = status,
          .failure = {.kind = kind,
                      .outcome = Outcome::kNotRun,
                      .detail = std::move(detail),
                      .retry_after = std::nullopt}};
}

Parsed<Route> ParseRoute(std::string_view method, std::string_view target) {
  target = target.substr(0, target.find('?'));
  if (target == "/v1/completions") {
    if (method != "POST") return BadRequest("method not allowed", 405);
    return Route{.kind = RouteKind::kCompletion, .service = {}, .operation = {}, .key = {}};
  }
  if (target == "/v1/models") {
    if (method != "GET") return BadRequest("method not allowed", 405);
    return Route{.kind = RouteKind::kModels, .service = {}, .operation = {}, .key = {}};
  }
  constexpr std::string_view kServices = "/v1/services/";
  if (target.starts_with(kServices)) {
    const auto parts = SplitPath(target.substr(kServices.size()));
    if (parts.size() == 2 || parts.size() == 3) return ParseServiceRoute(method, parts);
  }
  return BadRequest("no such path", 404);
}

Parsed<RequestId> ParseRequestId(const HttpCall& call) {
  const std::string_view text = call.header("X-Request-Id");
  if (text.size() > kMaxRequestIdBytes || !std::all_of(text.begin(), text.end(), IsIdCharacter)) {
    return BadRequest("X-Request-Id is invalid");
  }
  return RequestId(std::string(text));
}

Parsed<calls::CallHeader> ParseCallHeader(const HttpCall& call, RequestId request_id) {
  calls::CallHeader header;
  header.request_id = std::move(request_id);
  const std::string_view authorization = call.header("Authorization");
  const std::size_t space = authorization.find(' ');
  const std::string_view scheme = authorization.substr(0, space);
  const std::string_view key =
      space == std::string_view::npos ? std::string_view() : authorization.substr(space + 1);
  if (!EqualsIgnoringCase(scheme, "Bearer") || key.empty() || key.size() > kMaxBearerKeyBytes ||
      !IsVisibleAscii(key)) {
    Rejection rejection = BadRequest("a bearer key is required", 401);
    rejection.failure.kind = calls::FailureKind::kUnauthenticated;
    return rejection;
  }
  header.bearer_key = key;
  if (const std::string_view text = call.header("X-Priority"); !text.empty()) {
    header.priority = ParsePriority(text);
    if (!header.priority) return BadRequest("X-Priority is not urgent, standard or background");
  }
  if (const std::string_view text = call.header("X-Deadline-Ms"); !text.empty()) {
    const auto milliseconds = ParseNumber<std::int64_t>(text);
    if (!milliseconds || *milliseconds < 1 ||
        *milliseconds > std::chrono::milliseconds(kMaxDeadline).count()) {
      return BadRequest("X-Deadline-Ms is invalid");
    }
    header.deadline = std::chrono::milliseconds(*milliseconds);
  }
  const std::string_view trace = call.header("traceparent");
  // An invalid trace context is dropped, as W3C Trace Context asks.
  if (trace.size() >= 55 && trace.size() <= 128 && IsVisibleAscii(trace)) {
    header.traceparent = trace;
  }
  return header;
}

Parsed<CompletionBody> ParseCompletionBody(std::string_view body) {
  CompletionReader reader;
  const bool complete = nlohmann::json::sax_parse(body.begin(), body.end(), &reader);
  if (!complete) {
    return BadRequest(reader.error.empty() ? "the body is not valid JSON" : reader.error);
  }
  if (!reader.has_model || reader.body.model.empty()) return BadRequest("model is missing");
  if (!reader.has_prompt || reader.body.prompt.empty()) return BadRequest("prompt is missing");
  return std::move(reader.body);
}

Parsed<Idempotency> ParseIdempotency(const HttpCall& call, WallTime now) {
  Idempotency idempotency;
  idempotency.key = call.header("Idempotency-Key");
  if (idempotency.key.size() > kMaxKeyBytes || !IsVisibleAscii(idempotency.key)) {
    return BadRequest("Idempotency-Key is invalid");
  }
  const std::string_view text = call.header("Idempotency-Expires");
  if (text.empty()) return idempotency;
  if (idempotency.key.empty()) return BadRequest("Idempotency-Expires needs Idempotency-Key");
  idempotency.expiry = ParseWallTime(text);
  if (!idempotency.expiry) return BadRequest("Idempotency-Expires is not a time");
  if (*idempotency.expiry > now + kMaxKeyLife + kClockSkew) {
    return BadRequest("Idempotency-Expires is over 10 minutes ahead");
  }
  if (*idempotency.expiry <= now) return BadRequest("Idempotency-Expires has passed");
  return idempotency;
}

std::optional<WallTime> ParseWallTime(std::string_view text) {
  // Nanoseconds since 1970 end in 2262; the bound keeps the arithmetic in range.
  constexpr std::int64_t kMaxUnixSeconds = 9'000'000'000;
  if (text.find('-') == std::string_view::npos) {
    const auto seconds = ParseNumber<std::int64_t>(text);
    if (!seconds || *seconds < 0 || *seconds > kMaxUnixSeconds) return {};
    return WallTime(std::chrono::seconds(*seconds));
  }
  if (text.size() < 20 || text[4] != '-' || text[7] != '-' ||
      (text[10] != 'T' && text[10] != 't') || text[13] != ':' || text[16] != ':') {
    return {};
  }
  const auto year = Digits(text, 0, 4), month = Digits(text, 5, 2), day = Digits(text, 8, 2);
  const auto hour = Digits(text, 11, 2), minute = Digits(text, 14, 2), second = Digits(text, 17, 2);
  const auto fraction = ParseFractionAndZone(text.substr(19));
  if (!year || !month || !day || !hour || !minute || !second || !fraction) return {};
  const std::chrono::year_month_day date{std::chrono::year(static_cast<int>(*year)),
                                         std::chrono::month(static_cast<unsigned>(*month)),
                                         std::chrono::day(static_cast<unsigned>(*day))};
  if (!date.ok() || *year < 1970 || *year > 2200 || *hour > 23 || *minute > 59 || *second > 60) {
    return {};
  }
  const std::chrono::sys_days midnight{date};
  return WallTime(midnight.time_since_epoch() + std::chrono::hours(*hour) +
                  std::chrono::minutes(*minute) + std::chrono::seconds(*second) + *fraction);
}

std::optional<Rejection> CheckJsonContent(const HttpCall& call) {
  const std::string_view encoding = call.header("Content-Encoding");
  if (!encoding.empty() && !EqualsIgnoringCase(encoding, "identity")) {
    return BadRequest("Content-Encoding is not supported");
  }
  const std::string_view type = call.header("Content-Type");
  const std::size_t charset = type.find("charset=");
  if (charset != std::string_view::npos) {
    std::string_view name = type.substr(charset + 8);
    if (name.starts_with('"')) name.remove_prefix(1);
    if (!EqualsIgnoringCase(name.substr(0, 5), "utf-8")) return BadRequest("charset is not UTF-8");
  }
  return std::nullopt;
}

}  // namespace verbenaridge::frontend
