// A blocking view of the store for the command-line tool, which does one thing at a time.
//
//   LoopStore store(io_context, key_value_store);
//   Result<store::StoredValue> value = store.Read("plans/current");
#ifndef VERBENARIDGE_CTL_BLOCKING_STORE_H_
#define VERBENARIDGE_CTL_BLOCKING_STORE_H_

#include <asio/io_context.hpp>
#include <string_view>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/store/key_value_store.h"

namespace verbenaridge::ctl {

class BlockingStore {
 public:
  virtual ~BlockingStore() = default;

  // Errors as for store::KeyValueStore.
  virtual Result<store::StoredValue> Read(std::string_view key) = 0;
  virtual Result<store::KeyVersion> CompareAndSwap(std::string_view key, store::KeyVersion expected,
                                                   std::string_view value) = 0;

  virtual void Wait(Duration time) = 0;
};

// Each call runs the loop until its answer is there.
class LoopStore final : public BlockingStore {
 public:
  LoopStore(asio::io_context& io_context, store::KeyValueStore& store)
      : io_context_(io_context), store_(store) {}

  Result<store::StoredValue> Read(std::string_view key) override;
  Result<store::KeyVersion> CompareAndSwap(std::string_view key, store::KeyVersion expected,
                                           std::string_view value) override;
  void Wait(Duration time) override;

 private:
  asio::io_context& io_context_;
  store::KeyValueStore& store_;
};

}  // namespace verbenaridge::ctl

#endif  // VERBENARIDGE_CTL_BLOCKING_STORE_H_
