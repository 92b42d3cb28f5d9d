#include "verbenaridge/fakes/platform/fake_platform.h"

#include <asio/steady_timer.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <restinio/all.hpp>
#include <utility>
#include <vector>

#include "verbenaridge/fakes/platform/store_state.h"

namespace verbenaridge::fakes {
namespace {

using Json = nlohmann::json;
using Request = restinio::request_handle_t;
using Server = restinio::http_server_t<restinio::default_single_thread_traits_t>;

constexpr std::size_t kMaxValueBytes = 1'000'000;

struct Answer {
  int status = 200;
  std::string body = {};
  std::uint64_t version = 0;
};

void Send(const Request& request, const Answer& answer) {
  auto response = request->create_response(
      restinio::http_status_line_t(restinio::http_status_code_t(answer.status), "-"));
  response.append_header("x-key-version", std::to_string(answer.version));
  response.set_body(answer.body);
  response.done();
}

TimePoint Now() { return SystemClock().Now(); }

// RESTinio's own function refuses '/'. Incomplete escapes stay as they are.
std::string UnescapeKey(std::string_view text) {
  std::string key;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned int byte = 0;
    const char* digits = text.data() + i + 1;
    const bool escape = text[i] == '%' && i + 2 < text.size() &&
                        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2;
    key += escape ? static_cast<char>(byte) : text[i];
    if (escape) i += 2;
  }
  return key;
}

std::optional<std::uint64_t> NumberIn(const restinio::query_string_params_t& query,
                                      const char* name) {
  const auto text = restinio::opt_value<std::string>(query, name);
  if (!text || text->empty() || text->find_first_not_of("0123456789") != std::string::npos ||
      text->size() > 18) {
    return std::nullopt;
  }
  return std::stoull(*text);
}

}  // namespace

class FakePlatform::Impl {
 public:
  Impl(asio::io_context& io_context, const Options& options)
      : io_context_(io_context), ip_(options.ip) {
    server_ = std::make_unique<Server>(restinio::external_io_context(io_context_), [&](auto& set) {
      set.address(options.ip)
          .port(options.port)
          .request_handler([this](const Request& request) { return Handle(request); })
          .acceptor_options_setter([](auto& acceptor) {
            acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
          })
          .acceptor_post_bind_hook(
              [this](auto& acceptor) { port_ = acceptor.local_endpoint().port(); })
          .read_next_http_message_timelimit(std::chrono::hours(1))
          .handle_request_timeout(std::chrono::hours(1));
    });
    server_->open_sync();
  }

  ~Impl() { *alive_ = false; }

  restinio::request_handling_status_t Handle(const Request& request) {
    const std::string path(request->header().path());
    const bool control = path == "/control" || path == "/counters" || path == "/set-hosts";
    if (control) {
      Send(request, Control(path, request));
    } else if (faults_.outage == Outage::kRefuse) {
      Send(request, {.status = 503});
    } else if (faults_.outage == Outage::kSilent) {
      held_.push_back(request);
    } else if (faults_.delay > Duration::zero()) {
      After(faults_.delay, [this, request, path] { Serve(request, path); });
    } else {
      Serve(request, path);
    }
    return restinio::request_accepted();
  }

  void SetHosts(std::string json) {
    After(faults_.host_list_lag, [this, json = std::move(json)] { hosts_ = json; });
  }

  PlatformFaults faults_;
  StoreState state_;
  std::map<std::string, std::uint64_t> counters_;
  std::uint16_t port_ = 0;

  std::string base_url() const { return "http://" + ip_ + ":" + std::to_string(port_); }

 private:
  struct Watcher {
    Request request;
    std::string key;
    std::uint64_t after = 0;
    bool answered = false;
  };

  static bool TakeOne(int& count) {
    if (count <= 0) return false;
    --count;
    return true;
  }

  template <class Action>
  void After(Duration delay, Action action) {
    if (delay <= Duration::zero()) return action();
    auto timer = std::make_shared<asio::steady_timer>(io_context_, delay);
    timer->async_wait([timer, alive = alive_, action = std::move(action)](std::error_code error) {
      if (!error && *alive) action();
    });
  }

  void Serve(const Request& request, const std::string& path) {
    const bool get = request->header().method() == restinio::http_method_get();
    if (path == "/hosts" && get) {
      ++counters_["hosts"];
      Send(request, {.body = hosts_});
    } else if (path.starts_with("/kv/")) {
      const std::string key = UnescapeKey(path.substr(4));
      if (get) {
        Get(request, key);
      } else {
        Put(request, key);
      }
    } else {
      Send(request, {.status = 404});
    }
  }

  void Get(const Request& request, const std::string& key) {
    const auto query = restinio::parse_query(request->header().query());
    const auto after = NumberIn(query, "after");
    const auto wait_ms = NumberIn(query, "wait_ms");
    ++counters_[after ? "watch" : "read"];
    if (!reads_.Take(faults_.reads_per_second, Now())) return Refuse(request);
    const StoredEntry* entry = state_.Find(key, Now());
    if (!after) {
      if (entry == nullptr) return Send(request, {.status = 404});
      return Send(request, {.body = entry->value, .version = entry->version});
    }
    auto watcher = std::make_shared<Watcher>(Watcher{request, key, *after});
    if (Notify(*watcher)) return;
    watchers_.push_back(watcher);
    After(std::chrono::milliseconds(wait_ms.value_or(0)), [this, watcher] {
      if (std::exchange(watcher->answered, true)) return;
      std::erase(watchers_, watcher);
      Send(watcher->request, {.status = 204, .version = state_.VersionOf(watcher->key, Now())});
    });
  }

