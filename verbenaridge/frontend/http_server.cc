#include "verbenaridge/frontend/http_server.h"

#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/post.hpp>
#include <iterator>
#include <restinio/all.hpp>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace verbenaridge::frontend {
namespace {

// RESTinio closes a connection without an answer if a body exceeds its own limit. Its limit is this
// many times ours, so that moderately oversized bodies are read and answered with status 413.
constexpr std::size_t kBodyReadFactor = 2;

// With room for a second request, RESTinio keeps reading during a response and so notices at once
// that the caller has left.
constexpr std::size_t kPipelinedRequests = 2;

// The kernel probes a silent caller after this long, and gives up after three lost probes.
constexpr int kKeepAliveIdleSeconds = 15;
constexpr int kKeepAliveIntervalSeconds = 5;
constexpr int kKeepAliveProbes = 3;

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepAliveProbes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

struct StatusReason {
  int status;
  const char* reason;
};

constexpr StatusReason kReasons[] = {
    {200, "OK"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {409, "Conflict"},
    {413, "Content Too Large"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
};

restinio::http_status_line_t StatusLine(int status) {
  const auto* known =
      std::find_if(std::begin(kReasons), std::end(kReasons),
                   [status](const StatusReason& row) { return row.status == status; });
  const char* reason = known == std::end(kReasons) ? "Unknown" : known->reason;
  return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, reason};
}

class Writer;

// State shared by the server and its connections, which may outlive the server on the loop.
struct Shared {
  explicit Shared(asio::io_context& loop) : io_context(loop) {}

  asio::io_context& io_context;
  HttpService* service = nullptr;
  bool stopping = false;
  std::size_t open_responses = 0;
  std::size_t connections = 0;
  // Holds the writers of responses that are not finished. RESTinio's connections hold notificators
  // and writers hold their connection, so the notificators hold no writer.
  std::unordered_multimap<restinio::connection_id_t, std::shared_ptr<Writer>> writers;
};

class Writer final : public ResponseWriter, public std::enable_shared_from_this<Writer> {
 public:
  Writer(std::shared_ptr<Shared> shared, restinio::request_handle_t request)
      : shared_(std::move(shared)),
        request_(std::move(request)),
        connection_(request_->connection_id()) {
    ++shared_->open_responses;
  }

  ~Writer() override { Release(); }

  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void Send(int status, std::span<const ResponseHeader> headers, std::string body) override {
    if (gone_ || ended_ || !request_) return;
    ended_ = true;
    auto response = request_->create_response(StatusLine(status));
    for (const ResponseHeader& header : headers) response.append_header(header.name, header.value);
    if (shared_->stopping) response.connection_close();
    unsent_ += body.size();
    response.set_body(std::move(body));
    request_.reset();
    response.done(ReleaseWhenWritten());
  }

  void StartStream(int status, std::span<const ResponseHeader> headers) override {
    if (gone_ || ended_ || !request_) return;
    stream_.emplace(request_->create_response<restinio::chunked_output_t>(StatusLine(status)));
    request_.reset();
    for (const ResponseHeader& header : headers) stream_->append_header(header.name, header.value);
    if (shared_->stopping) stream_->connection_close();
  }

  void Append(std::string_view data) override {
    if (gone_ || ended_ || !stream_ || data.empty()) return;
    pending_.append(data);
    unsent_ += data.size();
    if (in_flight_ == 0) Flush();
  }

  void Finish() override {
    if (gone_ || ended_ || !stream_) return;
    ended_ = true;
    if (in_flight_ == 0) Complete();
  }

  // RESTinio closes a connection whose write notificator throws, and has no call for it.
  void Abort() override {
    if (gone_ || ended_ || !stream_) return;
    ended_ = true;
    on_gone_ = nullptr;
    stream_->flush([](const asio::error_code&) { throw std::runtime_error("aborted"); });
  }

  std::size_t unsent_bytes() const override { return unsent_; }

  void SetCallbacks(std::function<void()> gone, std::function<void()> drained) override {
    on_gone_ = std::move(gone);
    on_drained_ = std::move(drained);
    if (gone_) ReportGone();
  }

  void OnConnectionClosed() {
    if (gone_ || released_) return;
    gone_ = true;
    unsent_ = 0;
    pending_.clear();
    if (!ended_) ReportGone();
    Release();
  }

 private:
  // Tokens that arrive during a write are sent together with the next one.
  void Flush() {
    in_flight_ = pending_.size();
    stream_->append_chunk(std::exchange(pending_, {}));
    stream_->flush([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (!error && self) self->OnWritten();
    });
  }

  void OnWritten() {
    if (gone_) return;
    unsent_ -= in_flight_;
    in_flight_ = 0;
    if (ended_) {
      Complete();
      return;
    }
    if (!pending_.empty()) Flush();
    if (on_drained_) asio::post(shared_->io_context, on_drained_);
  }

  void Complete() {
    if (!pending_.empty()) stream_->append_chunk(std::exchange(pending_, {}));
    stream_->done(ReleaseWhenWritten());
  }

  std::function<void(const asio::error_code&)> ReleaseWhenWritten() {
    return [weak = weak_from_this()](const asio::error_code&) {
      if (const auto self = weak.lock()) self->Release();
    };
  }

  void ReportGone() {
    if (on_gone_) asio::post(shared_->io_context, std::exchange(on_gone_, nullptr));
  }

  // Drops the callbacks, which may hold the request's state.
  void Release() {
    if (released_) return;
    released_ = true;
    --shared_->open_responses;
    unsent_ = 0;
    on_gone_ = nullptr;
    on_drained_ = nullptr;
    const auto [begin, end] = shared_->writers.equal_range(connection_);
    const auto it =
        std::find_if(begin, end, [this](const auto& entry) { return entry.second.get() == this; });
    if (it == end) return;
    // May be the last reference, so it goes at the end of this function.
    const std::shared_ptr<Writer> self = it->second;
    shared_->writers.erase(it);
  }

  const std::shared_ptr<Shared> shared_;
  restinio::request_handle_t request_;
  const restinio::connection_id_t connection_;
  std::optional<restinio::response_builder_t<restinio::chunked_output_t>> stream_;
  std::string pending_;
  std::size_t in_flight_ = 0;
  std::size_t unsent_ = 0;
  bool ended_ = false;
  bool gone_ = false;
  bool released_ = false;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
};

class ConnectionListener {
 public:
  explicit ConnectionListener(std::shared_ptr<Shared> shared) : shared_(std::move(shared)) {}

  // Name required by RESTinio.
  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    namespace state = restinio::connection_state;
    const state::cause_t cause = notice.cause();
    if (restinio::holds_alternative<state::accepted_t>(cause)) ++shared_->connections;
    if (!restinio::holds_alternative<state::closed_t>(cause)) return;
    --shared_->connections;
    const auto [begin, end] = shared_->writers.equal_range(notice.connection_id());
    std::vector<std::shared_ptr<Writer>> writers;
    for (auto it = begin; it != end; ++it) writers.push_back(it->second);
    for (const auto& writer : writers) writer->OnConnectionClosed();
  }

 private:
  const std::shared_ptr<Shared> shared_;
};

// Refuses connections over the limit. RESTinio's own limiter is unusable here: connections that
// outlive the server on the loop would use it after its end.
class ConnectionGate {
 public:
  ConnectionGate(std::shared_ptr<Shared> shared, std::size_t max_connections)
      : shared_(std::move(shared)), max_connections_(max_connections) {}

