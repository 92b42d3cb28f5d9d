#include <cstdint>
#include <cstdlib>

#include "verbenaridge/claim_codec/claim_codec.h"

// Guards against input that crashes the decoder, or that decodes to a bucket which does not survive
// a round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace verbenaridge::claim_codec;  // NOLINT(google-build-using-namespace)
  const auto bucket = DecodeBucket({reinterpret_cast<const char*>(data), size});
  if (bucket.has_error()) return 0;
  const auto again = DecodeBucket(EncodeBucket(bucket.value()));
  if (again.has_error() || again.value() != bucket.value()) std::abort();
  return 0;
}
