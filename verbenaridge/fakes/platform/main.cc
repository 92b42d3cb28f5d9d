// fake_platform: the fake platform as a program.
#include <getopt.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "verbenaridge/fakes/platform/fake_platform.h"

namespace {

constexpr char kHelp[] =
    "Usage: fake_platform [--ip IP] [--port PORT]\n"
    "Serves the fake key-value store, host list and weight store over HTTP.\n"
    "  --ip IP      address to listen on (default 127.0.0.1)\n"
    "  --port PORT  port, 0 for any free one (default 9000)\n"
    "  --help       print this text\n"
    "PUT /control sets faults, GET /counters reports calls, PUT /set-hosts sets the host list.\n";

int Run(const verbenaridge::fakes::FakePlatform::Options& options) {
  asio::io_context io_context;
  verbenaridge::fakes::FakePlatform platform(io_context, options);
  std::cout << "listening on " << platform.base_url() << std::endl;
  asio::signal_set signals(io_context, SIGINT, SIGTERM);
  signals.async_wait([&](std::error_code, int) { io_context.stop(); });
  io_context.run();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  verbenaridge::fakes::FakePlatform::Options options{.port = 9000};
  const option long_options[] = {{"ip", required_argument, nullptr, 'i'},
                                 {"port", required_argument, nullptr, 'p'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {nullptr, 0, nullptr, 0}};
  try {
    for (int code = 0; (code = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
      if (code == 'i') {
        options.ip = optarg;
      } else if (code == 'p') {
        options.port = static_cast<std::uint16_t>(std::stoul(optarg));
      } else {
        (code == 'h' ? std::cout : std::cerr) << kHelp;
        return code == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
      }
    }
    return Run(options);
  } catch (const std::exception& error) {
    std::cerr << "fake_platform: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
