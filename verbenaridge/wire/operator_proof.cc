#include "verbenaridge/wire/operator_proof.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "verbenaridge/wire/internal/crypto.h"

namespace verbenaridge::wire {
namespace {

constexpr std::string_view kVersion = "v1";
constexpr std::size_t kNonceBytes = 8;

std::string ProofMac(std::string_view key, std::string_view time, std::string_view nonce,
                     std::string_view order) {
  return internal::ToHex(
      internal::HmacSha256(key, {"verbenaridge operator order", time, nonce, order}));
}

struct ParsedProof {
  std::string_view time;
  std::string_view nonce;
  std::string_view mac;
  WallTime made;
};

std::optional<ParsedProof> Parse(std::string_view proof) {
  std::array<std::string_view, 4> parts;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const std::size_t end = i + 1 < parts.size() ? proof.find(':') : proof.size();
    if (end == std::string_view::npos) return std::nullopt;
    parts[i] = proof.substr(0, end);
    proof.remove_prefix(std::min(end + 1, proof.size()));
  }
  const auto [version, time, nonce, mac] = parts;
  std::int64_t milliseconds = 0;
  const char* end = time.data() + time.size();
  const auto [parsed_end, error] = std::from_chars(time.data(), end, milliseconds);
  // 13 digits last beyond the year 2200 and do not overflow nanoseconds.
  if (version != kVersion || error != std::errc() || parsed_end != end || time.size() > 13 ||
      nonce.size() != 2 * kNonceBytes || mac.size() != 2 * internal::kMacBytes) {
    return std::nullopt;
  }
  return ParsedProof{time, nonce, mac, WallTime(std::chrono::milliseconds(milliseconds))};
}

}  // namespace

std::string OrderText(const DrainRequest& order) {
  std::string text = order.undo ? "undo_drain" : "drain";
  text.append(order.is_endpoint ? ":endpoint:" : ":host:").append(order.target);
  return text;
}

std::string MakeOperatorProof(std::string_view key, std::string_view order, const Clock& clock) {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(clock.WallNow());
  const std::string time = std::to_string(now.time_since_epoch().count());
  const std::string nonce = internal::ToHex(internal::RandomBytes(kNonceBytes));
  std::string proof(kVersion);
  proof.append(":").append(time).append(":").append(nonce).append(":");
  return proof.append(ProofMac(key, time, nonce, order));
}

OperatorProofChecker::OperatorProofChecker(std::vector<std::string> keys, const Clock& clock)
    : keys_(std::move(keys)), clock_(clock) {}

Status OperatorProofChecker::Check(std::string_view order, std::string_view proof) {
  const std::optional<ParsedProof> parsed = Parse(proof);
  if (!parsed) return Errc::kMalformed;
  bool proved = false;
  for (const std::string& key : keys_) {
    const std::string expected = ProofMac(key, parsed->time, parsed->nonce, order);
    if (!key.empty() && internal::EqualConstantTime(parsed->mac, expected)) proved = true;
  }
  if (!proved) return Errc::kPermissionDenied;
  const WallTime now = clock_.WallNow();
  const auto is_old = [now](WallTime made) {
    return now - made > kOperatorProofLifetime || made - now > kOperatorProofLifetime;
  };
  if (is_old(parsed->made)) return Errc::kTimeout;
  std::erase_if(accepted_, [&](const auto& entry) { return is_old(entry.second); });
  if (accepted_.size() >= kMaxRemembered) return Errc::kResourceExhausted;
  if (!accepted_.try_emplace(std::string(proof), parsed->made).second) return Errc::kConflict;
  return Ok();
}

}  // namespace verbenaridge::wire
