#include "verbenaridge/directory/configuration.h"

#include <doctest/doctest.h>

#include <string>

namespace verbenaridge::directory {
namespace {

Route RouteOf(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  return route;
}

// Guards against a request that is forwarded to the service of another route.
TEST_CASE("the route of the host with the longest matching prefix is chosen") {
  const auto configuration = Configuration::Create(
      {.version = 3,
       .routes = {RouteOf("short", "a.example", "/x/"), RouteOf("long", "a.example", "/x/y/"),
                  RouteOf("other", "b.example", "/x/")}});
  struct Row {
    const char* host;
    const char* path;
    const char* route;
  };
  const Row rows[] = {
      {"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"},
      {"a.example", "/x/y", "short"}, {"a.example:8080", "/x/y/", "long"},
      {"A.EXAMPLE", "/x/1", "short"}, {"b.example", "/x/y/1", "other"},
      {"a.example", "/z/1", ""},      {"c.example", "/x/1", ""},
      {"a.example", "/x", ""},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.host) + row.path);
    const Route* route = configuration->FindRoute(row.host, row.path);
    CHECK((route == nullptr ? "" : route->name) == std::string(row.route));
  }
}

// Guards against API keys that are mapped to the wrong client account or to none.
TEST_CASE("an API key identifies its client account") {
  const auto configuration = Configuration::Create(
      {.accounts = {{{.id = ClientAccountId("one"), .keys = {"k1", "k2"}},
                     {.id = ClientAccountId("two"), .keys = {"k3"}, .priority = 1}}}});
  struct Row {
    const char* key;
    const char* account;
  };
  const Row rows[] = {{"k1", "one"}, {"k2", "one"}, {"k3", "two"}, {"k", ""}, {"", ""}};
  for (const Row& row : rows) {
    CAPTURE(row.key);
    const ClientAccount* account = configuration->FindAccount(row.key);
    CHECK((account == nullptr ? "" : account->id.value()) == std::string(row.account));
  }
  CHECK(configuration->needs_keys());
  CHECK_FALSE(Configuration::Create({})->needs_keys());
}

// Guards against a traffic split that sends requests to a service of weight zero.
TEST_CASE("services are chosen in proportion to their weights") {
  Route route;
  route.services = {{ServiceId("a"), 90}, {ServiceId("none"), 0}, {ServiceId("b"), 10}};
  struct Row {
    double draw;
    const char* service;
  };
  const Row rows[] = {{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.9999, "b"}};
  for (const Row& row : rows) {
    CAPTURE(row.draw);
    CHECK(ChooseService(route, row.draw) == ServiceId(row.service));
  }
  CHECK(ChooseService(Route{}, 0.5).empty());
}

}  // namespace
}  // namespace verbenaridge::directory
