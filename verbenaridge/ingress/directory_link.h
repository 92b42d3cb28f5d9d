// Connects the directory of this host to those of the others, and runs its tick.
//
//   SocketDirectoryLink link(io_context, {.self = host, .ip = ip, .port = port}, clock);
//   Status opened = link.Open(events);
//   Status sent = link.Send("10.1.0.40", gossip);
//
// The directory reads time through its clock alone, so that with a link of a test's own several
// hosts run in virtual time.
#ifndef VERBENARIDGE_INGRESS_DIRECTORY_LINK_H_
#define VERBENARIDGE_INGRESS_DIRECTORY_LINK_H_

#include <asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/ingress/peer_directory.h"
#include "verbenaridge/loop/periodic.h"
#include "verbenaridge/wire/datagram_socket.h"

namespace verbenaridge::ingress {

// Time between two ticks.
inline constexpr Duration kDirectoryTick = std::chrono::milliseconds(40);

// What a link calls, on the control thread and never from within its own methods.
class DirectoryEvents : public DirectoryContent {
 public:
  virtual void OnGossip(const wire::DirectoryGossip& gossip, const std::string& ip) = 0;
  virtual void Tick() = 0;
};

class DirectoryLink {
 public:
  virtual ~DirectoryLink() = default;

  // Called once. The events outlive the link.
  virtual Status Open(DirectoryEvents& events) = 0;

  // Success does not mean that the datagram arrives.
  virtual Status Send(const std::string& ip, const wire::Datagram& datagram) = 0;

  // The callback runs once.
  virtual void Fetch(const std::string& ip, const wire::FetchDirectoryRequest& have,
                     std::function<void(Result<wire::FetchDirectoryReply>)> done) = 0;
};

// Gossip in UDP datagrams, fetches over HTTP/2, ticks of the event loop.
class SocketDirectoryLink final : public DirectoryLink {
 public:
  SocketDirectoryLink(asio::io_context& io_context, PeerDirectory::Options options,
                      const Clock& clock);

  Status Open(DirectoryEvents& events) override;
  Status Send(const std::string& ip, const wire::Datagram& datagram) override;
  void Fetch(const std::string& ip, const wire::FetchDirectoryRequest& have,
             std::function<void(Result<wire::FetchDirectoryReply>)> done) override;

 private:
  asio::io_context& io_context_;
  const PeerDirectory::Options options_;
  DirectoryEvents* events_ = nullptr;
  wire::DatagramSocket socket_;
  std::optional<PeerDirectory> peer_directory_;
  std::optional<loop::Periodic> tick_;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_DIRECTORY_LINK_H_
