#include "verbenaridge/directory/configuration.h"

#include <algorithm>
#include <utility>

namespace verbenaridge::directory {
namespace {

std::string NormalizedHost(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return key;
}

}  // namespace

std::shared_ptr<const Configuration> Configuration::Create(ConfigurationContent content) {
  return std::shared_ptr<const Configuration>(new Configuration(std::move(content)));
}

Configuration::Configuration(ConfigurationContent content) : content_(std::move(content)) {
  for (const Route& route : content_.routes) {
    routes_by_host_[NormalizedHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
  for (const Service& service : content_.services) services_[service.id] = &service;
  if (!content_.accounts) return;
  for (const ClientAccount& account : *content_.accounts) {
    for (const std::string& key : account.keys) accounts_by_key_[key] = &account;
  }
}

const Route* Configuration::FindRoute(std::string_view host, std::string_view path) const {
  const auto found = routes_by_host_.find(NormalizedHost(host));
  if (found == routes_by_host_.end()) return nullptr;
  for (const Route* route : found->second) {
    if (path.starts_with(route->path_prefix)) return route;
  }
  return nullptr;
}

const Service* Configuration::FindService(const ServiceId& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : found->second;
}

Duration Configuration::DelayBetween(const DataCentreId& a, const DataCentreId& b) const {
  Duration longest{};
  for (const Service& service : content_.services) {
    for (const DataCentreDelay& pair : service.delays) {
      if ((pair.from == a && pair.to == b) || (pair.from == b && pair.to == a)) {
        longest = std::max(longest, pair.delay);
      }
    }
  }
  return longest;
}

const ClientAccount* Configuration::FindAccount(std::string_view key) const {
  const auto found = accounts_by_key_.find(key);
  return found == accounts_by_key_.end() ? nullptr : found->second;
}

ServiceId ChooseService(const Route& route, double draw) {
  double total = 0;
  for (const ServiceShare& share : route.services) total += std::max(share.weight, 0.0);
  double remaining = draw * total;
  ServiceId last;
  for (const ServiceShare& share : route.services) {
    if (share.weight <= 0) continue;
    last = share.service;
    remaining -= share.weight;
    if (remaining < 0) break;
  }
  return last;
}

}  // namespace verbenaridge::directory
