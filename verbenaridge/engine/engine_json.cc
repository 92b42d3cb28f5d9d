#include "verbenaridge/engine/engine_json.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace verbenaridge::engine {
namespace {

using Json = nlohmann::json;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Prompts reach 4 MB, so they are escaped without a copy into a JSON value. Front ends have checked
// that the text is UTF-8.
void AppendEscaped(std::string& out, std::string_view text) {
  std::size_t begin = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto c = static_cast<unsigned char>(text[i]);
    if (c >= 0x20 && c != '"' && c != '\\') continue;
    out.append(text.substr(begin, i - begin));
    begin = i + 1;
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(static_cast<char>(c));
    } else {
      constexpr std::string_view kHex = "0123456789abcdef";
      out.append("\\u00");
      out.push_back(kHex[c >> 4]);
      out.push_back(kHex[c & 15]);
    }
  }
  out.append(text.substr(begin));
}

// Reads fields of one object; remembers whether a field was missing or of another type.
class Reader {
 public:
  explicit Reader(const Json& json) : json_(json), ok_(json.is_object()) {}

  bool ok() const { return ok_; }

  std::string Text(const char* name, bool required) {
    const Json* field = Find(name, required);
    if (field == nullptr) return {};
    if (!field->is_string()) return Fail<std::string>();
    return field->get<std::string>();
  }

  std::int64_t Integer(const char* name, bool required) {
    const Json* field = Find(name, required);
    if (field == nullptr) return 0;
    if (!field->is_number_integer()) return Fail<std::int64_t>();
    if (field->is_number_unsigned() &&
        field->get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max()) {
      return Fail<std::int64_t>();
    }
    return field->get<std::int64_t>();
  }

  std::uint64_t Unsigned(const char* name, bool required) {
    const Json* field = Find(name, required);
    if (field == nullptr) return 0;
    if (!field->is_number_unsigned()) return Fail<std::uint64_t>();
    return field->get<std::uint64_t>();
  }

  TokenCount Count(const char* name, bool required) {
    const std::int64_t value = Integer(name, required);
    return value < 0 ? Fail<std::int64_t>() : value;
  }

  AttemptNumber Attempt(const char* name) {
    const std::uint64_t value = Unsigned(name, true);
    if (value > std::numeric_limits<AttemptNumber>::max()) return Fail<AttemptNumber>();
    return static_cast<AttemptNumber>(value);
  }

  double Real(const char* name, double limit) {
    const Json* field = Find(name, false);
    if (field == nullptr) return 0;
    if (!field->is_number()) return Fail<double>();
    const double value = field->get<double>();
    return std::isfinite(value) && value >= 0 && value <= limit ? value : Fail<double>();
  }

  bool Flag(const char* name) {
    const Json* field = Find(name, false);
    if (field == nullptr) return false;
    return field->is_boolean() ? field->get<bool>() : Fail<bool>();
  }

  // Elements of an optional list.
  const Json& List(const char* name) {
    static const Json empty = Json::array();
    const Json* field = Find(name, false);
    if (field == nullptr) return empty;
    if (!field->is_array()) ok_ = false;
    return field->is_array() ? *field : empty;
  }

  bool Has(const char* name) const { return json_.is_object() && json_.contains(name); }

 private:
  template <class T>
  T Fail() {
    ok_ = false;
    return T{};
  }

  const Json* Find(const char* name, bool required) {
    if (!json_.is_object()) return nullptr;
    const auto it = json_.find(name);
    if (it != json_.end()) return &*it;
    if (required) ok_ = false;
    return nullptr;
  }

  const Json& json_;
  bool ok_;
};

Json Parse(std::string_view text) { return Json::parse(text, nullptr, false); }

Digest ParseDigest(const std::string& text, bool& ok) {
  Digest digest = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, digest);
  ok = ok && error == std::errc() && rest == end;
  return digest;
}

}  // namespace

