#include "verbenaridge/loadtool/player.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "verbenaridge/engine/sse_parser.h"

namespace verbenaridge::loadtool {
namespace {

using Json = nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t kMaxEventBytes = std::size_t{8} << 20;

// Orders of one run are repeated within this time, if at all.
constexpr auto kKeyLife = std::chrono::minutes(5);

double MillisecondsSince(SteadyTime start) {
  return ToSeconds(std::chrono::steady_clock::now() - start) * 1000;
}

// Four bytes a token, as engines and the token estimate count. Starts with the request id, so that
// prompts of different requests share no cached prefix.
std::string MakePrompt(const std::string& request_id, TokenCount tokens) {
  constexpr std::string_view kFiller = "lot record of sachets, ";
  std::string prompt = request_id + " ";
  const auto bytes = static_cast<std::size_t>(tokens) * 4;
  prompt.reserve(bytes + kFiller.size());
  while (prompt.size() < bytes) prompt.append(kFiller);
  prompt.resize(std::max(bytes, request_id.size() + 1));
  return prompt;
}

}  // namespace

// One request and its answer.
class Player::Exchange final : public net::HttpObserver {
 public:
  Exchange(Player& player, const TraceRow& row, std::string request_id)
      : player_(player),
        stream_(row.operation == "complete"),
        start_(std::chrono::steady_clock::now()),
        last_token_(start_),
        checker_(std::move(request_id), record_),
        parser_(kMaxEventBytes) {
    record_.row = row;
    record_.start_s = player.elapsed_s();
  }

  void OnHead(const net::HttpResponseHead& head) override { record_.status = head.status; }

  void OnBody(std::string_view data) override {
    if (!stream_ || record_.status != 200) {
      body_.append(data.substr(0, kMaxEventBytes - std::min(kMaxEventBytes, body_.size())));
      return;
    }
    parser_.Feed(data, [this](const engine::SseEvent& event) {
      TakeEvent(event);
      return true;
    });
  }

  void OnDone(const Status& status, net::RequestProgress) override {
    record_.total_ms = MillisecondsSince(start_);
    if (status.has_error()) {
      record_.outcome = "transport: " + status.error().message();
    } else if (record_.status != 200) {
      TakeProblem(body_);
    } else if (!stream_) {
      record_.outcome = "completed";
    } else if (record_.outcome.empty()) {
      record_.outcome = done_ ? "completed" : "ended without [DONE]";
    }
    if (record_.outcome == "completed" && stream_ && player_.options_.check_texts) {
      checker_.Finish(record_.row.output_tokens);
    }
    player_.OnEnd(std::move(record_));
  }

 private:
  void TakeEvent(const engine::SseEvent& event) {
    if (event.data == "[DONE]") {
      done_ = true;
      return;
    }
    if (event.type == "error") {
      TakeProblem(event.data);
      return;
    }
    const Json json = Json::parse(event.data, nullptr, false);
    if (!json.is_object()) return;
    const auto choices = json.find("choices");
    const bool from_daemon = choices != json.end() && choices->is_array() && !choices->empty();
    const Json& holder = from_daemon ? choices->front() : json;
    const auto text = holder.is_object() ? holder.find("text") : holder.end();
    if (text == holder.end() || !text->is_string()) return;
    TakeText(text->get_ref<const std::string&>());
  }

  void TakeText(const std::string& text) {
    if (text.empty()) return;
    const auto now = std::chrono::steady_clock::now();
    if (record_.first_token_ms < 0) {
      record_.first_token_ms = MillisecondsSince(start_);
    } else {
      record_.gaps_ms.push_back(static_cast<float>(ToSeconds(now - last_token_) * 1000));
    }
    last_token_ = now;
    if (player_.options_.check_texts) {
      checker_.Take(text);
    } else {
      ++record_.tokens;
    }
  }

  void TakeProblem(std::string_view body) {
    const Json json = Json::parse(body, nullptr, false);
    record_.outcome = "status " + std::to_string(record_.status);
    if (!json.is_object()) return;
    const Json::json_pointer title("/title");
    const Json::json_pointer outcome("/outcome");
    if (json.contains(title) && json[title].is_string()) {
      record_.outcome = json[title].get<std::string>();
    }
    if (json.contains(outcome) && json[outcome].is_string()) {
      record_.outcome += " (" + json[outcome].get<std::string>() + ")";
    }
  }

