// The commands to a daemon's operator address: status and drain.
//
//   OperatorCommands commands(io_context, http_client, "http://127.0.0.1:7100", reporter);
//   ExitCode code = commands.Status();
#ifndef VERBENARIDGE_CTL_OPERATOR_COMMANDS_H_
#define VERBENARIDGE_CTL_OPERATOR_COMMANDS_H_

#include <asio/io_context.hpp>
#include <string>
#include <utility>

#include "verbenaridge/ctl/plan_commands.h"
#include "verbenaridge/net/http_client.h"

namespace verbenaridge::ctl {

struct DrainOrder {
  std::string target;  // host or endpoint id
  bool is_endpoint = false;
  bool undo = false;
};

// Not thread-safe.
class OperatorCommands {
 public:
  OperatorCommands(asio::io_context& io_context, net::HttpClient& client, std::string base_url,
                   Reporter reporter)
      : io_context_(io_context),
        client_(client),
        base_url_(std::move(base_url)),
        reporter_(reporter) {}

  ExitCode Status();
  ExitCode Drain(const DrainOrder& order, const std::string& operator_key);

 private:
  Result<net::HttpResponse> Fetch(net::HttpRequest request);
  ExitCode Report(const Result<net::HttpResponse>& response, const std::string& success);

  asio::io_context& io_context_;
  net::HttpClient& client_;
  const std::string base_url_;
  Reporter reporter_;
};

}  // namespace verbenaridge::ctl

#endif  // VERBENARIDGE_CTL_OPERATOR_COMMANDS_H_
