#include "verbenaridge/ingress/peer_directory.h"

#include <utility>
#include <variant>

namespace verbenaridge::ingress {
namespace {

// A peer replies within a round trip. After the timeout another peer is asked.
constexpr Duration kFetchTimeout = std::chrono::milliseconds(500);

}  // namespace

PeerDirectory::PeerDirectory(asio::io_context& io_context, const Options& options,
                             const DirectoryContent& content)
    : port_(options.port),
      content_(content),
      transport_(io_context, {.self = options.self, .keys = options.keys}),
      server_(io_context,
              {.listen = {options.ip, options.port}, .self = options.self, .keys = options.keys},
              *this) {}

void PeerDirectory::Fetch(const std::string& ip, const wire::FetchDirectoryRequest& have,
                          std::function<void(Result<wire::FetchDirectoryReply>)> done) {
  transport_.Call({ip, port_}, have, kFetchTimeout,
                  [done = std::move(done)](Result<wire::Reply> reply) {
                    if (reply.has_error()) {
                      done(reply.error());
                      return;
                    }
                    auto* content = std::get_if<wire::FetchDirectoryReply>(&reply.value());
                    if (content == nullptr) {
                      done(Errc::kMalformed);
                    } else {
                      done(std::move(*content));
                    }
                  });
}

void PeerDirectory::Serve(wire::Request request, std::shared_ptr<wire::ServerCall> call) {
  if (const auto* fetch = std::get_if<wire::FetchDirectoryRequest>(&request)) {
    call->Answer(content_.Content(*fetch));
  } else {
    call->Fail(Errc::kInvalidArgument);
  }
}

}  // namespace verbenaridge::ingress
