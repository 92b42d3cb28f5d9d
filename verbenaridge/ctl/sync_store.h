// A blocking view of the store for the command-line tool, which does one thing at a time.
//
//   SyncStore store(io_context, key_value_store);
//   Result<platform::StoredValue> value = store.Read("plans/current");
#ifndef VERBENARIDGE_CTL_SYNC_STORE_H_
#define VERBENARIDGE_CTL_SYNC_STORE_H_

#include <asio/io_context.hpp>
#include <string_view>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/platform/key_value_store.h"

namespace verbenaridge::ctl {

// Each call runs the loop until its answer is there.
class SyncStore {
 public:
  SyncStore(asio::io_context& io_context, platform::KeyValueStore& store)
      : io_context_(io_context), store_(store) {}

  Result<platform::StoredValue> Read(std::string_view key);
  Result<platform::KeyVersion> CompareAndSwap(std::string_view key, platform::KeyVersion expected,
                                              std::string_view value);

  // Runs the loop for this time.
  void Wait(Duration time);

 private:
  asio::io_context& io_context_;
  platform::KeyValueStore& store_;
};

}  // namespace verbenaridge::ctl

#endif  // VERBENARIDGE_CTL_SYNC_STORE_H_
