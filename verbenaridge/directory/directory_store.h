// Interface to the store that holds configuration and endpoints, implemented by each platform
// adapter.
//
//   store.ReadConfiguration([](Result<StoredConfiguration> stored) { ... });
//   store.PollConfiguration(position, [](Result<ConfigurationNews> news) { ... });
//
// Used by one thread. Each callback runs exactly once, on the event loop of that thread, and never
// from within the call. A call that gets no response ends with kTimeout.
#ifndef VERBENARIDGE_DIRECTORY_DIRECTORY_STORE_H_
#define VERBENARIDGE_DIRECTORY_DIRECTORY_STORE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "verbenaridge/base/result.h"
#include "verbenaridge/directory/configuration.h"
#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/directory/evacuations.h"
#include "verbenaridge/directory/store_position.h"

namespace verbenaridge::directory {

struct StoredConfiguration {
  StorePosition position;  // at which the value was current
  std::shared_ptr<const Configuration> configuration;
  std::string document;  // as stored; passed to hosts that the store rejects
};

// What was stored after a position.
struct ConfigurationNews {
  StorePosition position;                     // from which the next poll continues
  std::optional<StoredConfiguration> newest;  // none: the configuration is unchanged
  std::vector<EvacuationChange> evacuations;  // in their order
  bool complete = true;                       // no later change is left out
};

struct StoredEndpoints {
  // The list has all changes up to here, and perhaps later ones. A revision of 0: not known.
  StorePosition position;
  std::vector<Endpoint> endpoints;
  std::size_t malformed = 0;  // entries that could not be decoded
};

class DirectoryStore {
 public:
  virtual ~DirectoryStore() = default;

  // Errors: kNotFound if no configuration is stored yet; kMalformed; kUnavailable; kTimeout.
  virtual void ReadConfiguration(std::function<void(Result<StoredConfiguration>)> done) = 0;

  // Returns what was stored after `position`. Errors are those of ReadConfiguration, kConflict if
  // the store no longer has its history since `position` or is in another era, and kTooLarge if
  // that history is too large. The caller then uses ReadConfiguration, as it does if the news are
  // not complete.
  virtual void PollConfiguration(const StorePosition& position,
                                 std::function<void(Result<ConfigurationNews>)> done) = 0;

  // All data centres that are to be evacuated. The position is one from which PollConfiguration
  // misses no change. Errors: also kConflict if the store was restored during the read.
  virtual void ReadEvacuations(std::function<void(Result<EvacuationView>)> done) = 0;

  // Errors: also kConflict if the store was restored during the read.
  virtual void ReadEndpoints(std::function<void(Result<StoredEndpoints>)> done) = 0;

  // Decodes a document that a peer read from the store. Errors: kMalformed.
  virtual Result<std::shared_ptr<const Configuration>> Decode(std::string_view document) const = 0;
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_DIRECTORY_STORE_H_
