#include "verbenaridge/wire/internal/h2_connection.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <cstring>
#include <utility>

#include "verbenaridge/wire/handshake.h"

namespace verbenaridge::wire::internal {
namespace {

constexpr std::size_t kReadBufferBytes = 64UL * 1024;
// Reads in one turn of the event loop, so that one busy peer does not starve the others.
constexpr int kMaxReadsPerTurn = 4;
constexpr std::size_t kOutputBytes = 64UL * 1024;
// Output buffers above this size are freed when idle: 380 connections share 32 MB.
constexpr std::size_t kKeptOutputBytes = 4UL * 1024;
constexpr std::size_t kLengthBytes = 2;
constexpr std::int32_t kStreamWindowBytes = 1024 * 1024;
constexpr std::int32_t kConnectionWindowBytes = 4 * 1024 * 1024;

std::string_view View(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace

// Forwards nghttp2's callbacks to the virtual functions.
struct SessionCallbacks {
  static H2Connection& Self(void* user_data) { return *static_cast<H2Connection*>(user_data); }

  static int BeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    if (!Self(user_data).closed()) Self(user_data).OnBeginHeaders(frame->hd.stream_id);
    return 0;
  }

  static int Header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                    std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                    std::uint8_t, void* user_data) {
    if (Self(user_data).closed()) return 0;
    Self(user_data).OnHeader(frame->hd.stream_id, View(name, name_size), View(value, value_size));
    return 0;
  }

  static int Data(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data,
                  std::size_t size, void* user_data) {
    if (!Self(user_data).closed()) Self(user_data).OnData(stream, View(data, size));
    return 0;
  }

  static int Frame(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    H2Connection& self = Self(user_data);
    if (self.closed()) return 0;
    const bool message = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      self.OnRemoteEnd(frame->hd.stream_id);
    }
    if (frame->hd.type == NGHTTP2_GOAWAY) self.OnGoAway();
    return 0;
  }

  static int StreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t error_code,
                         void* user_data) {
    if (!Self(user_data).closed()) Self(user_data).OnStreamClosed(stream, error_code);
    return 0;
  }

  static nghttp2_session_callbacks* Get() {
    static nghttp2_session_callbacks* const callbacks = [] {
      nghttp2_session_callbacks* table = nullptr;
      nghttp2_session_callbacks_new(&table);
      nghttp2_session_callbacks_set_on_begin_headers_callback(table, &BeginHeaders);
      nghttp2_session_callbacks_set_on_header_callback(table, &Header);
      nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, &Data);
      nghttp2_session_callbacks_set_on_frame_recv_callback(table, &Frame);
      nghttp2_session_callbacks_set_on_stream_close_callback(table, &StreamClose);
      return table;
    }();
    return callbacks;
  }
};

std::size_t OutgoingBody::Take(std::uint8_t* target, std::size_t size) {
  const std::size_t count = std::min(size, bytes.size() - sent);
  std::memcpy(target, bytes.data() + sent, count);
  sent += count;
  return count;
}

H2Connection::H2Connection(asio::ip::tcp::socket socket, Role role,
                           const ConnectionTimeouts& timeouts, TransportCounters& counters)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      role_(role),
      timeouts_(timeouts),
      counters_(counters) {}

H2Connection::~H2Connection() { nghttp2_session_del(session_); }

void H2Connection::Close(std::error_code reason) {
  if (std::exchange(closed_, true)) return;
  // The last reference may be dropped in OnClosed.
  const auto self = shared_from_this();
  std::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  OnClosed(reason);
}

void H2Connection::PostTask(std::function<void()> task) {
  asio::post(socket_.get_executor(), std::move(task));
}

void H2Connection::StartHandshakeTimer() {
  last_received_ = last_stream_ = std::chrono::steady_clock::now();
  handshake_deadline_ = last_received_ + timeouts_.handshake;
  EnsureTimer(handshake_deadline_);
}

void H2Connection::StartHandshake(std::string_view first) {
  std::error_code error;
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return Close(Errc::kUnavailable);
  if (!first.empty()) QueueHandshakeMessage(first);
  WaitReadable();
  Send();
}

void H2Connection::QueueHandshakeMessage(std::string_view message) {
  pending_.push_back(static_cast<char>(message.size() >> 8));
  pending_.push_back(static_cast<char>(message.size()));
  pending_.append(message);
}

