// Guards against text from the store or a peer that crashes a decoder, and against documents and
// deltas that do not survive a round trip.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "verbenaridge/plan_codec/plan_codec.h"

using verbenaridge::plan_codec::DecodeCatalogue;
using verbenaridge::plan_codec::DecodeConfirmed;
using verbenaridge::plan_codec::DecodeDelta;
using verbenaridge::plan_codec::DecodeDocument;
using verbenaridge::plan_codec::EncodeDelta;
using verbenaridge::plan_codec::EncodeDocument;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  DecodeConfirmed(text);
  DecodeCatalogue(text);
  const auto document = DecodeDocument(text);
  if (document.value.has_value() == !document.problems.empty()) std::abort();
  if (document.value) {
    verbenaridge::plans::CheckDocument(*document.value, nullptr);
    if (DecodeDocument(EncodeDocument(*document.value)).value != document.value) std::abort();
  }
  const auto delta = DecodeDelta(text);
  if (delta.value && DecodeDelta(EncodeDelta(*delta.value)).value != delta.value) std::abort();
  return 0;
}
