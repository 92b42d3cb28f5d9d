// Notices that a settings file has changed, by its content.
//
//   SettingsWatch watch("/etc/verbenaridge/boot.toml");
//   if (auto loaded = watch.Poll()) Apply(*loaded);   // nothing: unchanged
#ifndef VERBENARIDGE_SETTINGS_SETTINGS_WATCH_H_
#define VERBENARIDGE_SETTINGS_SETTINGS_WATCH_H_

#include <optional>
#include <string>

#include "verbenaridge/settings/ingress_settings.h"

namespace verbenaridge::settings {

// Not thread-safe.
class SettingsWatch {
 public:
  // Takes the present content as known.
  explicit SettingsWatch(std::string file);

  // What the file holds now, with its faults, if that differs from the last call. A file that
  // cannot be read counts as unchanged: it may be replaced at this moment.
  std::optional<LoadedIngressSettings> Poll();

 private:
  const std::string file_;
  std::string content_;
};

}  // namespace verbenaridge::settings

#endif  // VERBENARIDGE_SETTINGS_SETTINGS_WATCH_H_
