// Measures the encoded sizes of plan documents and deltas, and the time to decode and apply them.
#include <cstdio>
#include <ctime>
#include <string>

#include "verbenaridge/plan_codec/key_hash.h"
#include "verbenaridge/plan_codec/plan_codec.h"

namespace verbenaridge::plan_codec {
namespace {

// A document with `accounts` client accounts of two keys each, and one plan per 20 accounts.
plans::PlanDocument MakeDocument(std::size_t accounts) {
  plans::PlanDocument document;
  for (std::size_t i = 0; i * 20 < accounts; ++i) {
    plans::Plan plan{.id = PlanId("plan-" + std::to_string(i)),
                     .models = {},
                     .services = {},
                     .priorities = {Priority::kUrgent, Priority::kStandard},
                     .requests_per_second = 20,
                     .tokens_per_second = 50'000,
                     .concurrent_cost_seconds = 120,
                     .max_prompt_tokens = 1'000'000};
    for (int model = 0; model < 6; ++model) {
      plan.models.emplace_back("model-" + std::to_string(model));
    }
    plan.services.push_back({ServiceId("stock"), {"lookup", "order"}});
    document.plans.push_back(plan);
  }
  for (std::size_t i = 0; i < accounts; ++i) {
    const std::string name = "client-account-" + std::to_string(i);
    document.accounts.push_back({.client_account = ClientAccountId(name),
                                 .plan = PlanId("plan-" + std::to_string(i / 20)),
                                 .key_hashes = {HashBearerKey(name), HashBearerKey(name + "b")}});
  }
  for (std::size_t i = 0; i <= plans::kMaxHistory; ++i) {
    document = plans::MakeSuccessor(document, document, {0, "1234567890123456789", "operator", 1});
  }
  return document;
}

template <class Action>
double MicrosecondsOf(Action action) {
  constexpr int kRounds = 20;
  const std::clock_t start = std::clock();
  for (int i = 0; i < kRounds; ++i) action();
  return static_cast<double>(std::clock() - start) * 1e6 / CLOCKS_PER_SEC / kRounds;
}

void Measure(std::size_t accounts) {
  const plans::PlanDocument before = MakeDocument(accounts);
  plans::PlanDocument edited = before;
  edited.accounts[0].weight = 2;
  const auto after = plans::MakeSuccessor(before, edited, {0, "9876543210", "operator", 2});
  const std::string document = EncodeDocument(after);
  const std::string delta = EncodeDelta(plans::ComputeDelta(before, after));
  const double decode = MicrosecondsOf([&] { DecodeDocument(document); });
  const double apply =
      MicrosecondsOf([&] { plans::ApplyDelta(before, *DecodeDelta(delta).value).value(); });
  const double compute = MicrosecondsOf([&] { plans::ComputeDelta(before, after); });
  std::printf("%zu,%zu,%zu,%.0f,%.0f,%.0f\n", accounts, document.size(), delta.size(), decode,
              compute, apply);
}

}  // namespace
}  // namespace verbenaridge::plan_codec

int main() {
  std::puts("accounts,document_bytes,delta_bytes,decode_us,compute_delta_us,apply_delta_us");
  for (const std::size_t accounts : {10, 100, 1300, 2500}) {
    verbenaridge::plan_codec::Measure(accounts);
  }
  return 0;
}
