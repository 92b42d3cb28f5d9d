#include <curl/curl.h>

#include <asio/bind_executor.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <unordered_map>
#include <utility>

#include "verbenaridge/http1/head_syntax.h"
#include "verbenaridge/net/http_client.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::net {
namespace {

long ToMilliseconds(Duration duration) {
  return static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

// Sockets stay open this long without traffic before the kernel probes the peer.
constexpr long kKeepAliveIdleSeconds = 5;
constexpr long kKeepAliveIntervalSeconds = 2;

void InitialiseCurl() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_ALL);
  if (code != CURLE_OK) std::abort();
}

Errc ErrorOf(CURLcode code) {
  switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
      return Errc::kTimeout;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return Errc::kInvalidArgument;
    default:
      return Errc::kUnavailable;
  }
}

// One transfer. libcurl keeps a pointer to it, so it does not move.
struct Transfer {
  HttpCallId id = 0;
  HttpRequest request;
  std::shared_ptr<HttpObserver> observer;
  CURL* easy = nullptr;
  curl_slist* header_list = nullptr;
  HttpResponseHead head;
  std::size_t head_bytes = 0;
  std::size_t body_bytes = 0;
  // libcurl accepts names and values of fields that are none.
  http1::HeadSyntax head_syntax{http1::Section::kResponseHead};
  http1::HeadSyntax trailer_syntax{http1::Section::kTrailers};
  bool binary_head = false;  // of HTTP/2, which libcurl writes as text
  bool too_large = false;
  bool head_delivered = false;
  bool cancelled = false;

  ~Transfer() {
    if (easy != nullptr) curl_easy_cleanup(easy);
    curl_slist_free_all(header_list);
  }

  void DeliverHead() {
    if (head_delivered) return;
    head_delivered = true;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    head.status = static_cast<int>(status);
    observer->OnHead(head);
  }
};

void LogBroken(const Transfer& transfer, std::string_view detail) {
  telemetry::Log(telemetry::Level::kInfo, "http_response_broken",
                 {{"url", transfer.request.url}, {"detail", detail}});
}

// Checks a line of a head, or after it of the trailers. Returns false if it is malformed.
bool CheckLine(Transfer& transfer, std::string_view line) {
  constexpr std::string_view kVersionPrefix = "HTTP/";
  if (line.starts_with(kVersionPrefix)) {
    if (transfer.head_syntax.complete()) transfer.head_syntax.Reset();  // after an interim response
    const char major = line.size() > kVersionPrefix.size() ? line[kVersionPrefix.size()] : '\0';
    transfer.binary_head = major == '2' || major == '3';
  }
  if (transfer.binary_head) return true;
  http1::HeadSyntax& syntax =
      transfer.head_syntax.complete() ? transfer.trailer_syntax : transfer.head_syntax;
  syntax.Feed(line);
  if (syntax.fault() == http1::SyntaxFault::kNone) return true;
  LogBroken(transfer, ToText(syntax.fault()));
  return false;
}

std::size_t OnHeaderLine(char* data, std::size_t size, std::size_t count, void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  std::string_view line(data, size * count);
  transfer.head_bytes += line.size();
  transfer.too_large = transfer.head_bytes > transfer.request.max_head_bytes;
  if (transfer.too_large || !CheckLine(transfer, line)) return 0;  // ends the transfer
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) line.remove_suffix(1);
  if (line.starts_with("HTTP/")) transfer.head.headers.clear();
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return size * count;
  std::string_view value = line.substr(colon + 1);
  while (value.starts_with(' ')) value.remove_prefix(1);
  transfer.head.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
  return size * count;
}

std::size_t OnBodyData(char* data, std::size_t size, std::size_t count, void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  if (transfer.cancelled) return 0;
  transfer.body_bytes += size * count;
  const std::size_t limit = transfer.request.max_body_bytes;
  transfer.too_large = limit != 0 && transfer.body_bytes > limit;
  if (transfer.too_large) return 0;
  transfer.DeliverHead();
  if (!transfer.cancelled) transfer.observer->OnBody({data, size * count});
  return size * count;
}