  Player& player_;
  const bool stream_;
  const SteadyTime start_;
  SteadyTime last_token_;
  Record record_;
  TokenChecker checker_;
  engine::SseParser parser_;
  std::string body_;
  bool done_ = false;
};

Player::Player(asio::io_context& io_context, net::HttpClient& http, PlayerOptions options)
    : io_context_(io_context),
      http_(http),
      options_(std::move(options)),
      timer_(io_context),
      start_(std::chrono::steady_clock::now()) {}

double Player::elapsed_s() const { return ToSeconds(std::chrono::steady_clock::now() - start_); }

void Player::PlayTrace(std::vector<TraceRow> rows) {
  rows_ = std::move(rows);
  planned_ = std::min(rows_.size(), options_.max_requests);
  start_ = std::chrono::steady_clock::now();
  StartDue();
}

void Player::StartDue() {
  const double now = elapsed_s();
  if (now > options_.max_seconds) planned_ = next_;
  while (next_ < planned_ && rows_[next_].time / options_.speed <= now) {
    StartRequest(rows_[next_++]);
  }
  if (next_ >= planned_) return;
  timer_.expires_at(start_ + FromSeconds(rows_[next_].time / options_.speed));
  timer_.async_wait([this](std::error_code error) {
    if (!error) StartDue();
  });
}

void Player::PlayClosedLoop(const TraceRow& row, std::size_t streams, std::size_t requests) {
  rows_ = {row};
  closed_loop_ = true;
  planned_ = std::min(requests, options_.max_requests);
  start_ = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < streams; ++i) StartNextOfLoop();
}

void Player::StartNextOfLoop() {
  if (elapsed_s() > options_.max_seconds) planned_ = next_;
  if (next_ >= planned_) return;
  ++next_;
  StartRequest(rows_.front());
}

void Player::StartRequest(const TraceRow& row) {
  const std::string request_id = options_.run_id + "-" + std::to_string(next_);
  ++running_;
  http_.Start(MakeRequest(row, request_id), std::make_shared<Exchange>(*this, row, request_id));
}

net::HttpRequest Player::MakeRequest(const TraceRow& row, const std::string& request_id) {
  const auto key = options_.keys.find(row.client_account);
  net::HttpRequest request;
  request.method = "POST";
  request.url = options_.targets[next_ % options_.targets.size()];
  request.timeout = options_.request_timeout;
  request.headers = {
      {"Content-Type", "application/json"},
      {"Authorization",
       "Bearer " + (key == options_.keys.end() ? options_.default_key : key->second)},
      {"X-Request-Id", request_id},
      {"X-Priority", std::string(PriorityName(row.priority))}};
  if (row.deadline_ms >= 1) {
    request.headers.push_back(
        {"X-Deadline-Ms", std::to_string(static_cast<std::int64_t>(row.deadline_ms))});
  }
  if (row.operation == "complete") {
    request.url += "/v1/completions";
    Json body = {{"model", row.target},
                 {"prompt", MakePrompt(request_id, row.prompt_tokens)},
                 {"max_tokens", row.output_tokens},
                 {"stream", true}};
    if (options_.direct) {
      body["request_id"] = request_id;
      body["attempt"] = 1;
      body["priority"] = std::string(PriorityName(row.priority));
    }
    request.body = body.dump();
    return request;
  }
  request.url += options_.direct ? "/services/" + row.operation
                                 : "/v1/services/" + row.target + "/" + row.operation;
  const auto expiry = std::chrono::duration_cast<std::chrono::seconds>(
      (std::chrono::system_clock::now() + kKeyLife).time_since_epoch());
  request.headers.push_back({"Idempotency-Key", request_id});
  request.headers.push_back({"Idempotency-Expires", std::to_string(expiry.count())});
  request.body = Json{{"request", request_id}}.dump();
  return request;
}

void Player::OnEnd(Record record) {
  --running_;
  records_.push_back(std::move(record));
  if (closed_loop_) StartNextOfLoop();
}

}  // namespace verbenaridge::loadtool
