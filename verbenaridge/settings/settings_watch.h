// Detects changes of a settings file by comparing its content.
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
  // Starts from the current content of the file.
  explicit SettingsWatch(std::string file);

  // Parses the file if its content differs from the last call. A file that cannot be read counts as
  // unchanged, because it may be in the middle of a replacement.
  std::optional<LoadedIngressSettings> Poll();

 private:
  const std::string file_;
  std::string content_;
};

}  // namespace verbenaridge::settings

#endif  // VERBENARIDGE_SETTINGS_SETTINGS_WATCH_H_
