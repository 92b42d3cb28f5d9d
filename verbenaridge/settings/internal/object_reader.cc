#include "verbenaridge/settings/internal/object_reader.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <charconv>
#include <utility>

namespace verbenaridge::settings::internal {
namespace {

using nlohmann::json;

constexpr std::string_view kAddressExpected =
    "an IP address and port such as \"127.0.0.1:8080\" or \"[::1]:8080\"";
constexpr std::string_view kUrlExpected =
    "a URL with an IP address such as \"http://127.0.0.1:9000\"";

bool ParseAddress(std::string_view text, SocketAddress& out) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::string_view ip = text.substr(0, colon);
  if (ip.starts_with('[') && ip.ends_with(']')) ip = ip.substr(1, ip.size() - 2);
  const std::string_view port = text.substr(colon + 1);
  std::uint16_t number = 0;
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (error != std::errc() || end != port.data() + port.size() || number == 0) return false;
  asio::error_code address_error;
  asio::ip::make_address(std::string(ip), address_error);
  if (address_error) return false;
  out = {std::string(ip), number};
  return true;
}

bool IsUrl(std::string_view text) {
  constexpr std::string_view kScheme = "http://";
  if (!text.starts_with(kScheme)) return false;
  text.remove_prefix(kScheme.size());
  SocketAddress ignored;
  return ParseAddress(text.substr(0, text.find('/')), ignored);
}

}  // namespace

ObjectReader::ObjectReader(const json& value, std::string path, ErrorList& errors)
    : value_(value), path_(std::move(path)), errors_(errors) {
  if (!value_.is_object()) errors_.Add(path_.empty() ? "/" : path_, "an object");
}

std::string ObjectReader::PathOf(std::string_view key) const {
  return path_ + "/" + std::string(key);
}

void ObjectReader::Fault(std::string_view key, std::string_view expected) {
  errors_.Add(PathOf(key), expected);
}

const json* ObjectReader::Find(std::string_view key, Presence presence, std::string_view expected) {
  known_.emplace(key);
  if (!value_.is_object()) return nullptr;
  const auto it = value_.find(std::string(key));
  if (it != value_.end()) return &*it;
  if (presence == Presence::kRequired) Fault(key, std::string(expected) + " (missing)");
  return nullptr;
}

void ObjectReader::Text(std::string_view key, std::string& out, Presence presence) {
  constexpr std::string_view kExpected = "a non-empty string";
  const json* found = Find(key, presence, kExpected);
  if (found == nullptr) return;
  if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
    Fault(key, kExpected);
    return;
  }
  out = found->get<std::string>();
}

void ObjectReader::OneOf(std::string_view key, std::span<const std::string_view> allowed,
                         std::string& out, std::span<const FormerName> former_names) {
  std::string expected = "one of";
  for (std::string_view name : allowed) expected.append(" \"").append(name).append("\"");
  const json* found = Find(key, Presence::kOptional, expected);
  if (found == nullptr) return;
  for (const FormerName& name : former_names) {
    if (!found->is_string() || found->get_ref<const std::string&>() != name.former) continue;
    errors_.AddOutdated(PathOf(key), name.present);
    out = name.present;
    return;
  }
  if (!found->is_string() ||
      std::find(allowed.begin(), allowed.end(), found->get<std::string>()) == allowed.end()) {
    Fault(key, expected);
    return;
  }
  out = found->get<std::string>();
}

void ObjectReader::Boolean(std::string_view key, bool& out) {
  const json* found = Find(key, Presence::kOptional, "true or false");
  if (found == nullptr) return;
  if (!found->is_boolean()) {
    Fault(key, "true or false");
    return;
  }
  out = found->get<bool>();
}

std::int64_t ObjectReader::Integer(std::string_view key, IntegerRange range, std::int64_t fallback,
                                   Presence presence) {
  const std::string expected =
      "an integer from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
  const json* found = Find(key, presence, expected);
  if (found == nullptr) return fallback;
  if (!found->is_number_integer() || *found < range.minimum || *found > range.maximum) {
    Fault(key, expected);
    return fallback;
  }
  return found->get<std::int64_t>();
}

