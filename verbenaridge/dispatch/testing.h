// Engine timing shared by the tests of this package.
#ifndef VERBENARIDGE_DISPATCH_TESTING_H_
#define VERBENARIDGE_DISPATCH_TESTING_H_

#include "verbenaridge/base/clock.h"
#include "verbenaridge/directory/configuration.h"

namespace verbenaridge::dispatch::testing {

// An engine as deployed at the users' sites.
inline directory::EngineTiming SiteTiming() {
  return {.slots = 16,
          .kv_tokens = 232'000,
          .stride = 43,
          .step = FromSeconds(0.00102),
          .step_per_sequence = FromSeconds(0.00000226),
          .context_seconds_per_token = 0.00000431 / 1000,
          .prefill_tokens_per_second = 206'000,
          .attention_seconds_per_pair = 0.000138 / 1e6,
          .prefill_chunk_tokens = 2048};
}

}  // namespace verbenaridge::dispatch::testing

#endif  // VERBENARIDGE_DISPATCH_TESTING_H_
