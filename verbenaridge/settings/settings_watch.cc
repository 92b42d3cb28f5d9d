#include "verbenaridge/settings/settings_watch.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace verbenaridge::settings {
namespace {

std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return {};
  return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

}  // namespace

SettingsWatch::SettingsWatch(std::string file)
    : file_(std::move(file)), content_(ReadFile(file_).value_or(std::string())) {}

std::optional<LoadedIngressSettings> SettingsWatch::Poll() {
  std::optional<std::string> content = ReadFile(file_);
  if (!content || *content == content_) return {};
  content_ = std::move(*content);
  return ParseIngressSettings(content_, file_);
}

}  // namespace verbenaridge::settings