  // Answers if the key changed. During an outage the watch stays silent.
  bool Notify(Watcher& watcher) {
    const StoredEntry* entry = state_.Find(watcher.key, Now());
    if (entry == nullptr || entry->version <= watcher.after) return false;
    watcher.answered = true;
    Send(watcher.request, {.body = entry->value, .version = entry->version});
    return true;
  }

  void Put(const Request& request, const std::string& key) {
    const auto query = restinio::parse_query(request->header().query());
    const auto expect = NumberIn(query, "expect");
    const auto ttl_ms = NumberIn(query, "ttl_ms");
    ++counters_[ttl_ms ? "lease" : "write"];
    if (!expect == !ttl_ms) return Send(request, {.status = 400});
    if (TakeOne(faults_.lose_requests)) return held_.push_back(request);
    if (!writes_.Take(faults_.writes_per_second, Now())) return Refuse(request);
    if (request->body().size() > kMaxValueBytes) return Send(request, {.status = 413});
    const std::uint64_t current = state_.VersionOf(key, Now());
    if (expect && *expect != current) return Send(request, {.status = 409, .version = current});
    std::optional<TimePoint> end;
    if (ttl_ms) end = Now() + std::chrono::milliseconds(*ttl_ms);
    const std::uint64_t version = state_.Put(key, request->body(), end);
    if (TakeOne(faults_.lose_replies)) {
      held_.push_back(request);
    } else {
      Send(request, {.version = version});
    }
    std::erase_if(watchers_, [&](const auto& watcher) {
      return watcher->key == key && faults_.outage == Outage::kNone && Notify(*watcher);
    });
  }

  void Refuse(const Request& request) {
    ++counters_["refused"];
    Send(request, {.status = 429});
  }

  Answer Control(const std::string& path, const Request& request) {
    if (path == "/counters") return {.body = Json(counters_).dump()};
    const Json json = Json::parse(request->body(), nullptr, /*allow_exceptions=*/false);
    if (!json.is_object()) return {.status = 400, .body = "not a JSON object"};
    if (path == "/set-hosts") {
      SetHosts(json.dump());
      return {};
    }
    for (const auto& [name, value] : json.items()) {
      if (!Set(name, value)) return {.status = 400, .body = "unknown or wrong: " + name};
    }
    return {};
  }

  bool Set(const std::string& name, const Json& value) {
    if (name == "outage") {
      const std::map<Json, Outage> kinds = {
          {"none", Outage::kNone}, {"refuse", Outage::kRefuse}, {"silent", Outage::kSilent}};
      const auto kind = kinds.find(value);
      if (kind == kinds.end()) return false;
      faults_.outage = kind->second;
      return true;
    }
    if (!value.is_number() || value.get<double>() < 0) return false;
    const auto milliseconds = std::chrono::milliseconds(value.get<std::int64_t>());
    if (name == "delay_ms") {
      faults_.delay = milliseconds;
    } else if (name == "host_list_lag_ms") {
      faults_.host_list_lag = milliseconds;
    } else if (name == "lose_replies") {
      faults_.lose_replies = value.get<int>();
    } else if (name == "lose_requests") {
      faults_.lose_requests = value.get<int>();
    } else if (name == "reads_per_second") {
      faults_.reads_per_second = value.get<double>();
    } else if (name == "writes_per_second") {
      faults_.writes_per_second = value.get<double>();
    } else {
      return false;
    }
    return true;
  }

  asio::io_context& io_context_;
  const std::string ip_;
  std::string hosts_ = R"({"hosts":[]})";
  RateLimit reads_;
  RateLimit writes_;
  std::vector<std::shared_ptr<Watcher>> watchers_;
  // Requests that never get an answer; a request that is dropped would close its connection.
  std::vector<Request> held_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<Server> server_;
};

FakePlatform::FakePlatform(asio::io_context& io_context, const Options& options)
    : impl_(std::make_unique<Impl>(io_context, options)) {}

FakePlatform::~FakePlatform() = default;

std::uint16_t FakePlatform::port() const { return impl_->port_; }

std::string FakePlatform::base_url() const { return impl_->base_url(); }

PlatformFaults& FakePlatform::faults() { return impl_->faults_; }

const std::map<std::string, std::uint64_t>& FakePlatform::counters() const {
  return impl_->counters_;
}

std::string FakePlatform::Value(std::string_view key) const {
  const StoredEntry* entry = impl_->state_.Find(key, Now());
  return entry == nullptr ? std::string() : entry->value;
}

void FakePlatform::SetHosts(std::string json) { impl_->SetHosts(std::move(json)); }

}  // namespace verbenaridge::fakes
