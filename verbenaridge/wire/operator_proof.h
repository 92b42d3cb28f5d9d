// Proof that an operator's order was made with an operator key.
//
//   order.operator_proof = MakeOperatorProof(key, OrderText(order), clock);
//   OperatorProofChecker checker({key}, clock);
//   Status allowed = checker.Check(OrderText(order), order.operator_proof);
//
// A proof is "v1:TIME:NONCE:HMAC" in text, with the time in Unix milliseconds and the HMAC-SHA256
// over time, nonce and order in hexadecimal. A checker accepts a proof for kOperatorProofLifetime
// and once. Each daemon has its own checker, so within that time a recorded order can be replayed
// to a daemon that has not seen it.
#ifndef VERBENARIDGE_WIRE_OPERATOR_PROOF_H_
#define VERBENARIDGE_WIRE_OPERATOR_PROOF_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::wire {

// Long enough for an order to be forwarded and for clocks that differ by the skew bound of 5 s.
inline constexpr Duration kOperatorProofLifetime = std::chrono::seconds(60);

// The part of the order that the proof covers: everything but the proof.
std::string OrderText(const DrainRequest& order);

std::string MakeOperatorProof(std::string_view key, std::string_view order, const Clock& clock);

// Not thread-safe.
class OperatorProofChecker {
 public:
  // Two keys may be listed during a rotation; without keys every order is refused.
  OperatorProofChecker(std::vector<std::string> keys, const Clock& clock);

  // Errors: kMalformed; kPermissionDenied for a wrong proof; kTimeout outside the lifetime;
  // kConflict for a proof that was accepted before; kResourceExhausted above kMaxRemembered orders
  // within the lifetime.
  Status Check(std::string_view order, std::string_view proof);

  static constexpr std::size_t kMaxRemembered = 10000;

 private:
  std::vector<std::string> keys_;
  const Clock& clock_;
  std::map<std::string, WallTime, std::less<>> accepted_;  // proof and time made
};

}  // namespace verbenaridge::wire

#endif  // VERBENARIDGE_WIRE_OPERATOR_PROOF_H_