  // Name required by RESTinio.
  restinio::ip_blocker::inspection_result_t inspect(
      const restinio::ip_blocker::incoming_info_t&) noexcept {
    return shared_->connections < max_connections_ ? restinio::ip_blocker::allow()
                                                   : restinio::ip_blocker::deny();
  }

 private:
  const std::shared_ptr<Shared> shared_;
  const std::size_t max_connections_;
};

struct Traits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = ConnectionListener;
  using ip_blocker_t = ConnectionGate;
  using request_handler_t =
      std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};

restinio::request_handling_status_t Serve(const std::shared_ptr<Shared>& shared,
                                          const restinio::request_handle_t& request) {
  if (shared->service == nullptr) return restinio::request_rejected();
  auto writer = std::make_shared<Writer>(shared, request);
  shared->writers.emplace(request->connection_id(), writer);
  const std::string method = request->header().method().c_str();
  std::vector<HeaderField> headers;
  request->header().for_each_field([&](const restinio::http_header_field_t& field) {
    headers.push_back({field.name(), field.value()});
  });
  shared->service->Handle({.method = method,
                           .target = request->header().request_target(),
                           .headers = headers,
                           .body = request->body()},
                          std::move(writer));
  return restinio::request_accepted();
}

restinio::server_settings_t<Traits> MakeSettings(const HttpServer::Options& options,
                                                 const std::shared_ptr<Shared>& shared,
                                                 std::uint16_t& port) {
  restinio::server_settings_t<Traits> settings;
  settings.port(options.port)
      .address(options.address)
      .max_pipelined_requests(kPipelinedRequests)
      .read_next_http_message_timelimit(options.read_timeout)
      .write_http_response_timelimit(options.write_timeout)
      .handle_request_timeout(options.quiet_timeout)
      .timer_manager(options.timeout_check_period)
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                    .max_url_size(options.max_target_bytes)
                                    .max_field_name_size(256)
                                    .max_field_value_size(options.max_header_value_bytes)
                                    .max_field_count(options.max_header_count)
                                    .max_body_size(options.max_body_bytes * kBodyReadFactor))
      .acceptor_options_setter([share = options.share_port](auto& acceptor_options) {
        acceptor_options.set_option(asio::socket_base::reuse_address(true));
        if (share) acceptor_options.set_option(ReusePort(true));
      })
      .socket_options_setter([write_timeout = options.write_timeout](auto& socket_options) {
        // Closes a connection whose caller acknowledges nothing. Small answers fit into the
        // kernel's buffer, so RESTinio's write timeout does not see them.
        const auto limit = std::chrono::ceil<std::chrono::milliseconds>(write_timeout);
        socket_options.set_option(UserTimeout(static_cast<int>(limit.count())));
        socket_options.set_option(asio::ip::tcp::no_delay(true));
        socket_options.set_option(asio::socket_base::keep_alive(true));
        socket_options.set_option(KeepAliveIdle(kKeepAliveIdleSeconds));
        socket_options.set_option(KeepAliveInterval(kKeepAliveIntervalSeconds));
        socket_options.set_option(KeepAliveProbes(kKeepAliveProbes));
      })
      .acceptor_post_bind_hook(
          [&port](asio::ip::tcp::acceptor& acceptor) { port = acceptor.local_endpoint().port(); })
      .connection_state_listener(std::make_shared<ConnectionListener>(shared))
      .ip_blocker(std::make_shared<ConnectionGate>(shared, options.max_connections))
      .request_handler(
          [shared](const restinio::request_handle_t& request) { return Serve(shared, request); });
  return settings;
}

}  // namespace