// Sets the options that are the same for all transfers and those of this request.
void Configure(Transfer& transfer) {
  CURL* easy = transfer.easy;
  const HttpRequest& request = transfer.request;
  for (const HttpHeader& header : request.headers) {
    transfer.header_list =
        curl_slist_append(transfer.header_list, (header.name + ": " + header.value).c_str());
  }
  // Without this, libcurl waits for "100 Continue" before it sends a large body.
  transfer.header_list = curl_slist_append(transfer.header_list, "Expect:");
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.header_list);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
  }
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ToMilliseconds(request.connect_timeout));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToMilliseconds(request.timeout));
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBodyData);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
}

// Whether the answer ended with its connection while the request was being sent. The server may
// have reset the connection, so that nothing tells a part of the answer from the whole.
bool IsCutDuringUpload(const Transfer& transfer) {
  const HttpResponseHead& head = transfer.head;
  const bool framed = !head.header("Content-Length").empty() ||
                      !head.header("Transfer-Encoding").empty() || transfer.binary_head;
  if (framed || head.status == 204 || head.status == 304) return false;
  curl_off_t sent = 0;
  curl_easy_getinfo(transfer.easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  return static_cast<std::size_t>(sent) < transfer.request.body.size();
}

RequestProgress ProgressOf(const Transfer& transfer) {
  long sent = 0;
  curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &sent);
  return sent == 0 ? RequestProgress::kNothingSent : RequestProgress::kPossiblySent;
}

}  // namespace

