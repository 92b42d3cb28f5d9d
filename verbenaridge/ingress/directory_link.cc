#include "verbenaridge/ingress/directory_link.h"

#include <utility>
#include <variant>

namespace verbenaridge::ingress {
SocketDirectoryLink::SocketDirectoryLink(asio::io_context& io_context,
                                         PeerDirectory::Options options, const Clock& clock)
    : io_context_(io_context),
      options_(std::move(options)),
      socket_(
          io_context,
          {.listen = {options_.ip, options_.port}, .self = options_.self, .keys = options_.keys},
          clock, [this](const wire::Datagram& datagram, const wire::PeerAddress& from) {
            if (const auto* gossip = std::get_if<wire::DirectoryGossip>(&datagram)) {
              events_->OnGossip(*gossip, from.ip);
            }
          }) {}

Status SocketDirectoryLink::Open(DirectoryEvents& events) {
  events_ = &events;
  peer_directory_.emplace(io_context_, options_, events);
  tick_.emplace(io_context_, kDirectoryTick, [&events] { events.Tick(); });
  BOOST_OUTCOME_TRYV(socket_.Open());
  return peer_directory_->Open();
}

Status SocketDirectoryLink::Send(const std::string& ip, const wire::Datagram& datagram) {
  return socket_.Send({ip, options_.port}, datagram);
}

void SocketDirectoryLink::Fetch(const std::string& ip, const wire::FetchDirectoryRequest& have,
                                std::function<void(Result<wire::FetchDirectoryReply>)> done) {
  peer_directory_->Fetch(ip, have, std::move(done));
}

}  // namespace verbenaridge::ingress
