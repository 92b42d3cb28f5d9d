#include "verbenaridge/claim_codec/claim_codec.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <msgpack.hpp>
#include <utility>

namespace verbenaridge::claim_codec {
namespace {

using claims::BucketRecord;
using claims::ClaimKey;
using claims::ClaimRecord;
using claims::RecordState;

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::uint32_t kFieldsPerRecord = 13;
constexpr std::size_t kMaxRecords = 100'000;
constexpr std::size_t kMaxDepth = 3;

std::int64_t ToUnixMilliseconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

void PackRecord(msgpack::packer<msgpack::sbuffer>& packer, const ClaimKey& key,
                const ClaimRecord& record) {
  packer.pack_array(kFieldsPerRecord);
  packer.pack(key.client_account.value());
  packer.pack(key.service.value());
  packer.pack(key.operation);
  packer.pack(key.idempotency_key);
  packer.pack(record.fingerprint);
  packer.pack(record.holder.host.value());
  packer.pack(record.holder.incarnation);
  packer.pack(record.holder.sequence);
  packer.pack(ToUnixMilliseconds(record.expiry));
  packer.pack(static_cast<std::uint8_t>(record.state));
  packer.pack(record.result.status);
  packer.pack(record.result.content_type);
  if (record.result.body_omitted) {
    packer.pack_nil();
  } else {
    packer.pack(record.result.body);
  }
}

// Reads the fields of one record in order. Throws msgpack::type_error on a type mismatch.
class FieldReader {
 public:
  explicit FieldReader(const msgpack::object& record) {
    if (record.type != msgpack::type::ARRAY || record.via.array.size != kFieldsPerRecord) {
      throw msgpack::type_error();
    }
    next_ = record.via.array.ptr;
  }

  template <class T>
  T Next() {
    return (next_++)->as<T>();
  }

  bool NextIsNil() {
    if (!next_->is_nil()) return false;
    ++next_;
    return true;
  }

 private:
  const msgpack::object* next_ = nullptr;
};

std::pair<ClaimKey, ClaimRecord> UnpackRecord(const msgpack::object& object) {
  // Later times overflow a 64-bit count of nanoseconds.
  constexpr std::int64_t kMaxUnixMilliseconds = 9'000'000'000'000;
  FieldReader fields(object);
  ClaimKey key;
  ClaimRecord record;
  key.client_account = ClientAccountId(fields.Next<std::string>());
  key.service = ServiceId(fields.Next<std::string>());
  key.operation = fields.Next<std::string>();
  key.idempotency_key = fields.Next<std::string>();
  record.fingerprint = fields.Next<std::uint64_t>();
  record.holder.host = HostId(fields.Next<std::string>());
  record.holder.incarnation = fields.Next<std::uint64_t>();
  record.holder.sequence = fields.Next<std::uint64_t>();
  const auto expiry = fields.Next<std::int64_t>();
  if (expiry < 0 || expiry > kMaxUnixMilliseconds) throw msgpack::type_error();
  record.expiry = WallTime(std::chrono::milliseconds(expiry));
  const auto state = fields.Next<std::uint8_t>();
  if (state > static_cast<std::uint8_t>(RecordState::kUnknown)) throw msgpack::type_error();
  record.state = static_cast<RecordState>(state);
  record.result.status = fields.Next<int>();
  record.result.content_type = fields.Next<std::string>();
  record.result.body_omitted = fields.NextIsNil();
  if (!record.result.body_omitted) record.result.body = fields.Next<std::string>();
  return {std::move(key), std::move(record)};
}

BucketRecord UnpackBucket(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
    throw msgpack::type_error();
  }
  const msgpack::object* const items = object.via.array.ptr;
  if (items[0].as<std::uint64_t>() != kFormatVersion) throw msgpack::type_error();
  BucketRecord bucket;
  for (std::uint32_t i = 1; i < object.via.array.size; ++i) {
    if (!bucket.records.insert(UnpackRecord(items[i])).second) throw msgpack::type_error();
  }
  return bucket;
}

}  // namespace

std::string StoreKey(claims::BucketIndex bucket) { return fmt::format("claims/{:03}", bucket); }

std::string EncodeBucket(const BucketRecord& bucket) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(static_cast<std::uint32_t>(bucket.records.size()) + 1);
  packer.pack(kFormatVersion);
  for (const auto& [key, record] : bucket.records) PackRecord(packer, key, record);
  return {buffer.data(), buffer.size()};
}

Result<BucketRecord> DecodeBucket(std::string_view value) {
  if (value.empty()) return BucketRecord{};
  const msgpack::unpack_limit limit(kMaxRecords + 1, 0, value.size(), value.size(), 0, kMaxDepth);
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(value.data(), value.size(), offset, nullptr, nullptr, limit);
    if (offset != value.size()) return Errc::kMalformed;
    return UnpackBucket(handle.get());
  } catch (const msgpack::unpack_error&) {
    return Errc::kMalformed;
  } catch (const msgpack::type_error&) {
    return Errc::kMalformed;
  }
}

}  // namespace verbenaridge::claim_codec
