#include "verbenaridge/ingress/load_exchange.h"

#include <utility>

#include "verbenaridge/ingress/wire_conversions.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::ingress {
namespace {

// A task entry takes about 70 bytes and an id 9 bytes. A datagram holds 1,200 bytes.
constexpr std::size_t kMaxTasks = 10;
constexpr std::size_t kMaxIds = 30;

}  // namespace

LoadExchange::LoadExchange(asio::io_context& io_context, const Clock& clock,
                           const LoadExchangeOptions& options, LoadReceiver& receiver)
    : clock_(clock),
      options_(options),
      socket_(io_context,
              {.listen = {options.ip, options.port}, .self = options.self, .keys = options.keys},
              clock,
              [&receiver](const wire::Datagram& datagram, const wire::PeerAddress& from) {
                receiver.OnDatagram(datagram, from.ip);
              }),
      timer_(io_context) {}

void LoadExchange::OnBegin(const dispatch::EndpointTask& task) {
  update_.started.push_back(ToWire(task));
  Arm();
}

void LoadExchange::OnFirstEvent(dispatch::TaskId task) {
  update_.first_events.push_back(task);
  Arm();
}

void LoadExchange::OnEnd(dispatch::TaskId task) {
  update_.ended.push_back(task);
  Arm();
}

void LoadExchange::OnUnreachable(Digest endpoint) {
  update_.unreachable_endpoints.push_back(endpoint);
  Arm();
}

void LoadExchange::OnLimit(Digest endpoint, std::optional<dispatch::RequestsPerSecond> limit) {
  update_.limits.push_back({.endpoint = endpoint,
                            .limited = limit.has_value(),
                            .requests_per_second = limit.value_or(0)});
  Arm();
}

void LoadExchange::OnCrash(const dispatch::EndpointCrash& crash) {
  update_.crashes.push_back({.request = crash.request,
                             .endpoint = crash.endpoint,
                             .begun = crash.begun,
                             .parts = crash.parts});
  Arm();
}

void LoadExchange::OnSoundKey(Digest key, const dispatch::SoundRecord& record) {
  update_.sound_keys.push_back(
      {.key = key, .responses = record.responses, .age = clock_.Now() - record.last});
  Arm();
}

void LoadExchange::Arm() {
  std::size_t ids = update_.first_events.size() + update_.ended.size() +
                    update_.unreachable_endpoints.size() + 3 * update_.sound_keys.size() +
                    2 * update_.limits.size();
  for (const wire::CrashEntry& crash : update_.crashes) ids += 2 + crash.parts.size();
  if (update_.started.size() >= kMaxTasks || ids >= kMaxIds) {
    SendUpdate();
    return;
  }
  if (std::exchange(timer_armed_, true)) return;
  timer_.expires_after(options_.batch_time);
  timer_.async_wait([this](std::error_code code) {
    if (!code) Flush();
  });
}

void LoadExchange::Flush() {
  timer_armed_ = false;
  const bool empty = update_.started.empty() && update_.first_events.empty() &&
                     update_.ended.empty() && update_.unreachable_endpoints.empty() &&
                     update_.crashes.empty() && update_.sound_keys.empty() &&
                     update_.limits.empty();
  if (!empty) SendUpdate();
}

void LoadExchange::SendUpdate() {
  wire::LoadUpdate update = std::exchange(update_, {});
  update.sender = options_.self;
  const wire::Datagram datagram = std::move(update);
  for (const std::string& ip : schedulers_) Send(ip, datagram);
}

void LoadExchange::Send(const std::string& ip, const wire::Datagram& datagram) {
  const Status sent = socket_.Send({ip, options_.port}, datagram);
  if (sent.has_error()) {
    telemetry::Log(telemetry::Level::kDebug, "datagram_dropped",
                   {{"peer", ip}, {"error", sent.error().message()}});
  }
}

}  // namespace verbenaridge::ingress
