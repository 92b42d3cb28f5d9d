// Program fake_endpoint: a model endpoint and plain services for tests, on one port.

#include <getopt.h>

#include <asio/signal_set.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <sstream>
#include <string>

#include "verbenaridge/fakes/fake_endpoint.h"

namespace {

using verbenaridge::fakes::FakeEndpointOptions;

constexpr int kCrashExitCode = 70;

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) parts.push_back(part);
  return parts;
}

verbenaridge::Duration Milliseconds(const std::string& text) {
  return verbenaridge::FromSeconds(std::stod(text) / 1000);
}

using Setter = std::function<void(FakeEndpointOptions&, const std::string&)>;

const std::map<std::string, Setter>& Setters() {
  static const std::map<std::string, Setter> setters = {
      {"address", [](auto& o, auto& v) { o.address = v; }},
      {"port", [](auto& o, auto& v) { o.port = static_cast<std::uint16_t>(std::stoul(v)); }},
      {"models", [](auto& o, auto& v) { o.models = Split(v); }},
      {"role", [](auto& o, auto& v) { o.role = v; }},
      {"time-scale", [](auto& o, auto& v) { o.engine.time_scale = std::stod(v); }},
      {"prefill-rate", [](auto& o, auto& v) { o.engine.prefill_tokens_per_second = std::stod(v); }},
      {"chunk-tokens", [](auto& o, auto& v) { o.engine.chunk_tokens = std::stoll(v); }},
      {"decode-step-ms", [](auto& o, auto& v) { o.engine.decode_step = Milliseconds(v); }},
      {"max-batch", [](auto& o, auto& v) { o.engine.max_batch = std::stoll(v); }},
      {"kv-bytes-per-token", [](auto& o, auto& v) { o.engine.kv_bytes_per_token = std::stoll(v); }},
      {"kv-capacity", [](auto& o, auto& v) { o.engine.kv_capacity_bytes = std::stoll(v); }},
      {"cache-event-delay-ms",
       [](auto& o, auto& v) { o.engine.cache_event_delay = Milliseconds(v); }},
      {"cache-event-loss-every",
       [](auto& o, auto& v) { o.engine.cache_event_loss_every = std::stoull(v); }},
      {"crash-marker", [](auto& o, auto& v) { o.engine.crash_marker = v; }},
      {"load-lag-ms", [](auto& o, auto& v) { o.load_lag = Milliseconds(v); }},
      {"checks-fencing", [](auto& o, auto& v) { o.checks_fencing = v != "no"; }},
      {"service-delay-ms", [](auto& o, auto& v) { o.service_delay = Milliseconds(v); }},
      {"drop-answer-every", [](auto& o, auto& v) { o.drop_answer_every = std::stoull(v); }}};
  return setters;
}

bool ParseOptions(int argc, char** argv, FakeEndpointOptions& options) {
  std::vector<option> table;
  std::vector<const std::pair<const std::string, Setter>*> entries;
  for (const auto& entry : Setters()) {
    table.push_back({entry.first.c_str(), required_argument, nullptr, 0});
    entries.push_back(&entry);
  }
  table.push_back({"help", no_argument, nullptr, 'h'});
  table.push_back({nullptr, 0, nullptr, 0});
  int index = 0;
  for (int code; (code = getopt_long(argc, argv, "", table.data(), &index)) != -1;) {
    if (code != 0) return false;
    const auto& [name, set] = *entries.at(static_cast<std::size_t>(index));
    try {
      set(options, optarg);
    } catch (const std::exception&) {
      std::fprintf(stderr, "fake_endpoint: invalid value of --%s\n", name.c_str());
      return false;
    }
  }
  return optind == argc;
}

}  // namespace

int main(int argc, char** argv) {
  FakeEndpointOptions options;
  options.on_crash = [] { std::_Exit(kCrashExitCode); };
  if (!ParseOptions(argc, argv, options)) {
    std::fprintf(stderr, "usage: fake_endpoint [--NAME VALUE]...\n");
    for (const auto& [name, set] : Setters()) std::fprintf(stderr, "  --%s\n", name.c_str());
    return 2;
  }
  asio::io_context io_context;
  verbenaridge::fakes::FakeEndpoint endpoint(io_context, options);
  if (endpoint.Open().has_error()) {
    std::fprintf(stderr, "fake_endpoint: cannot listen on %s:%u\n", options.address.c_str(),
                 static_cast<unsigned>(options.port));
    return 1;
  }
  std::printf("%s\n", endpoint.url().c_str());
  std::fflush(stdout);
  asio::signal_set signals(io_context, SIGINT, SIGTERM);
  signals.async_wait([&](std::error_code, int) { io_context.stop(); });
  io_context.run();
  return 0;
}
