// Callers' HTTP interface: turns requests into calls::RequestHandler calls. One instance per
// traffic thread; instances share the port.
//
//   CallerServer server(io_context, {.http = {.port = 8000}}, handler, clock, random);
//   server.Open();
#ifndef VERBENARIDGE_FRONTEND_CALLER_SERVER_H_
#define VERBENARIDGE_FRONTEND_CALLER_SERVER_H_

#include <memory>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/calls/calls.h"
#include "verbenaridge/frontend/http_server.h"
#include "verbenaridge/frontend/request_parser.h"

namespace verbenaridge::frontend {

// Turns one HTTP request into a call. Apart from the server, so that tests need no socket.
class CallerService final : public HttpService {
 public:
  CallerService(calls::RequestHandler& handler, const Clock& clock, RandomSource& random,
                std::size_t max_body_bytes);

  void Handle(const HttpCall& call, std::shared_ptr<ResponseWriter> writer) override;

 private:
  std::optional<Rejection> Dispatch(const HttpCall& call, const RequestId& request_id,
                                    const std::shared_ptr<ResponseWriter>& writer);
  std::optional<Rejection> Complete(const HttpCall& call, calls::CallHeader header,
                                    const std::shared_ptr<ResponseWriter>& writer);
  std::optional<Rejection> CallService(const HttpCall& call, Route route, calls::CallHeader header,
                                       const std::shared_ptr<ResponseWriter>& writer);
  std::optional<Rejection> ListModels(const calls::CallHeader& header, ResponseWriter& writer);

  calls::RequestHandler& handler_;
  const Clock& clock_;
  RandomSource& random_;
  const std::size_t max_body_bytes_;
};

class CallerServer {
 public:
  struct Options {
    HttpServer::Options http;
  };

  // The handler, clock and random source must outlive this object.
  CallerServer(asio::io_context& io_context, const Options& options, calls::RequestHandler& handler,
               const Clock& clock, RandomSource& random);

  // Call from the loop's thread, or before the loop runs.
  Status Open() { return server_.Open(); }
  void StopAccepting() { server_.StopAccepting(); }
  std::uint16_t port() const { return server_.port(); }
  std::size_t open_responses() const { return server_.open_responses(); }

 private:
  CallerService service_;
  HttpServer server_;
};

}  // namespace verbenaridge::frontend

#endif  // VERBENARIDGE_FRONTEND_CALLER_SERVER_H_
