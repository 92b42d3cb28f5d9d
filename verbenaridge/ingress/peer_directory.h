// Serves configuration and endpoints to other hosts, and fetches them from other hosts.
//
//   PeerDirectory peers(io_context, options, content);
//   peers.Open();
//   peers.Fetch(ip, have, [](Result<wire::FetchDirectoryReply> reply) { ... });
#ifndef VERBENARIDGE_INGRESS_PEER_DIRECTORY_H_
#define VERBENARIDGE_INGRESS_PEER_DIRECTORY_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "verbenaridge/base/result.h"
#include "verbenaridge/wire/nghttp2_transport.h"
#include "verbenaridge/wire/peer_transport.h"

namespace verbenaridge::ingress {

// Provides the configuration and the endpoints of this host.
class DirectoryContent {
 public:
  virtual ~DirectoryContent() = default;

  // Returns what the sender of `have` does not have.
  virtual wire::FetchDirectoryReply Content(const wire::FetchDirectoryRequest& have) const = 0;
};

class PeerDirectory final : private wire::PeerService {
 public:
  struct Options {
    HostId self;
    std::string ip;
    std::uint16_t port = 0;  // the same on all hosts
    wire::FleetKeys keys;
  };

  PeerDirectory(asio::io_context& io_context, const Options& options,
                const DirectoryContent& content);

  Status Open() { return server_.Listen(); }

  void Fetch(const std::string& ip, const wire::FetchDirectoryRequest& have,
             std::function<void(Result<wire::FetchDirectoryReply>)> done);

 private:
  void Serve(wire::Request request, std::shared_ptr<wire::ServerCall> call) override;

  const std::uint16_t port_;
  const DirectoryContent& content_;
  wire::Nghttp2Transport transport_;
  wire::Nghttp2Server server_;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_PEER_DIRECTORY_H_