void H2Connection::OpenSession() {
  if (role_ == Role::kClient) {
    nghttp2_session_client_new(&session_, SessionCallbacks::Get(), this);
  } else {
    nghttp2_session_server_new(&session_, SessionCallbacks::Get(), this);
  }
  const std::array<nghttp2_settings_entry, 3> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  // Servers do not announce push.
  const std::size_t count = role_ == Role::kClient ? settings.size() : settings.size() - 1;
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), count);
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
  OnReady();
}

void H2Connection::WaitReadable() {
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](std::error_code error) {
                       if (self->closed_) return;
                       if (error) return self->Close(Errc::kUnavailable);
                       self->OnReadable();
                     });
}

void H2Connection::OnReadable() {
  ReadAvailable();
  if (closed_) return;
  Send();
  if (!closed_) WaitReadable();
}

void H2Connection::ProcessReceived() {
  if (closed_ || !ready()) return;
  // The end of a connection may follow its last bytes.
  if (ReadAvailable()) ReadAvailable();
  if (!closed_) ScheduleSend();
}

bool H2Connection::ReadAvailable() {
  // Shared by all connections of the thread, so that idle connections hold no buffer.
  thread_local std::array<char, kReadBufferBytes> buffer;
  bool received = false;
  for (int reads = 0; reads < kMaxReadsPerTurn && !closed_; ++reads) {
    std::error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) break;
    if (error) {
      Close(Errc::kUnavailable);
      return false;
    }
    received = true;
    counters_.bytes_in += size;
    last_received_ = std::chrono::steady_clock::now();
    ping_outstanding_ = false;
    Consume({buffer.data(), size});
    if (size < buffer.size()) break;
  }
  return received && !closed_;
}

void H2Connection::Consume(std::string_view data) {
  while (!closed_ && !ready() && !data.empty() && close_after_write_) {
    data.remove_prefix(ConsumeHandshake(data));
  }
  if (closed_ || !ready() || data.empty()) return;
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(data.data());
  const auto consumed = nghttp2_session_mem_recv(session_, bytes, data.size());
  if (consumed < 0) Close(Errc::kMalformed);
}

// Takes bytes up to the end of one handshake message and acts on it when it is complete.
std::size_t H2Connection::ConsumeHandshake(std::string_view data) {
  const std::size_t had = handshake_in_.size();
  const auto length = [this] {
    return static_cast<std::size_t>(static_cast<unsigned char>(handshake_in_[0]) << 8 |
                                    static_cast<unsigned char>(handshake_in_[1]));
  };
  const std::size_t wanted = had < kLengthBytes ? kLengthBytes : kLengthBytes + length();
  const std::size_t taken = std::min(data.size(), wanted - had);
  handshake_in_.append(data.substr(0, taken));
  if (handshake_in_.size() < kLengthBytes) return taken;
  if (length() == 0 || length() > kMaxHandshakeBytes) {
    ++counters_.handshake_failures;
    Close(Errc::kMalformed);
    return taken;
  }
  if (handshake_in_.size() < kLengthBytes + length()) return taken;
  const std::string message = std::exchange(handshake_in_, {}).substr(kLengthBytes);
  const HandshakeStep step = OnHandshakeMessage(message);
  if (!step.send.empty()) QueueHandshakeMessage(step.send);
  close_after_write_ = step.status;
  if (!step.status) ++counters_.handshake_failures;
  if (step.ready) {
    ++counters_.connections_opened;
    OpenSession();
  }
  return taken;
}

void H2Connection::ScheduleSend() {
  if (closed_ || std::exchange(send_scheduled_, true)) return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->send_scheduled_ = false;
    self->Send();
  });
}

void H2Connection::FillOutput() {
  output_ = pending_;
  pending_.clear();
  while (session_ != nullptr && output_.size() < kOutputBytes) {
    const std::uint8_t* data = nullptr;
    const auto size = nghttp2_session_mem_send(session_, &data);
    if (size < 0) return Close(Errc::kUnavailable);
    if (size == 0) break;
    output_.append(View(data, static_cast<std::size_t>(size)));
  }
}

