// The serving daemon: one control thread, several traffic threads, and an orderly stop.
//
//   Daemon daemon(settings, clock);
//   if (Status opened = daemon.Open(); opened.has_error()) ...
//   daemon.Run();  // returns when the daemon has stopped
#ifndef VERBENARIDGE_DAEMON_DAEMON_H_
#define VERBENARIDGE_DAEMON_DAEMON_H_

#include <memory>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/settings/settings.h"

namespace verbenaridge::daemon {

class Daemon {
 public:
  // The settings are valid; the clock outlives the daemon.
  Daemon(settings::Settings settings, const Clock& clock);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Opens the sockets. Errors: kInvalidArgument for unusable fleet keys, or the system's error.
  Status Open();

  // Serves until a drain has ended. SIGTERM and SIGINT drain: callers are turned away after a grace
  // time for the balancer, and the daemon stops when its last request has ended. A second signal
  // stops at once. SIGHUP is logged and ignored, because plans come from the store.
  void Run();

  // Begins the drain that a signal begins. Thread-safe.
  void RequestStop();

 private:
  class Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_DAEMON_H_
