#include "verbenaridge/wire/internal/server_connection.h"

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <utility>
#include <vector>

#include "verbenaridge/wire/codec.h"
#include "verbenaridge/wire/internal/h2_headers.h"

namespace verbenaridge::wire::internal {
namespace {

// After a call's deadline its caller resets the stream; the server does so itself this much later.
constexpr Duration kDeadlineGrace = std::chrono::seconds(1);

// Longer deadlines are shortened, so that times cannot overflow.
constexpr std::int64_t kMaxDeadlineMilliseconds = 24L * 3600 * 1000;

ssize_t ReadReplyBody(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t size,
                      std::uint32_t* flags, nghttp2_data_source* source, void*) {
  auto& body = *static_cast<OutgoingBody*>(source->ptr);
  const std::size_t count = body.Take(buffer, size);
  if (body.finished()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(count);
}

}  // namespace

StreamCall::StreamCall(std::weak_ptr<ServerConnection> connection, std::int32_t stream,
                       H2Connection::SteadyTime deadline)
    : connection_(std::move(connection)), stream_(stream), deadline_(deadline) {}

StreamCall::~StreamCall() {
  if (ended_) return;
  if (const auto connection = connection_.lock()) connection->Abandon(stream_);
}

void StreamCall::Answer(Reply reply) {
  if (ended_) return;
  std::string body = Encode(reply);
  if (body.size() > kMaxMessageBytes) return Fail(Errc::kTooLarge);
  ended_ = true;
  on_cancelled_ = nullptr;
  const auto connection = connection_.lock();
  if (connection != nullptr) connection->Respond(stream_, std::move(body), std::nullopt);
}

void StreamCall::Fail(Errc error) {
  if (std::exchange(ended_, true)) return;
  on_cancelled_ = nullptr;
  if (const auto connection = connection_.lock()) connection->Respond(stream_, {}, error);
}

void StreamCall::OnCancelled(std::function<void()> callback) {
  if (!cancelled_) {
    if (!ended_) on_cancelled_ = std::move(callback);
    return;
  }
  // The stream closed before the service asked to be told.
  if (const auto connection = connection_.lock()) connection->PostTask(std::move(callback));
}

Duration StreamCall::remaining() const {
  const Duration left = deadline_ - std::chrono::steady_clock::now();
  return std::max(left, Duration::zero());
}

void StreamCall::NotifyClosed() {
  if (std::exchange(ended_, true)) return;
  cancelled_ = true;
  // The callback may hold the last reference to this call.
  const auto self = shared_from_this();
  const auto callback = std::exchange(on_cancelled_, nullptr);
  if (callback) callback();
}

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, Owner& owner, PeerService& service,
                                   const FleetKeys& keys, const HostId& self,
                                   const ConnectionTimeouts& timeouts, TransportCounters& counters)
    : H2Connection(std::move(socket), Role::kServer, timeouts, counters),
      owner_(&owner),
      service_(service),
      handshake_(keys, self),
      drain_timer_(this->socket().get_executor()) {}

void ServerConnection::Start() {
  StartHandshakeTimer();
  StartHandshake({});
}

void ServerConnection::Drain() {
  if (!ready()) return Close(Errc::kUnavailable);
  nghttp2_submit_shutdown_notice(session());
  ScheduleSend();
  drain_timer_.expires_after(timeouts().drain_notice);
  drain_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const auto self = std::static_pointer_cast<ServerConnection>(weak.lock());
    if (error || self == nullptr || self->closed()) return;
    self->drained_ = true;
    const std::int32_t last = nghttp2_session_get_last_proc_stream_id(self->session());
    nghttp2_submit_goaway(self->session(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    self->ScheduleSend();
  });
}

void ServerConnection::Detach() {
  owner_ = nullptr;
  Close(Errc::kCancelled);
}

void ServerConnection::Respond(std::int32_t stream, std::string body, std::optional<Errc> error) {
  Stream* entry = Find(stream);
  if (closed() || entry == nullptr || std::exchange(entry->answered, true)) return;
  reply_bytes_ += body.size();
  entry->reply.bytes = std::move(body);
  if (reply_bytes_ > kMaxConnectionBufferBytes) {
    // The peer does not read. Closing within the service's call would re-enter it.
    return PostTask([self = shared_from_this()] { self->Close(Errc::kResourceExhausted); });
  }
  nghttp2_data_provider provider{};
  provider.source.ptr = &entry->reply;
  provider.read_callback = &ReadReplyBody;
  const std::string code = std::to_string(static_cast<int>(error.value_or(Errc{})));
  const std::array<nghttp2_nv, 2> headers = {Header(":status", error ? "500" : "200"),
                                             Header(kErrorHeader, code)};
  nghttp2_submit_response(session(), stream, headers.data(), error ? 2 : 1, &provider);
  ScheduleSend();
}

void ServerConnection::Abandon(std::int32_t stream) {
  if (Find(stream) != nullptr) ResetStream(stream, NGHTTP2_INTERNAL_ERROR);
}

HandshakeStep ServerConnection::OnHandshakeMessage(std::string_view message) {
  if (!handshake_.greeted()) {
    Result<std::string> reply = handshake_.OnHello(message);
    if (!reply) return {.send = {}, .status = reply.error()};
    HandshakeStep step{.send = std::move(reply).value()};
    if (handshake_.refused()) step.status = Errc::kPermissionDenied;
    return step;
  }
  const Status proved = handshake_.OnProof(message);
  return {.send = {}, .ready = proved.has_value(), .status = proved};
}

ServerConnection::Stream* ServerConnection::Find(std::int32_t stream) {
  const auto found = streams_.find(stream);
  return found == streams_.end() ? nullptr : &found->second;
}

void ServerConnection::OnBeginHeaders(std::int32_t stream) {
  if (!streams_.try_emplace(stream).second) return;
  streams_[stream].begun = std::chrono::steady_clock::now();
  OnStreamOpened();
}

void ServerConnection::OnHeader(std::int32_t stream, std::string_view name,
                                std::string_view value) {
  Stream* entry = Find(stream);
  if (entry == nullptr || name != kDeadlineHeader) return;
  if (const auto milliseconds = ParseNumber(value)) {
    entry->deadline =
        entry->begun + std::chrono::milliseconds(std::min(*milliseconds, kMaxDeadlineMilliseconds));
  }
}

void ServerConnection::OnData(std::int32_t stream, std::string_view data) {
  Stream* entry = Find(stream);
  if (entry == nullptr || entry->received) return;
  if (entry->request.size() + data.size() > kMaxMessageBytes ||
      request_bytes_ + data.size() > kMaxConnectionBufferBytes) {
    entry->received = true;
    return ResetStream(stream, NGHTTP2_ENHANCE_YOUR_CALM);
  }
  request_bytes_ += data.size();
  entry->request.append(data);
}

void ServerConnection::OnRemoteEnd(std::int32_t stream) {
  Stream* entry = Find(stream);
  if (entry == nullptr || std::exchange(entry->received, true)) return;
  Result<Request> request = DecodeRequest(entry->request);
  request_bytes_ -= entry->request.size();
  entry->request = std::string();
  if (!request || !entry->deadline) {
    const std::error_code error = request ? make_error_code(Errc::kMalformed) : request.error();
    return Respond(stream, {}, static_cast<Errc>(error.value()));
  }
  auto self = std::static_pointer_cast<ServerConnection>(shared_from_this());
  auto call = std::make_shared<StreamCall>(std::move(self), stream, *entry->deadline);
  entry->call = call;
  service_.Serve(std::move(request).value(), std::move(call));
}

void ServerConnection::OnStreamClosed(std::int32_t stream, std::uint32_t /*error_code*/) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  request_bytes_ -= found->second.request.size();
  reply_bytes_ -= found->second.reply.bytes.size();
  const auto call = found->second.call.lock();
  streams_.erase(found);
  if (call != nullptr) call->NotifyClosed();
}

void ServerConnection::OnClosed(std::error_code /*reason*/) {
  drain_timer_.cancel();
  const auto self = std::static_pointer_cast<ServerConnection>(shared_from_this());
  const auto streams = std::exchange(streams_, {});
  for (const auto& [id, stream] : streams) {
    const auto call = stream.call.lock();
    if (call != nullptr && owner_ != nullptr) call->NotifyClosed();
  }
  if (owner_ != nullptr) owner_->OnConnectionClosed(self);
}

void ServerConnection::OnCheck(SteadyTime now) {
  std::vector<std::int32_t> late;
  for (const auto& [id, stream] : streams_) {
    const bool expired = stream.deadline && now - *stream.deadline > kDeadlineGrace;
    const bool slow = !stream.received && now - stream.begun > timeouts().request_body;
    if ((expired && !stream.answered) || slow) late.push_back(id);
  }
  for (const std::int32_t id : late) ResetStream(id, NGHTTP2_CANCEL);
}

}  // namespace verbenaridge::wire::internal
