#include "verbenaridge/fakes/fake_endpoint.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace verbenaridge::fakes {
namespace {

using Json = nlohmann::json;
using frontend::ResponseHeader;

void SendJson(frontend::ResponseWriter& writer, int status, const Json& json) {
  const std::array<ResponseHeader, 1> headers = {{{"Content-Type", "application/json"}}};
  writer.Send(status, headers, json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void Refuse(frontend::ResponseWriter& writer, int status, const std::string& detail) {
  const std::array<ResponseHeader, 2> headers = {
      {{"Content-Type", "application/json"}, {"X-Not-Run", "1"}}};
  writer.Send(status, headers, Json{{"detail", detail}}.dump());
}

std::string Event(const Json& json) { return "data: " + json.dump() + "\n\n"; }

Incarnation NewIncarnation() {
  return static_cast<Incarnation>(std::chrono::system_clock::now().time_since_epoch().count());
}

FakeGeneration ParseGeneration(Json& json) {
  FakeGeneration generation;
  generation.request_id = json.value("request_id", "");
  generation.attempt = json.value("attempt", AttemptNumber{1});
  generation.prompt = std::move(json.at("prompt").get_ref<std::string&>());
  generation.max_tokens = json.value("max_tokens", TokenCount{16});
  generation.resume_from = json.value("resume_from", TokenCount{0});
  generation.priority =
      ParsePriority(json.value("priority", "standard")).value_or(Priority::kStandard);
  generation.permit = json.value("permit", std::uint64_t{0});
  return generation;
}

}  // namespace

// A completion on its way into the engine.
struct FakeEndpoint::Parts {
  FakeGeneration generation;
  std::vector<std::string> group_urls;
  std::size_t reserved = 0;  // members that hold memory for it
  Writer writer;
};

FakeEndpoint::FakeEndpoint(asio::io_context& io_context, FakeEndpointOptions options)
    : io_context_(io_context),
      options_(std::move(options)),
      engine_(io_context, options_.engine,
              [this] {
                if (options_.on_crash) {
                  options_.on_crash();
                } else {
                  Crash();
                }
              }),
      http_(io_context),
      server_(io_context, {.address = options_.address, .port = options_.port, .share_port = false},
              *this),
      load_timer_(io_context),
      models_(options_.models),
      role_(options_.role),
      incarnation_(NewIncarnation()) {
  load_report_ = RenderLoad();
  ScheduleLoadReport();
}

FakeEndpoint::~FakeEndpoint() { *alive_ = false; }

Status FakeEndpoint::Open() { return server_.Open(); }

std::string FakeEndpoint::url() const {
  return "http://" + options_.address + ":" + std::to_string(server_.port());
}

void FakeEndpoint::Crash() {
  engine_.Reset();
  for (auto& [id, writer] : std::exchange(writers_, {})) writer->Abort();
  fencing_token_ = 0;
  ++incarnation_;
}

void FakeEndpoint::Handle(const frontend::HttpCall& call, Writer writer) {
  const std::string_view path = call.target.substr(0, call.target.find('?'));
  if (silent_) return writer->SetCallbacks([writer] {}, nullptr);
  try {
    if (path == "/v1/completions") return Complete(call.body, writer);
    if (path.starts_with("/services/")) return RunService(call, writer);
    if (path == "/executions") return SendJson(*writer, 200, executions_);
    const std::array<ResponseHeader, 1> headers = {{{"Content-Type", "application/json"}}};
    if (path == "/load") {
      const bool live = options_.load_lag == Duration::zero();
      return writer->Send(200, headers, live ? RenderLoad() : load_report_);
    }
    if (path == "/cache/events") return writer->Send(200, headers, RenderCacheEvents(call.target));
    if (path == "/orders") return TakeOrder(call.body, writer);
    const Json json = Json::parse(call.body);
    if (path == "/v1/cancel") {
      const bool known = engine_.Cancel(json.at("request_id").get<std::string>(),
                                        json.at("attempt").get<AttemptNumber>());
      return SendJson(*writer, 200, {{"cancelled", known}});
    }
    if (path == "/kv/export") {
      Json blocks = Json::array();
      for (const Digest block : engine_.CachedBlocks(json.at("prompt").get<std::string>())) {
        blocks.push_back(std::to_string(block));
      }
      return SendJson(*writer, 200, {{"blocks", blocks}});
    }
    if (path == "/kv/import") {
      std::vector<Digest> blocks;
      for (const Json& block : json.at("blocks")) {
        blocks.push_back(std::stoull(block.get<std::string>()));
      }
      engine_.AddBlocks(blocks);
      return SendJson(*writer, 200, {{"imported", blocks.size()}});
    }
    if (path == "/groups/reserve" || path == "/groups/release") {
      const std::string key = json.at("request_id").get<std::string>() + "/" +
                              std::to_string(json.at("attempt").get<AttemptNumber>());
      if (path == "/groups/release") {
        engine_.Release(key);
      } else if (!engine_.Reserve(key, json.at("kv_bytes").get<ByteCount>())) {
        return Refuse(*writer, 503, "memory is full");
      }
      return SendJson(*writer, 200, Json::object());
    }
    SendJson(*writer, 404, {{"detail", "no such path"}});
  } catch (const std::exception& error) {
    SendJson(*writer, 400, {{"detail", error.what()}});
  }
}

void FakeEndpoint::Complete(std::string_view body, const Writer& writer) {
  Json json = Json::parse(body);
  auto parts = std::make_shared<Parts>();
  parts->generation = ParseGeneration(json);
  parts->group_urls = json.value("group_urls", std::vector<std::string>{});
  parts->generation.group_size = static_cast<int>(parts->group_urls.size()) + 1;
  parts->writer = writer;
  const std::string model = json.value("model", "");
  if (std::find(models_.begin(), models_.end(), model) == models_.end()) {
    return Refuse(*writer, 409, "the model is not loaded");
  }
  if (leaving_) return Refuse(*writer, 503, "the endpoint is leaving");
  ReserveGroup(parts, 0);
}

// Reserves memory at the members one after the other, then starts the stream here.
void FakeEndpoint::ReserveGroup(const std::shared_ptr<Parts>& parts, std::size_t member) {
  if (member == parts->group_urls.size()) return StartStream(parts);
  TellMember(*parts, member, "/groups/reserve", [this, parts, member](bool accepted) {
    if (accepted) {
      parts->reserved = member + 1;
      return ReserveGroup(parts, member + 1);
    }
    ReleaseGroup(*parts);
    Refuse(*parts->writer, 503, "a group member has no memory");
  });
}

void FakeEndpoint::ReleaseGroup(const Parts& parts) {
  for (std::size_t i = 0; i < parts.reserved; ++i) {
    TellMember(parts, i, "/groups/release", [](bool) {});
  }
}

void FakeEndpoint::TellMember(const Parts& parts, std::size_t member, const char* path,
                              std::function<void(bool accepted)> done) {
  const Json body = {{"request_id", parts.generation.request_id},
                     {"attempt", parts.generation.attempt},
                     {"kv_bytes", engine_.NeededBytes(parts.generation)}};
  net::FetchWhole(
      http_,
      {.method = "POST",
       .url = parts.group_urls[member] + path,
       .headers = {},
       .body = body.dump(),
       .connect_timeout = std::chrono::seconds(1),
       .timeout = std::chrono::seconds(2)},
      4096,
      [done = std::move(done)](const Result<net::HttpResponse>& result, net::RequestProgress) {
        done(result.has_value() && result.value().status == 200);
      });
}

void FakeEndpoint::StartStream(const std::shared_ptr<Parts>& parts) {
  const Writer writer = parts->writer;
  const Json base = {{"request_id", parts->generation.request_id},
                     {"attempt", parts->generation.attempt}};
  // The engine calls back from its steps only, so `id` is set before its first use.
  auto id = std::make_shared<std::uint64_t>(0);
  const auto forget = [this, parts, id] {
    writers_.erase(*id);
    ReleaseGroup(*parts);
  };
  FakeStreamCallbacks callbacks;
  callbacks.token = [this, writer, base](TokenCount index, const std::string& text) {
    if (silent_) return;
    Json event = base;
    event["index"] = index;
    event["text"] = text;
    writer->Append(Event(event));
  };
  callbacks.end = [this, writer, base, forget](TokenCount prompt, TokenCount cached,
                                               TokenCount total) {
    forget();
    if (silent_) return;
    Json event = base;
    event["finish_reason"] = "length";
    event["usage"] = {
        {"prompt_tokens", prompt}, {"cached_tokens", cached}, {"completion_tokens", total}};
    writer->Append(Event(event) + "data: [DONE]\n\n");
    writer->Finish();
  };
  callbacks.cancelled = [writer, forget] {
    forget();
    writer->Append("event: error\ndata: {\"detail\":\"cancelled\"}\n\n");
    writer->Finish();
  };
  FakeGeneration generation = parts->generation;
  parts->generation.prompt.clear();
  *id = engine_.Start(std::move(generation), std::move(callbacks));
  if (*id == 0) {
    ReleaseGroup(*parts);
    return Refuse(*writer, 503, "memory is full");
  }
  writers_.emplace(*id, writer);
  const std::array<ResponseHeader, 1> headers = {{{"Content-Type", "text/event-stream"}}};
  writer->StartStream(200, headers);
  writer->Append(": started\n\n");
  writer->SetCallbacks(
      [this, id, alive = alive_] {
        if (*alive) engine_.CancelById(*id);
      },
      nullptr);
}

void FakeEndpoint::RunService(const frontend::HttpCall& call, const Writer& writer) {
  const std::string operation(call.target.substr(std::string_view("/services/").size()));
  const std::string key = operation + "/" + std::string(call.header("Idempotency-Key"));
  const int count = ++executions_[key];
  const bool drop =
      options_.drop_answer_every != 0 && ++service_calls_ % options_.drop_answer_every == 0;
  const Json answer = {{"operation", operation},
                       {"key", std::string(call.header("Idempotency-Key"))},
                       {"request_id", std::string(call.header("X-Request-Id"))},
                       {"execution", count}};
  const auto scaled = FromSeconds(ToSeconds(options_.service_delay) / options_.engine.time_scale);
  auto timer = std::make_shared<asio::steady_timer>(io_context_, scaled);
  timer->async_wait([timer, writer, answer, drop](std::error_code) {
    if (!drop) return SendJson(*writer, 200, answer);
    writer->StartStream(200, {});
    writer->Append("{");
    writer->Abort();
  });
}

void FakeEndpoint::TakeOrder(std::string_view body, const Writer& writer) {
  const Json json = Json::parse(body);
  const auto token = json.value("fencing_token", std::uint64_t{0});
  if (options_.checks_fencing && token < fencing_token_) {
    return Refuse(*writer, 409, "the fencing token is old");
  }
  fencing_token_ = std::max(fencing_token_, token);
  const std::string kind = json.at("kind").get<std::string>();
  const std::string argument = json.value("argument", "");
  if (kind == "set_role") {
    role_ = argument;
  } else if (kind == "leave") {
    leaving_ = true;
  } else if (kind.starts_with("load_")) {
    models_.push_back(argument);
  } else {
    return SendJson(*writer, 400, {{"detail", "unknown order"}});
  }
  SendJson(*writer, 200, Json::object());
}

void FakeEndpoint::ScheduleLoadReport() {
  if (options_.load_lag == Duration::zero()) return;
  load_timer_.expires_after(options_.load_lag);
  load_timer_.async_wait([this](std::error_code error) {
    if (error) return;
    load_report_ = RenderLoad();
    ScheduleLoadReport();
  });
}

std::string FakeEndpoint::RenderLoad() const {
  Json streams = Json::array();
  for (const FakeEngine::Stream& stream : engine_.streams()) {
    streams.push_back({{"request_id", stream.generation.request_id},
                       {"attempt", stream.generation.attempt},
                       {"permit", stream.generation.permit},
                       {"kv_bytes", stream.kv_bytes}});
  }
  const FakeEngineOptions& engine = engine_.options();
  const double scale = engine.time_scale;
  return Json{{"incarnation", incarnation_},
              {"kv_capacity_bytes", engine.kv_capacity_bytes},
              {"kv_used_bytes", engine_.used_bytes()},
              {"kv_bytes_per_token", engine.kv_bytes_per_token},
              {"prefill_tokens_per_second", engine.prefill_tokens_per_second * scale},
              {"decode_step_ms", ToSeconds(engine.decode_step) * 1000 / scale},
              {"models", models_},
              {"role", role_},
              {"leaving", leaving_},
              {"streams", streams}}
      .dump();
}

std::string FakeEndpoint::RenderCacheEvents(std::string_view target) const {
  std::uint64_t after = 0;
  const std::size_t at = target.find("after=");
  if (at != std::string_view::npos) {
    const std::string_view text = target.substr(at + 6);
    std::from_chars(text.data(), text.data() + text.size(), after);
  }
  Json events = Json::array();
  for (const FakeCacheEvent& event : engine_.EventsAfter(after)) {
    events.push_back({{"sequence", event.sequence},
                      {"added", event.added},
                      {"block", std::to_string(event.block)}});
  }
  return Json{{"events", events}}.dump();
}

}  // namespace verbenaridge::fakes
