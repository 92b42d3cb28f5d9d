#include "verbenaridge/wire/codec.h"

#include <cmath>
#include <limits>
#include <msgpack.hpp>
#include <span>
#include <type_traits>
#include <utility>

#include "verbenaridge/wire/internal/message_fields.h"

namespace verbenaridge::wire {
namespace {

// First tag of each kind; the tag is this plus the index in the variant, so variants only grow.
constexpr std::uint64_t kRequestTags = 0;
constexpr std::uint64_t kReplyTags = 64;
constexpr std::uint64_t kDatagramTags = 96;

class StringStream {
 public:
  explicit StringStream(std::string& out) : out_(out) {}
  void write(const char* data, std::size_t size) { out_.append(data, size); }

 private:
  std::string& out_;
};

using Packer = msgpack::packer<StringStream>;

template <class T>
concept Structure = requires(T& value) {
  internal::Fields(value);
};

void Pack(Packer& packer, bool value) { value ? packer.pack_true() : packer.pack_false(); }
void Pack(Packer& packer, double value) { packer.pack_double(value); }
void Pack(Packer& packer, Duration value) { packer.pack_int64(value.count()); }

void Pack(Packer& packer, std::string_view value) {
  packer.pack_str(static_cast<std::uint32_t>(value.size()));
  packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
}

template <class Tag>
void Pack(Packer& packer, const StringId<Tag>& value) {
  const std::string_view text = value.value();
  Pack(packer, text);
}

template <class T>
requires(std::is_integral_v<T> && !std::is_same_v<T, bool>) void Pack(Packer& packer, T value) {
  if constexpr (std::is_signed_v<T>) {
    packer.pack_int64(value);
  } else {
    packer.pack_uint64(value);
  }
}

template <class T>
requires std::is_enum_v<T>
void Pack(Packer& packer, T value) { packer.pack_uint8(static_cast<std::uint8_t>(value)); }

template <Structure T>
void Pack(Packer& packer, const T& value);

template <class T>
void Pack(Packer& packer, const std::vector<T>& values) {
  packer.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const T& value : values) Pack(packer, value);
}

template <class T>
void PackFields(Packer& packer, const T& value) {
  std::apply([&packer](const auto&... field) { (Pack(packer, field), ...); },
             internal::Fields(value));
}

template <class T>
constexpr std::uint32_t FieldCount() {
  return std::tuple_size_v<decltype(internal::Fields(std::declval<T&>()))>;
}

template <Structure T>
void Pack(Packer& packer, const T& value) {
  packer.pack_array(FieldCount<T>());
  PackFields(packer, value);
}

template <class Variant>
std::string EncodeVariant(const Variant& message, std::uint64_t first_tag) {
  std::string bytes;
  StringStream stream(bytes);
  Packer packer(stream);
  std::visit(
      [&](const auto& body) {
        packer.pack_array(1 + FieldCount<std::remove_cvref_t<decltype(body)>>());
        packer.pack_uint64(first_tag + message.index());
        PackFields(packer, body);
      },
      message);
  return bytes;
}

// Walks over the input without building objects, so that hostile sizes cost no memory.
class LimitChecker : public msgpack::null_visitor {
 public:
  bool start_array(std::uint32_t count) { return Open(count); }
  bool start_map(std::uint32_t count) { return Open(std::uint64_t{2} * count); }
  bool end_array() { return Close(); }
  bool end_map() { return Close(); }

  bool too_large() const { return too_large_; }

 private:
  bool Open(std::uint64_t count) {
    elements_ += count;
    ++depth_;
    too_large_ = elements_ > kMaxMessageElements || depth_ > kMaxMessageDepth;
    return !too_large_;
  }

  bool Close() {
    --depth_;
    return true;
  }

  std::uint64_t elements_ = 0;
  std::size_t depth_ = 0;
  bool too_large_ = false;
};

Status CheckLimits(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) return Errc::kTooLarge;
  LimitChecker checker;
  std::size_t offset = 0;
  const bool complete = msgpack::parse(bytes.data(), bytes.size(), offset, checker);
  if (checker.too_large()) return Errc::kTooLarge;
  if (!complete || offset != bytes.size()) return Errc::kMalformed;
  return Ok();
}

bool Unpack(const msgpack::object& object, bool& value) {
  if (object.type != msgpack::type::BOOLEAN) return false;
  value = object.via.boolean;
  return true;
}

bool Unpack(const msgpack::object& object, double& value) {
  switch (object.type) {
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
      value = object.via.f64;
      return std::isfinite(value);
    // The library packs whole numbers as integers, which are shorter.
    case msgpack::type::POSITIVE_INTEGER:
      value = static_cast<double>(object.via.u64);
      return true;
    case msgpack::type::NEGATIVE_INTEGER:
      value = static_cast<double>(object.via.i64);
      return true;
    default:
      return false;
  }
}