double ObjectReader::Number(std::string_view key, NumberRange range, double fallback,
                            Presence presence) {
  const std::string expected =
      "a number from " + json(range.minimum).dump() + " to " + json(range.maximum).dump();
  const json* found = Find(key, presence, expected);
  if (found == nullptr) return fallback;
  if (!found->is_number() || *found < range.minimum || *found > range.maximum) {
    Fault(key, expected);
    return fallback;
  }
  return found->get<double>();
}

Duration ObjectReader::Milliseconds(std::string_view key, IntegerRange range, Duration fallback) {
  const auto fallback_ms = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
  return std::chrono::milliseconds(Integer(key, range, fallback_ms));
}

void ObjectReader::Address(std::string_view key, SocketAddress& out) {
  const json* found = Find(key, Presence::kRequired, kAddressExpected);
  if (found == nullptr) return;
  if (!found->is_string() || !ParseAddress(found->get<std::string>(), out)) {
    Fault(key, kAddressExpected);
  }
}

void ObjectReader::Url(std::string_view key, std::string& out) {
  const json* found = Find(key, Presence::kRequired, kUrlExpected);
  if (found == nullptr) return;
  if (!found->is_string() || !IsUrl(found->get<std::string>())) {
    Fault(key, kUrlExpected);
    return;
  }
  out = found->get<std::string>();
  while (out.ends_with('/')) out.pop_back();
}

void ObjectReader::Texts(std::string_view key, std::vector<std::string>& out, Presence presence) {
  constexpr std::string_view kExpected = "a non-empty array of non-empty strings";
  const json* found = Find(key, presence, kExpected);
  if (found == nullptr) return;
  if (!found->is_array() || found->empty()) {
    Fault(key, kExpected);
    return;
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    const json& element = (*found)[i];
    if (element.is_string() && !element.get_ref<const std::string&>().empty()) {
      out.push_back(element.get<std::string>());
    } else {
      errors_.Add(PathOf(key) + "/" + std::to_string(i), "a non-empty string");
    }
  }
}

void ObjectReader::TextMap(std::string_view key, std::size_t max_entries,
                           std::map<std::string, std::string>& out) {
  const std::string expected =
      "an object of at most " + std::to_string(max_entries) + " non-empty strings";
  const json* found = Find(key, Presence::kOptional, expected);
  if (found == nullptr || found->is_null()) return;
  if (!found->is_object() || found->size() > max_entries) {
    Fault(key, expected);
    return;
  }
  for (const auto& [name, text] : found->items()) {
    if (!name.empty() && text.is_string() && !text.get_ref<const std::string&>().empty()) {
      out[name] = text.get<std::string>();
    } else {
      errors_.Add(PathOf(key) + "/" + name, "a name and a non-empty string");
    }
  }
}

void ObjectReader::Objects(std::string_view key, const std::function<void(ObjectReader&)>& read,
                           Presence presence) {
  const json* found = Find(key, presence, "an array of objects");
  if (found == nullptr) return;
  if (!found->is_array()) {
    Fault(key, "an array of objects");
    return;
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    ObjectReader reader((*found)[i], PathOf(key) + "/" + std::to_string(i), errors_);
    read(reader);
    reader.RefuseUnknownKeys();
  }
}

void ObjectReader::Object(std::string_view key, const std::function<void(ObjectReader&)>& read,
                          Presence presence) {
  const json* found = Find(key, presence, "an object");
  if (found == nullptr) return;
  ObjectReader reader(*found, PathOf(key), errors_);
  read(reader);
  reader.RefuseUnknownKeys();
}

void ObjectReader::RefuseUnknownKeys() {
  if (!value_.is_object()) return;
  for (const auto& [key, ignored] : value_.items()) {
    if (!known_.contains(key)) Fault(key, "no such key (unknown setting)");
  }
}

}  // namespace verbenaridge::settings::internal
