#include "verbenaridge/settings/settings_watch.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace verbenaridge::settings {
namespace {

std::string Document(std::string_view port, std::string_view more) {
  return std::string(R"({"host":"h","data_centre":"a","ip":"127.0.0.1","clients":"127.0.0.1:)")
      .append(port)
      .append(R"(","readiness":"127.0.0.1:2","control":"127.0.0.1:3","store":"127.0.0.1:4",)")
      .append(R"("first_internal_port":100,"fleet_keys":["a key of sixteen bytes"])")
      .append(more)
      .append("}");
}

// Guards against changes that are missed, reported twice or accepted from a truncated file, and
// against a required restart that is not reported.
TEST_CASE("each change of a settings file is reported once") {
  struct Row {
    const char* name;
    std::optional<std::string> content;  // none: the file is removed
    bool reported;
    std::size_t faults;
    bool needs_restart;
  };
  const Row rows[] = {
      {"unchanged", Document("1", ""), false, 0, false},
      {"removed", {}, false, 0, false},
      {"a reloadable setting", Document("1", R"(,"log_level":"error")"), true, 0, false},
      {"a setting that needs a restart", Document("9", ""), true, 0, true},
      {"truncated", R"({"host":)", true, 1, false},
      {"a value out of range", Document("1", R"(,"grace_period_ms":5)"), true, 1, false},
  };
  const std::filesystem::path file = std::filesystem::temp_directory_path() /
                                     ("verbenaridge_settings_" + std::to_string(getpid()));
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::ofstream(file) << Document("1", "");
    const LoadedIngressSettings before = LoadIngressSettings(file);
    REQUIRE(before.errors.empty());
    SettingsWatch watch(file);
    CHECK_FALSE(watch.Poll());
    std::filesystem::remove(file);
    if (row.content) std::ofstream(file) << *row.content;
    const auto loaded = watch.Poll();
    REQUIRE(loaded.has_value() == row.reported);
    CHECK_FALSE(watch.Poll());
    if (!loaded) continue;
    CHECK(loaded->errors.size() == row.faults);
    if (row.faults == 0) {
      CHECK(NeedsRestart(before.settings, loaded->settings) == row.needs_restart);
    }
  }
  std::filesystem::remove(file);
}

}  // namespace
}  // namespace verbenaridge::settings