std::string EncodeGeneration(const Generation& generation) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(generation.remaining).count();
  std::string body = Dump({{"model", generation.model.value()},
                           {"max_tokens", generation.max_tokens},
                           {"stream", true},
                           {"request_id", generation.request_id.value()},
                           {"attempt", generation.attempt},
                           {"priority", std::string(PriorityName(generation.priority))},
                           {"resume_from", generation.resume_from},
                           {"resume_text", generation.resume_text},
                           {"permit", generation.permit},
                           {"owner_incarnation", generation.owner_incarnation},
                           {"remaining_ms", remaining},
                           {"group_urls", generation.group_urls}});
  std::string_view prompt;
  if (generation.prompt) prompt = *generation.prompt;
  body.reserve(body.size() + prompt.size() + prompt.size() / 16 + 16);
  body.pop_back();
  body.append(",\"prompt\":\"");
  AppendEscaped(body, prompt);
  body.append("\"}");
  return body;
}

std::string EncodeCancel(const RequestId& request, AttemptNumber attempt) {
  return Dump({{"request_id", request.value()}, {"attempt", attempt}});
}

std::string EncodeOrder(const EndpointOrder& order) {
  return Dump(
      {{"kind", order.kind}, {"argument", order.argument}, {"fencing_token", order.fencing_token}});
}

Result<StreamEvent> ParseStreamEvent(std::string_view data) {
  const Json json = Parse(data);
  Reader reader(json);
  StreamEvent event;
  event.request_id = reader.Text("request_id", true);
  event.attempt = reader.Attempt("attempt");
  event.last = reader.Has("finish_reason");
  if (event.last) {
    event.finish_reason = reader.Text("finish_reason", true);
    event.index = -1;
    if (reader.Has("usage")) {
      Reader usage(json["usage"]);
      event.prompt_tokens = usage.Count("prompt_tokens", false);
      event.cached_tokens = usage.Count("cached_tokens", false);
      if (usage.Has("completion_tokens")) event.index = usage.Count("completion_tokens", true);
      if (!usage.ok()) return Errc::kMalformed;
    }
  } else {
    event.index = reader.Count("index", true);
    event.text = reader.Text("text", true);
  }
  if (!reader.ok()) return Errc::kMalformed;
  return event;
}

Result<LoadReport> ParseLoadReport(std::string_view body) {
  constexpr double kMaxRate = 1e9;
  constexpr double kMaxStepMs = 1e6;
  const Json json = Parse(body);
  Reader reader(json);
  LoadReport report;
  report.incarnation = reader.Unsigned("incarnation", true);
  report.kv_capacity_bytes = reader.Count("kv_capacity_bytes", true);
  report.kv_used_bytes = reader.Count("kv_used_bytes", true);
  report.kv_bytes_per_token = reader.Count("kv_bytes_per_token", false);
  report.prefill_tokens_per_second = reader.Real("prefill_tokens_per_second", kMaxRate);
  report.decode_step = FromSeconds(reader.Real("decode_step_ms", kMaxStepMs) / 1000);
  report.role = reader.Text("role", false);
  report.leaving = reader.Flag("leaving");
  for (const Json& model : reader.List("models")) {
    if (!model.is_string()) return Errc::kMalformed;
    report.models.push_back(model.get<std::string>());
  }
  for (const Json& element : reader.List("streams")) {
    Reader stream(element);
    report.streams.push_back({.request_id = RequestId(stream.Text("request_id", true)),
                              .attempt = stream.Attempt("attempt"),
                              .permit = stream.Unsigned("permit", false),
                              .kv_bytes = stream.Count("kv_bytes", false)});
    if (!stream.ok()) return Errc::kMalformed;
  }
  if (!reader.ok()) return Errc::kMalformed;
  return report;
}

Result<std::vector<CacheEvent>> ParseCacheEvents(std::string_view body) {
  const Json json = Parse(body);
  Reader reader(json);
  std::vector<CacheEvent> events;
  for (const Json& element : reader.List("events")) {
    Reader event(element);
    bool digest_ok = true;
    events.push_back({.sequence = event.Unsigned("sequence", true),
                      .added = event.Flag("added"),
                      .block = ParseDigest(event.Text("block", true), digest_ok)});
    if (!event.ok() || !digest_ok) return Errc::kMalformed;
  }
  if (!reader.ok()) return Errc::kMalformed;
  return events;
}

}  // namespace verbenaridge::engine
