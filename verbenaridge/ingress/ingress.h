// The ingress daemon. It runs a control thread and a traffic thread.
//
//   Ingress ingress(settings, file, clock);
//   if (Status opened = ingress.Open(); opened.has_error()) ...
//   ingress.Run();   // returns after SIGTERM or SIGINT
#ifndef VERBENARIDGE_INGRESS_INGRESS_H_
#define VERBENARIDGE_INGRESS_INGRESS_H_

#include <memory>
#include <string>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/settings/ingress_settings.h"

namespace verbenaridge::ingress {

class Ingress {
 public:
  // Reloads `settings_file` on SIGHUP and when its content changes.
  Ingress(settings::IngressSettings settings, const std::string& settings_file, const Clock& clock);
  ~Ingress();

  Status Open();
  void Run();

  // Starts to drain, as SIGTERM does. Thread-safe.
  void RequestStop();

 private:
  class Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_INGRESS_H_
