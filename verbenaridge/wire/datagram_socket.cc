#include "verbenaridge/wire/datagram_socket.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

#include "verbenaridge/wire/codec.h"
#include "verbenaridge/wire/internal/system_error.h"

namespace verbenaridge::wire {
namespace {

// After the system reported an error of the socket; at once it could repeat without end.
constexpr Duration kReceiveRetry = std::chrono::milliseconds(100);

const HostId& SenderOf(const Datagram& datagram) {
  return std::visit([](const auto& message) -> const HostId& { return message.sender; }, datagram);
}

}  // namespace

class DatagramSocket::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, DatagramOptions options, const Clock& clock, Handler handler)
      : socket_(context),
        retry_timer_(context),
        listen_(std::move(options.listen)),
        sealer_(options.keys, options.self, clock),
        opener_(options.keys, clock),
        handler_(std::move(handler)) {}

  Status Open() {
    std::error_code error;
    const auto address = asio::ip::make_address(listen_.ip, error);
    if (error) return Errc::kInvalidArgument;
    const asio::ip::udp::endpoint endpoint(address, listen_.port);
    socket_.open(endpoint.protocol(), error);
    if (!error) socket_.bind(endpoint, error);
    if (!error) socket_.non_blocking(true, error);
    if (!error) port_ = socket_.local_endpoint(error).port();
    if (error) {
      Close();
      return internal::SystemError(error);
    }
    Receive();
    return Ok();
  }

  void Close() {
    std::error_code ignored;
    socket_.close(ignored);
    retry_timer_.cancel();
  }

  Status Send(const PeerAddress& to, const Datagram& datagram) {
    std::error_code error;
    const auto address = asio::ip::make_address(to.ip, error);
    if (error) return Errc::kInvalidArgument;
    BOOST_OUTCOME_TRY(packet, sealer_.Seal(Encode(datagram)));
    const std::size_t size =
        socket_.send_to(asio::buffer(packet), asio::ip::udp::endpoint(address, to.port), 0, error);
    if (error) {
      ++counters_.dropped;
      return Errc::kUnavailable;
    }
    counters_.bytes_out += size;
    ++counters_.datagrams_out;
    return Ok();
  }

  std::uint16_t port() const { return port_; }
  std::size_t max_message_bytes() const { return sealer_.max_payload_bytes(); }
  const DatagramCounters& counters() const { return counters_; }

 private:
  void Receive() {
    socket_.async_receive_from(asio::buffer(buffer_), from_,
                               [weak = weak_from_this()](std::error_code error, std::size_t size) {
                                 const auto self = weak.lock();
                                 if (self == nullptr || !self->socket_.is_open()) return;
                                 if (error) return self->RetryReceive();
                                 self->OnPacket({self->buffer_.data(), size});
                                 if (self->socket_.is_open()) self->Receive();
                               });
  }

  void RetryReceive() {
    retry_timer_.expires_after(kReceiveRetry);
    retry_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
      const auto self = weak.lock();
      if (!error && self != nullptr && self->socket_.is_open()) self->Receive();
    });
  }

  void OnPacket(std::string_view packet) {
    counters_.bytes_in += packet.size();
    ++counters_.datagrams_in;
    const Result<OpenedDatagram> opened = opener_.Open(packet);
    if (!opened) {
      const bool malformed =
          opened.error() == Errc::kMalformed || opened.error() == Errc::kTooLarge;
      ++(malformed ? counters_.malformed : counters_.refused);
      return;
    }
    Result<Datagram> datagram = DecodeDatagram(opened.value().payload);
    if (!datagram || SenderOf(datagram.value()) != opened.value().sender) {
      ++counters_.malformed;
      return;
    }
    handler_(std::move(datagram).value(), {from_.address().to_string(), from_.port()});
  }

  asio::ip::udp::socket socket_;
  asio::steady_timer retry_timer_;
  const PeerAddress listen_;
  DatagramSealer sealer_;
  DatagramOpener opener_;
  const Handler handler_;
  DatagramCounters counters_;
  std::uint16_t port_ = 0;
  // One byte more than allowed, so that a longer datagram is seen as too large, not cut.
  std::array<char, kMaxDatagramBytes + 1> buffer_{};
  asio::ip::udp::endpoint from_;
};

DatagramSocket::DatagramSocket(asio::io_context& context, DatagramOptions options,
                               const Clock& clock, Handler handler)
    : impl_(std::make_shared<Impl>(context, std::move(options), clock, std::move(handler))) {}

DatagramSocket::~DatagramSocket() { impl_->Close(); }

Status DatagramSocket::Open() { return impl_->Open(); }

std::uint16_t DatagramSocket::port() const { return impl_->port(); }

Status DatagramSocket::Send(const PeerAddress& to, const Datagram& datagram) {
  return impl_->Send(to, datagram);
}

std::size_t DatagramSocket::max_message_bytes() const { return impl_->max_message_bytes(); }

const DatagramCounters& DatagramSocket::counters() const { return impl_->counters(); }

}  // namespace verbenaridge::wire
