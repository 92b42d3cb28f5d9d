#include "verbenaridge/wire/handshake.h"

#include <optional>
#include <utility>

#include "verbenaridge/wire/internal/crypto.h"

namespace verbenaridge::wire {
namespace {

using internal::EqualConstantTime;
using internal::HmacSha256;

constexpr std::string_view kHelloMagic = "VRH1";
constexpr std::string_view kReplyMagic = "VRS1";
constexpr std::string_view kRefusal = "VRN1";
constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kKeyIdBytes = 8;
constexpr std::size_t kMaxKeys = 2;
constexpr std::size_t kMaxHostIdBytes = 255;

std::string ServerProof(std::string_view secret, std::string_view hello, std::string_view reply) {
  return HmacSha256(secret, {"verbenaridge server proof", hello, reply});
}

std::string ClientProof(std::string_view secret, std::string_view hello, std::string_view reply) {
  return HmacSha256(secret, {"verbenaridge client proof", hello, reply});
}

void AppendHost(std::string& out, std::string_view host) {
  const std::string_view bounded = host.substr(0, kMaxHostIdBytes);
  out.push_back(static_cast<char>(bounded.size()));
  out.append(bounded);
}

// Takes fields off the front of a message.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}

  std::optional<std::string_view> Take(std::size_t count) {
    if (rest_.size() < count) return std::nullopt;
    const std::string_view field = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return field;
  }

  std::optional<std::size_t> TakeLength() {
    const auto byte = Take(1);
    if (!byte) return std::nullopt;
    return static_cast<unsigned char>(byte->front());
  }

  std::optional<std::string_view> TakeHost() {
    const auto length = TakeLength();
    if (!length || *length == 0) return std::nullopt;
    return Take(*length);
  }

  bool Skip(std::string_view expected) { return Take(expected.size()) == expected; }
  bool done() const { return rest_.empty(); }
  std::size_t remaining() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

struct ParsedHello {
  std::vector<std::string_view> key_ids;
  std::string_view host;
};

std::optional<ParsedHello> ParseHello(std::string_view hello) {
  Reader reader(hello);
  if (!reader.Skip(kHelloMagic) || !reader.Take(kNonceBytes)) return std::nullopt;
  const auto count = reader.TakeLength();
  if (!count || *count == 0 || *count > kMaxKeys) return std::nullopt;
  ParsedHello parsed;
  for (std::size_t i = 0; i < *count; ++i) {
    const auto id = reader.Take(kKeyIdBytes);
    if (!id) return std::nullopt;
    parsed.key_ids.push_back(*id);
  }
  const auto host = reader.TakeHost();
  if (!host || !reader.done()) return std::nullopt;
  parsed.host = *host;
  return parsed;
}

}  // namespace

Result<FleetKeys> FleetKeys::Create(std::vector<std::string> keys) {
  if (keys.empty() || keys.size() > kMaxKeys) return Errc::kInvalidArgument;
  if (keys.size() == kMaxKeys && keys[0] == keys[1]) return Errc::kInvalidArgument;
  FleetKeys result;
  for (std::string& secret : keys) {
    if (secret.size() < kMinKeyBytes) return Errc::kInvalidArgument;
    std::string id = HmacSha256(secret, {"verbenaridge key id"}).substr(0, kKeyIdBytes);
    result.keys_.push_back({.id = std::move(id), .secret = std::move(secret)});
  }
  return result;
}

const FleetKeys::Key* FleetKeys::Find(std::string_view id) const {
  for (const Key& key : keys_) {
    if (key.id == id) return &key;
  }
  return nullptr;
}

ClientHandshake::ClientHandshake(const FleetKeys& keys, const HostId& self) : keys_(keys) {
  hello_.append(kHelloMagic).append(internal::RandomBytes(kNonceBytes));
  hello_.push_back(static_cast<char>(keys_.keys().size()));
  for (const FleetKeys::Key& key : keys_.keys()) hello_.append(key.id);
  AppendHost(hello_, self.value());
}

Result<std::string> ClientHandshake::OnServerHello(std::string_view reply) {
  if (reply == kRefusal) return Errc::kPermissionDenied;
  Reader reader(reply);
  if (!reader.Skip(kReplyMagic) || !reader.Take(kNonceBytes)) return Errc::kMalformed;
  const auto key_id = reader.Take(kKeyIdBytes);
  const auto host = reader.TakeHost();
  if (!key_id || !host || reader.remaining() != internal::kMacBytes) return Errc::kMalformed;
  const std::string_view signed_part = reply.substr(0, reply.size() - internal::kMacBytes);
  const FleetKeys::Key* key = keys_.Find(*key_id);
  if (key == nullptr) return Errc::kPermissionDenied;
  const std::string expected = ServerProof(key->secret, hello_, signed_part);
  if (!EqualConstantTime(*reader.Take(internal::kMacBytes), expected)) {
    return Errc::kPermissionDenied;
  }
  peer_ = HostId(std::string(*host));
  return ClientProof(key->secret, hello_, signed_part);
}

ServerHandshake::ServerHandshake(const FleetKeys& keys, HostId self)
    : keys_(keys), self_(std::move(self)) {}

Result<std::string> ServerHandshake::OnHello(std::string_view hello) {
  const auto parsed = ParseHello(hello);
  if (greeted_ || !parsed) return Errc::kMalformed;
  greeted_ = true;
  const FleetKeys::Key* key = nullptr;
  for (const std::string_view id : parsed->key_ids) {
    if (key == nullptr) key = keys_.Find(id);
  }
  if (key == nullptr) {
    refused_ = true;
    return std::string(kRefusal);
  }
  std::string reply;
  reply.append(kReplyMagic).append(internal::RandomBytes(kNonceBytes)).append(key->id);
  AppendHost(reply, self_.value());
  expected_proof_ = ClientProof(key->secret, hello, reply);
  claimed_peer_ = HostId(std::string(parsed->host));
  reply.append(ServerProof(key->secret, hello, reply));
  return reply;
}

Status ServerHandshake::OnProof(std::string_view proof) {
  const std::string expected = std::exchange(expected_proof_, {});
  if (expected.empty() || !EqualConstantTime(proof, expected)) return Errc::kPermissionDenied;
  peer_ = claimed_peer_;
  return Ok();
}

}  // namespace verbenaridge::wire
