#include "verbenaridge/plan_codec/plan_codec.h"

#include <doctest/doctest.h>

#include <string>

#include "verbenaridge/plan_codec/key_hash.h"

namespace verbenaridge::plan_codec {
namespace {

const std::string kPlan = R"({"id": "small", "models": ["m1"], "services": [{"service": "stock",
  "operations": ["lookup"]}], "priorities": ["urgent"], "requests_per_second": 1.5,
  "tokens_per_second": 100, "concurrent_cost_seconds": 5, "max_prompt_tokens": 8000})";
const std::string kAccount = R"({"client_account": "biei", "plan": "small", "key_hashes": ["ab"],
  "weight": 2, "default_priority": "urgent", "default_deadline_ms": 30000})";

std::string Document(const std::string& account, const std::string& plan) {
  return R"({"client_accounts": [)" + account + R"(], "plans": [)" + plan + "]}";
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// Guards against errors without the path of the field, and against misspelt fields that are
// ignored.
TEST_CASE("each problem has the JSON pointer of its field") {
  struct Row {
    std::string name;
    std::string text;
    std::string path;
  };
  const Row rows[] = {
      {"not JSON", "{", ""},
      {"not an object", "[]", ""},
      {"too deep", std::string(40, '[') + std::string(40, ']'), ""},
      {"invalid UTF-8", Document(Replaced(kAccount, "biei", "\xff"), kPlan), ""},
      {"missing list", R"({"plans": []})", "/client_accounts"},
      {"list of another type", R"({"plans": [], "client_accounts": {}})", "/client_accounts"},
      {"misspelt field", Document(kAccount, Replaced(kPlan, "tokens_per", "token_per")),
       "/plans/0/tokens_per_second"},
      {"extra field", Document(Replaced(kAccount, "{", R"({"note": 1, )"), kPlan),
       "/client_accounts/0/note"},
      {"number as string", Document(kAccount, Replaced(kPlan, "1.5", "\"1.5\"")),
       "/plans/0/requests_per_second"},
      {"negative number", Document(kAccount, Replaced(kPlan, "8000", "-1")),
       "/plans/0/max_prompt_tokens"},
      {"fraction", Document(kAccount, Replaced(kPlan, "8000", "1.5")),
       "/plans/0/max_prompt_tokens"},
      {"unknown priority", Document(kAccount, Replaced(kPlan, "urgent", "Urgent")),
       "/plans/0/priorities/0"},
      {"default priority of another type", Document(Replaced(kAccount, "\"urgent\"", "3"), kPlan),
       "/client_accounts/0/default_priority"},
      {"deadline out of range", Document(Replaced(kAccount, "30000", "9007199254740991"), kPlan),
       "/client_accounts/0/default_deadline_ms"},
      {"operation of another type", Document(kAccount, Replaced(kPlan, "\"lookup\"", "7")),
       "/plans/0/services/0/operations/0"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto decoded = DecodeDocument(row.text);
    CHECK_FALSE(decoded.value.has_value());
    REQUIRE_FALSE(decoded.problems.empty());
    CHECK(decoded.problems[0].path == row.path);
  }
}

// Guards against a field that is lost in the store or in a delta.
TEST_CASE("documents, deltas and confirmed versions survive a round trip") {
  const auto decoded = DecodeDocument(Document(kAccount, kPlan));
  REQUIRE(decoded.value.has_value());
  const auto& first = *decoded.value;
  CHECK(first.accounts[0].default_deadline == std::chrono::seconds(30));
  CHECK(first.plans[0].requests_per_second == 1.5);
  const auto second = plans::MakeSuccessor(first, first, {0, "edit-1", "operator", 12345});
  CHECK(DecodeDocument(EncodeDocument(second)).value == second);
  CHECK(DecodeDocument(EncodeDocument(second, Layout::kIndented)).value == second);
  auto edited = second;
  edited.accounts.clear();
  edited.plans[0].models.clear();
  const auto third = plans::MakeSuccessor(second, edited, {0, "edit-2", "operator", 12346});
  const auto delta = plans::ComputeDelta(second, third);
  CHECK(DecodeDelta(EncodeDelta(delta)).value == delta);
  CHECK(DecodeConfirmed(EncodeConfirmed(17)) == 17);
  CHECK_FALSE(DecodeConfirmed("{}").has_value());
  const auto catalogue = DecodeCatalogue(R"({"models": ["m1"], "services": {"stock": ["order"]}})");
  REQUIRE(catalogue.value.has_value());
  CHECK(catalogue.value->services.at(ServiceId("stock")).contains("order"));
  CHECK(DecodeCatalogue(R"({"models": [], "services": {"s": 1}})").problems[0].path ==
        "/services/s");
}

// Guards against a changed hash, with which no key of a caller would match. Test vector: FIPS
// 180-2.
TEST_CASE("a key hash is SHA-256 in lower-case hex") {
  CHECK(HashBearerKey("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace verbenaridge::plan_codec
