#include "verbenaridge/base/compression.h"

#include <doctest/doctest.h>

#include <optional>
#include <ostream>

namespace verbenaridge {
namespace {

// Guards against texts that change on their way, broken ones that are taken for whole, and a peer
// that fills the memory with a small message.
TEST_CASE("a text is the same after its way") {
  struct Row {
    const char* name;
    std::string text;
    std::size_t most;
    std::size_t cut;   // bytes missing at the end
    std::string more;  // behind it
    std::optional<Errc> error;
  };
  const std::string zeros(1'000'000, '0');
  const Row rows[] = {
      {"empty", "", 10, 0, "", {}},
      {"short", "abc", 10, 0, "", {}},
      {"at the bound", "0123456789", 10, 0, "", {}},
      {"large", zeros, 1'000'000, 0, "", {}},
      {"over the bound", "0123456789", 9, 0, "", Errc::kResourceExhausted},
      {"far over the bound", zeros, 1'000, 0, "", Errc::kResourceExhausted},
      {"cut off", "abcdefgh", 10, 3, "", Errc::kMalformed},
      {"nothing left", "abc", 10, 11, "", Errc::kMalformed},
      {"more behind it", "abc", 10, 0, "x", Errc::kMalformed},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::string packed = Compress(row.text);
    REQUIRE(packed.size() >= row.cut);
    packed.resize(packed.size() - row.cut);
    const Result<std::string> text = Decompress(packed + row.more, row.most);
    REQUIRE(text.has_error() == row.error.has_value());
    if (row.error) {
      CHECK(text.error() == *row.error);
    } else {
      CHECK(text.value() == row.text);
    }
  }
  CHECK(Compress(zeros).size() < zeros.size() / 100);
  CHECK(Decompress("no zlib", 100).error() == Errc::kMalformed);
}

}  // namespace
}  // namespace verbenaridge