void H2Connection::Send() {
  if (closed_ || writing_) return;
  FillOutput();
  if (closed_) return;
  if (!output_.empty()) {
    writing_ = true;
    write_started_ = std::chrono::steady_clock::now();
    EnsureTimer(write_started_ + timeouts_.write);
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](std::error_code error, std::size_t size) {
                        self->OnWritten(error, size);
                      });
    return;
  }
  if (output_.capacity() > kKeptOutputBytes) output_ = std::string();
  if (!close_after_write_) return Close(close_after_write_.error());
  if (!ready()) return;
  const bool over =
      nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
  if (over || Finished()) Close(Errc::kUnavailable);
}

void H2Connection::OnWritten(std::error_code error, std::size_t size) {
  writing_ = false;
  if (closed_) return;
  if (error) return Close(Errc::kUnavailable);
  counters_.bytes_out += size;
  Send();
}

void H2Connection::OnStreamOpened() {
  const SteadyTime now = std::chrono::steady_clock::now();
  last_stream_ = now;
  if (!ping_outstanding_ && now - last_received_ >= timeouts_.silence) SendPing(now);
  EnsureTimer(NextCheck());
}

void H2Connection::ResetStream(std::int32_t stream, std::uint32_t error_code) {
  if (closed_ || !ready()) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error_code);
  ScheduleSend();
}

void H2Connection::SendPing(SteadyTime now) {
  ping_outstanding_ = true;
  ping_sent_ = now;
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  ScheduleSend();
}

H2Connection::SteadyTime H2Connection::NextCheck() const {
  if (confirm_at_ != SteadyTime::max()) return confirm_at_;
  if (!ready()) return handshake_deadline_;
  SteadyTime next = last_stream_ + timeouts_.idle * (role_ == Role::kServer ? 2 : 1);
  if (HasStreams()) next = last_received_ + timeouts_.silence;
  if (ping_outstanding_) next = ping_sent_ + timeouts_.ping_answer;
  if (writing_) next = std::min(next, write_started_ + timeouts_.write);
  return next;
}

void H2Connection::EnsureTimer(SteadyTime when) {
  if (closed_ || when >= timer_at_) return;
  timer_at_ = when;
  timer_.expires_at(when);
  timer_.async_wait([self = shared_from_this()](std::error_code error) {
    if (!error) self->OnTimer();
  });
}

void H2Connection::OnTimer() {
  if (closed_) return;
  const SteadyTime now = std::chrono::steady_clock::now();
  CheckTimes(now, now - std::exchange(timer_at_, SteadyTime::max()));
  if (closed_) return;
  if (HasStreams()) OnCheck(now);
  // A check that finds nothing to do in the past must not repeat at once.
  EnsureTimer(std::max(NextCheck(), now + std::chrono::milliseconds(10)));
}

void H2Connection::CheckTimes(SteadyTime now, SteadyTime::duration delay) {
  if (LimitPassed(now)) return CloseIfConfirmed(now, delay);
  confirm_at_ = SteadyTime::max();
  if (!ready()) return;
  if (HasStreams()) {
    last_stream_ = now;
    if (!ping_outstanding_ && now - last_received_ >= timeouts_.silence) SendPing(now);
  } else if (now - last_stream_ >= timeouts_.idle * (role_ == Role::kServer ? 2 : 1)) {
    Close(Errc::kUnavailable);
  }
}

bool H2Connection::LimitPassed(SteadyTime now) const {
  if (!ready()) return now >= handshake_deadline_;
  const bool stalled = writing_ && now - write_started_ >= timeouts_.write;
  const bool silent = ping_outstanding_ && now - ping_sent_ >= timeouts_.ping_answer;
  return stalled || silent;
}

// After a pause of this process a limit has passed while the answer of the peer is not read yet. So
// the connection is closed only after a further time in which the event loop has run.
void H2Connection::CloseIfConfirmed(SteadyTime now, SteadyTime::duration delay) {
  if (confirm_at_ == SteadyTime::max() || delay > ConfirmTime()) {
    confirm_at_ = now + ConfirmTime();
  } else if (now >= confirm_at_) {
    ++(ready() ? counters_.silent_closes : counters_.handshake_failures);
    Close(Errc::kUnavailable);
  }
}

}  // namespace verbenaridge::wire::internal