class CurlHttpClient::Impl : public std::enable_shared_from_this<CurlHttpClient::Impl> {
 public:
  Impl(asio::io_context& io_context, Options options)
      : io_context_(io_context), timer_(io_context) {
    InitialiseCurl();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocketChange);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::OnTimerChange);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, options.max_idle_connections);
  }

  ~Impl() {
    DetachTransfers();
    curl_multi_cleanup(multi_);
    for (auto& [fd, watch] : watches_) watch->descriptor.release();
  }

  HttpCallId Start(HttpRequest request, std::shared_ptr<HttpObserver> observer) {
    auto transfer = std::make_unique<Transfer>();
    transfer->id = ++last_id_;
    transfer->request = std::move(request);
    transfer->observer = std::move(observer);
    transfer->easy = curl_easy_init();
    Configure(*transfer);
    const HttpCallId id = transfer->id;
    transfers_.emplace(id, std::move(transfer));
    Post([id](Impl& self) { self.Add(id); });
    return id;
  }

  void Cancel(HttpCallId id) {
    const auto it = transfers_.find(id);
    if (it == transfers_.end() || it->second->cancelled) return;
    it->second->cancelled = true;
    Post([id](Impl& self) { self.Erase(id); });
  }

  // libcurl may call back from curl_easy_pause, so both run from the loop, never inside a callback.
  void SetPaused(HttpCallId id, bool paused) {
    Post([id, paused](Impl& self) {
      const auto it = self.transfers_.find(id);
      if (it == self.transfers_.end() || it->second->cancelled) return;
      curl_easy_pause(it->second->easy, paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
      self.Collect();
    });
  }

 private:
  struct Watch {
    explicit Watch(asio::io_context& io_context) : descriptor(io_context) {}
    asio::posix::stream_descriptor descriptor;
    int wanted = CURL_POLL_NONE;
    bool reading = false;
    bool writing = false;
  };

  template <class Action>
  void Post(Action action) {
    asio::post(io_context_, [weak = weak_from_this(), action] {
      if (auto self = weak.lock()) action(*self);
    });
  }

  void Add(HttpCallId id) {
    const auto it = transfers_.find(id);
    if (it == transfers_.end() || it->second->cancelled) return;
    curl_multi_add_handle(multi_, it->second->easy);
  }

  void Erase(HttpCallId id) {
    const auto it = transfers_.find(id);
    if (it == transfers_.end()) return;
    curl_multi_remove_handle(multi_, it->second->easy);
    transfers_.erase(it);
  }

  void DetachTransfers() {
    for (auto& [id, transfer] : transfers_) curl_multi_remove_handle(multi_, transfer->easy);
    transfers_.clear();
  }

  // Reports the transfers that ended since the last call.
  void Collect() {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
      if (message->msg != CURLMSG_DONE) continue;
      const CURLcode code = message->data.result;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      End(*transfer, code);
    }
  }

  void End(Transfer& ended, CURLcode code) {
    auto node = transfers_.extract(ended.id);
    Transfer& transfer = *node.mapped();
    const RequestProgress progress = ProgressOf(transfer);
    curl_multi_remove_handle(multi_, transfer.easy);
    if (transfer.cancelled) return;
    if (code == CURLE_OK) transfer.DeliverHead();
    if (transfer.cancelled) return;
    if (code == CURLE_OK && IsCutDuringUpload(transfer)) {
      LogBroken(transfer, "closed_during_upload");
      code = CURLE_PARTIAL_FILE;
    }
    const Errc error = transfer.too_large ? Errc::kTooLarge : ErrorOf(code);
    transfer.observer->OnDone(code == CURLE_OK ? Ok() : Status(error), progress);
  }

  void Act(curl_socket_t fd, int events) {
    int running = 0;
    curl_multi_socket_action(multi_, fd, events, &running);
    Collect();
  }

  static int OnSocketChange(CURL*, curl_socket_t fd, int what, void* user, void*) {
    static_cast<Impl*>(user)->UpdateWatch(fd, what);
    return 0;
  }

  static int OnTimerChange(CURLM*, long timeout_ms, void* user) {
    static_cast<Impl*>(user)->UpdateTimer(timeout_ms);
    return 0;
  }

  void UpdateTimer(long timeout_ms) {
    timer_.cancel();
    if (timeout_ms < 0) return;
    timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
      auto self = weak.lock();
      if (!error && self) self->Act(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  void UpdateWatch(curl_socket_t fd, int what) {
    const auto it = watches_.find(fd);
    if (what == CURL_POLL_REMOVE) {
      if (it == watches_.end()) return;
      it->second->wanted = CURL_POLL_NONE;
      it->second->descriptor.release();
      watches_.erase(it);
      return;
    }
    auto watch = it != watches_.end() ? it->second : nullptr;
    if (!watch) {
      watch = std::make_shared<Watch>(io_context_);
      watch->descriptor.assign(fd);
      watches_.emplace(fd, watch);
    }
    watch->wanted = what;
    Wait(fd, watch);
  }

  void Wait(curl_socket_t fd, const std::shared_ptr<Watch>& watch) {
    if ((watch->wanted & CURL_POLL_IN) != 0 && !watch->reading) {
      watch->reading = true;
      WaitFor(fd, watch, asio::posix::descriptor_base::wait_read, CURL_CSELECT_IN, &Watch::reading);
    }
    if ((watch->wanted & CURL_POLL_OUT) != 0 && !watch->writing) {
      watch->writing = true;
      WaitFor(fd, watch, asio::posix::descriptor_base::wait_write, CURL_CSELECT_OUT,
              &Watch::writing);
    }
  }

  void WaitFor(curl_socket_t fd, const std::shared_ptr<Watch>& watch,
               asio::posix::descriptor_base::wait_type type, int event, bool Watch::*pending) {
    watch->descriptor.async_wait(
        type, [weak = weak_from_this(), fd, watch, event, pending](std::error_code error) {
          (*watch).*pending = false;
          auto self = weak.lock();
          if (!self || error == asio::error::operation_aborted) return;
          const int poll_bit = event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
          if ((watch->wanted & poll_bit) == 0) return;
          self->Act(fd, error ? CURL_CSELECT_ERR : event);
          const auto it = self->watches_.find(fd);
          if (it != self->watches_.end() && it->second == watch) self->Wait(fd, watch);
        });
  }

  asio::io_context& io_context_;
  asio::steady_timer timer_;
  CURLM* multi_ = nullptr;
  HttpCallId last_id_ = 0;
  std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> transfers_;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> watches_;
};

CurlHttpClient::CurlHttpClient(asio::io_context& io_context)
    : CurlHttpClient(io_context, Options{}) {}

CurlHttpClient::CurlHttpClient(asio::io_context& io_context, Options options)
    : impl_(std::make_shared<Impl>(io_context, options)) {}

CurlHttpClient::~CurlHttpClient() = default;

HttpCallId CurlHttpClient::Start(HttpRequest request, std::shared_ptr<HttpObserver> observer) {
  return impl_->Start(std::move(request), std::move(observer));
}

void CurlHttpClient::Cancel(HttpCallId id) { impl_->Cancel(id); }

void CurlHttpClient::Pause(HttpCallId id) { impl_->SetPaused(id, true); }

void CurlHttpClient::Resume(HttpCallId id) { impl_->SetPaused(id, false); }

}  // namespace verbenaridge::net