template <class T>
requires(std::is_integral_v<T> &&
         !std::is_same_v<T, bool>) bool Unpack(const msgpack::object& object, T& value) {
  if (object.type == msgpack::type::POSITIVE_INTEGER) {
    value = static_cast<T>(object.via.u64);
    return std::in_range<T>(object.via.u64);
  }
  if (object.type == msgpack::type::NEGATIVE_INTEGER) {
    value = static_cast<T>(object.via.i64);
    return std::in_range<T>(object.via.i64);
  }
  return false;
}

bool Unpack(const msgpack::object& object, Duration& value) {
  std::int64_t count = 0;
  if (!Unpack(object, count)) return false;
  value = Duration(count);
  return true;
}

bool Unpack(const msgpack::object& object, std::string& value) {
  if (object.type != msgpack::type::STR) return false;
  value.assign(object.via.str.ptr, object.via.str.size);
  return true;
}

template <class Tag>
bool Unpack(const msgpack::object& object, StringId<Tag>& value) {
  std::string text;
  if (!Unpack(object, text)) return false;
  value = StringId<Tag>(std::move(text));
  return true;
}

template <class T>
requires std::is_enum_v<T>
bool Unpack(const msgpack::object& object, T& value) {
  std::uint8_t number = 0;
  if (!Unpack(object, number) || number > internal::Largest(T{})) return false;
  value = static_cast<T>(number);
  return true;
}

template <Structure T>
bool Unpack(const msgpack::object& object, T& value);

template <class T>
bool Unpack(const msgpack::object& object, std::vector<T>& values) {
  if (object.type != msgpack::type::ARRAY) return false;
  values.clear();
  // Grows with the elements that decode: an element may be far larger than its claimed encoding.
  for (const msgpack::object& element : std::span(object.via.array.ptr, object.via.array.size)) {
    if (!Unpack(element, values.emplace_back())) return false;
  }
  return true;
}

// Reads the fields of `value` from the elements after the first `skip`. Added fields may be
// missing.
template <class T>
bool UnpackFields(const msgpack::object_array& array, std::size_t skip, T& value) {
  if (array.size < skip + FieldCount<T>() - internal::kAddedFields<T>) return false;
  const msgpack::object* element = array.ptr + skip;
  const msgpack::object* const end = array.ptr + array.size;
  return std::apply(
      [&](auto&... field) { return ((element == end || Unpack(*element++, field)) && ...); },
      internal::Fields(value));
}

template <Structure T>
bool Unpack(const msgpack::object& object, T& value) {
  return object.type == msgpack::type::ARRAY && UnpackFields(object.via.array, 0, value);
}

// Decodes the alternative of the variant whose index is `index`.
template <class Variant, std::size_t kIndex = 0>
Result<Variant> DecodeAlternative(const msgpack::object_array& array, std::uint64_t index) {
  if constexpr (kIndex == std::variant_size_v<Variant>) {
    return Errc::kMalformed;
  } else if (index == kIndex) {
    std::variant_alternative_t<kIndex, Variant> body;
    if (!UnpackFields(array, 1, body)) return Errc::kMalformed;
    return Variant(std::in_place_index<kIndex>, std::move(body));
  } else {
    return DecodeAlternative<Variant, kIndex + 1>(array, index);
  }
}

template <class Variant>
Result<Variant> DecodeVariant(std::string_view bytes, std::uint64_t first_tag) {
  BOOST_OUTCOME_TRYV(CheckLimits(bytes));
  try {
    msgpack::zone zone;
    bool referenced = false;
    // Strings refer to `bytes` and are copied once, into the message.
    const msgpack::object object =
        msgpack::unpack(zone, bytes.data(), bytes.size(), referenced,
                        [](msgpack::type::object_type, std::size_t, void*) { return true; });
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) return Errc::kMalformed;
    std::uint64_t tag = 0;
    if (!Unpack(object.via.array.ptr[0], tag) || tag < first_tag) return Errc::kMalformed;
    return DecodeAlternative<Variant>(object.via.array, tag - first_tag);
  } catch (const std::exception&) {
    return Errc::kMalformed;
  }
}

}  // namespace

std::string Encode(const Request& request) { return EncodeVariant(request, kRequestTags); }
std::string Encode(const Reply& reply) { return EncodeVariant(reply, kReplyTags); }
std::string Encode(const Datagram& datagram) { return EncodeVariant(datagram, kDatagramTags); }

Result<Request> DecodeRequest(std::string_view bytes) {
  return DecodeVariant<Request>(bytes, kRequestTags);
}

Result<Reply> DecodeReply(std::string_view bytes) {
  return DecodeVariant<Reply>(bytes, kReplyTags);
}

Result<Datagram> DecodeDatagram(std::string_view bytes) {
  return DecodeVariant<Datagram>(bytes, kDatagramTags);
}

}  // namespace verbenaridge::wire
