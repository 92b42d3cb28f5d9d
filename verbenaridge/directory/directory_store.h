// Where configuration and endpoints are read from. Implemented by the adapter of a platform.
//
//   store.ReadConfiguration([](Result<StoredConfiguration> reading) { ... });
//   store.PollConfiguration(revision, [](Result<std::optional<StoredConfiguration>> news) { ...
//   });
//
// Used by one thread. Callbacks run once, on its event loop, never from within the call. Calls that
// get no answer end with kTimeout.
#ifndef VERBENARIDGE_DIRECTORY_DIRECTORY_STORE_H_
#define VERBENARIDGE_DIRECTORY_DIRECTORY_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "verbenaridge/base/result.h"
#include "verbenaridge/directory/configuration.h"
#include "verbenaridge/directory/endpoint_table.h"

namespace verbenaridge::directory {

struct StoredConfiguration {
  std::uint64_t revision = 0;  // of the store, at which the value was current
  std::shared_ptr<const Configuration> configuration;
  std::string document;  // as the store holds it, for hosts that the store turns away
};

struct StoredEndpoints {
  std::vector<Endpoint> endpoints;
  std::size_t malformed = 0;  // entries that name no endpoint
};

class DirectoryStore {
 public:
  virtual ~DirectoryStore() = default;

  // Errors: kNotFound if there is none yet; kMalformed; kUnavailable; kTimeout.
  virtual void ReadConfiguration(std::function<void(Result<StoredConfiguration>)> done) = 0;

  // What came after the revision, or nothing. Errors as above, and kConflict if the store has
  // forgotten that part of its history: then the configuration is read anew.
  virtual void PollConfiguration(
      std::uint64_t revision,
      std::function<void(Result<std::optional<StoredConfiguration>>)> done) = 0;

  virtual void ReadEndpoints(std::function<void(Result<StoredEndpoints>)> done) = 0;

  // A document that a peer read. Errors: kMalformed.
  virtual Result<std::shared_ptr<const Configuration>> Decode(std::string_view document) const = 0;
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_DIRECTORY_STORE_H_
