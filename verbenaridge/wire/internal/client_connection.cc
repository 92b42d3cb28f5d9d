#include "verbenaridge/wire/internal/client_connection.h"

#include <algorithm>
#include <array>
#include <asio/ip/address.hpp>
#include <utility>

#include "verbenaridge/wire/codec.h"
#include "verbenaridge/wire/internal/h2_headers.h"

namespace verbenaridge::wire::internal {
namespace {

// A connection has 2^30 client streams: three days at 4,300 calls/s.
constexpr std::int32_t kLastStream = 0x7fff0000;

ssize_t ReadRequestBody(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t size,
                        std::uint32_t* flags, nghttp2_data_source* source, void*) {
  OutgoingBody& body = static_cast<ClientCall*>(source->ptr)->request;
  const std::size_t count = body.Take(buffer, size);
  if (body.finished()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(count);
}

}  // namespace

ClientConnection::ClientConnection(const asio::any_io_executor& executor, Owner& owner,
                                   PeerAddress peer, const FleetKeys& keys, const HostId& self,
                                   const ConnectionTimeouts& timeouts, TransportCounters& counters)
    : H2Connection(asio::ip::tcp::socket(executor), Role::kClient, timeouts, counters),
      owner_(&owner),
      peer_(std::move(peer)),
      handshake_(keys, self) {}

void ClientConnection::Connect() {
  StartHandshakeTimer();
  std::error_code error;
  const auto address = asio::ip::make_address(peer_.ip, error);
  const auto self = std::static_pointer_cast<ClientConnection>(shared_from_this());
  if (error) {
    return PostTask([self] { self->Close(Errc::kInvalidArgument); });
  }
  socket().async_connect({address, peer_.port}, [self](std::error_code connect_error) {
    if (self->closed()) return;
    if (connect_error) return self->Close(Errc::kUnavailable);
    self->StartHandshake(self->handshake_.Hello());
  });
}

Status ClientConnection::Start(const std::shared_ptr<ClientCall>& call) {
  const std::size_t bytes = call->request.bytes.size();
  if (waiting_.size() + streams_.size() >= kMaxConcurrentStreams ||
      buffered_bytes_ + bytes > kMaxConnectionBufferBytes) {
    return Errc::kResourceExhausted;
  }
  buffered_bytes_ += bytes;
  call->connection = std::static_pointer_cast<ClientConnection>(shared_from_this());
  if (ready()) {
    Submit(call);
  } else {
    waiting_.push_back(call);
  }
  return Ok();
}

void ClientConnection::Submit(const std::shared_ptr<ClientCall>& call) {
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      call->deadline - std::chrono::steady_clock::now());
  const std::string deadline = std::to_string(std::max<std::int64_t>(remaining.count(), 0));
  const std::array<nghttp2_nv, 5> headers = {
      Header(":method", "POST"), Header(":scheme", "http"), Header(":path", "/call"),
      Header(":authority", "peer"),
      // Differs in each call, so that an entry in the header table would not be used again.
      Header(kDeadlineHeader, deadline, NGHTTP2_NV_FLAG_NO_INDEX)};
  nghttp2_data_provider provider{};
  provider.source.ptr = call.get();
  provider.read_callback = &ReadRequestBody;
  call->stream = nghttp2_submit_request(session(), nullptr, headers.data(), headers.size(),
                                        &provider, nullptr);
  if (call->stream < 0) {
    // Out of memory or stream numbers.
    const auto self = std::static_pointer_cast<ClientConnection>(shared_from_this());
    PostTask([self] { self->Close(Errc::kUnavailable); });
    waiting_.push_back(call);
    return;
  }
  streams_.emplace(call->stream, call);
  // Moves on to a new connection while stream numbers remain for the calls that still arrive.
  if (call->stream > kLastStream) OnGoAway();
  OnStreamOpened();
  ScheduleSend();
}

void ClientConnection::Abandon(const ClientCall& call) {
  if (call.stream > 0) return ResetStream(call.stream, NGHTTP2_CANCEL);
  const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                  [&call](const auto& entry) { return entry.get() == &call; });
  if (found == waiting_.end()) return;
  buffered_bytes_ -= call.request.bytes.size();
  waiting_.erase(found);
}

void ClientConnection::Detach() {
  owner_ = nullptr;
  Close(Errc::kCancelled);
}

HandshakeStep ClientConnection::OnHandshakeMessage(std::string_view message) {
  Result<std::string> proof = handshake_.OnServerHello(message);
  if (!proof) return {.send = {}, .status = proof.error()};
  return {.send = std::move(proof).value(), .ready = true};
}

void ClientConnection::OnReady() {
  for (const auto& call : std::exchange(waiting_, {})) Submit(call);
}

void ClientConnection::OnHeader(std::int32_t stream, std::string_view name,
                                std::string_view value) {
  const auto found = streams_.find(stream);
  if (found != streams_.end() && name == kErrorHeader) found->second->failure = ParseErrc(value);
}

void ClientConnection::OnData(std::int32_t stream, std::string_view data) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  ClientCall& call = *found->second;
  if (call.failure == Errc::kTooLarge) return;
  if (call.reply.size() + data.size() > kMaxMessageBytes) {
    call.failure = Errc::kTooLarge;
    return ResetStream(stream, NGHTTP2_CANCEL);
  }
  call.reply.append(data);
}

void ClientConnection::OnStreamClosed(std::int32_t stream, std::uint32_t error_code) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  const auto call = std::move(found->second);
  streams_.erase(found);
  buffered_bytes_ -= call->request.bytes.size();
  if (call->failure) {
    Finish(call, *call->failure);
  } else if (error_code != NGHTTP2_NO_ERROR) {
    Finish(call, Errc::kUnavailable);
  } else {
    Finish(call, DecodeReply(call->reply));
  }
}

void ClientConnection::OnGoAway() {
  if (std::exchange(draining_, true) || owner_ == nullptr) return;
  owner_->OnUnusable(std::static_pointer_cast<ClientConnection>(shared_from_this()));
}

void ClientConnection::OnClosed(std::error_code reason) {
  const auto self = std::static_pointer_cast<ClientConnection>(shared_from_this());
  if (owner_ != nullptr) owner_->OnUnusable(self);
  // Streams may be in use by nghttp2 further up the stack, so the calls stay alive until the end.
  const auto streams = std::exchange(streams_, {});
  const auto waiting = std::exchange(waiting_, {});
  const std::error_code error =
      reason == Errc::kPermissionDenied ? reason : make_error_code(Errc::kUnavailable);
  for (const auto& call : waiting) Finish(call, error);
  for (const auto& [stream, call] : streams) Finish(call, error);
  if (owner_ != nullptr) owner_->OnConnectionClosed(self);
}

void ClientConnection::Finish(const std::shared_ptr<ClientCall>& call, Result<Reply> result) {
  if (owner_ != nullptr) owner_->OnResult(call, std::move(result));
}

}  // namespace verbenaridge::wire::internal