std::string_view HttpCall::header(std::string_view name) const {
  for (const HeaderField& field : headers) {
    if (field.name.size() == name.size() &&
        strncasecmp(field.name.data(), name.data(), name.size()) == 0) {
      return field.value;
    }
  }
  return {};
}

class HttpServer::Impl {
 public:
  Impl(asio::io_context& io_context, const Options& options, HttpService& service)
      : shared_(std::make_shared<Shared>(io_context)),
        server_(restinio::external_io_context(io_context), MakeSettings(options, shared_, port_)) {
    shared_->service = &service;
  }

  ~Impl() {
    shared_->service = nullptr;
    std::exchange(shared_->writers, {}).clear();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Status Open() {
    try {
      server_.open_sync();
    } catch (const std::exception&) {
      return Errc::kUnavailable;
    }
    return Ok();
  }

  void StopAccepting() {
    shared_->stopping = true;
    server_.close_sync();
  }

  std::uint16_t port() const { return port_; }
  std::size_t open_responses() const { return shared_->open_responses; }

 private:
  std::uint16_t port_ = 0;
  std::shared_ptr<Shared> shared_;
  restinio::http_server_t<Traits> server_;
};

HttpServer::HttpServer(asio::io_context& io_context, const Options& options, HttpService& service)
    : impl_(std::make_unique<Impl>(io_context, options, service)) {}

HttpServer::~HttpServer() = default;

Status HttpServer::Open() { return impl_->Open(); }

void HttpServer::StopAccepting() { impl_->StopAccepting(); }

std::uint16_t HttpServer::port() const { return impl_->port(); }

std::size_t HttpServer::open_responses() const { return impl_->open_responses(); }

}  // namespace verbenaridge::frontend
