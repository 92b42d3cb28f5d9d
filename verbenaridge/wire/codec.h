// MessagePack encoding of the messages.
//
//   std::string bytes = Encode(Request{StatusRequest{}});
//   Result<Request> request = DecodeRequest(bytes);
//
// A message is an array: a type tag, then the fields in the order of internal/message_fields.h.
// Structures within a message are arrays of their fields. Requests, replies and datagrams have
// separate ranges of tags. Rule for versions: elements after the known fields are ignored, at every
// level. A missing field is an error, unless it was added since the last release: hosts of both
// releases run side by side during an update.
//
// All functions are thread-safe and do not throw.
#ifndef VERBENARIDGE_WIRE_CODEC_H_
#define VERBENARIDGE_WIRE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "verbenaridge/base/result.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::wire {

// A plan document has at most 1 MB, the limit of the platform's store; answers kept in claim
// records are bounded by the same limit. Four times that leaves room for lists of permits.
inline constexpr std::size_t kMaxMessageBytes = 4UL * 1024 * 1024;

// Bounds the memory that a message takes while it is decoded: about 24 bytes an element.
inline constexpr std::size_t kMaxMessageElements = 256UL * 1024;

// Known messages nest 5 deep (datagram, gossip, list, entry, list of delays).
inline constexpr std::size_t kMaxMessageDepth = 8;

std::string Encode(const Request& request);
std::string Encode(const Reply& reply);
std::string Encode(const Datagram& datagram);

// Errors: kTooLarge if a limit above is exceeded; kMalformed for anything else that is not exactly
// one message of the kind: truncation, trailing bytes, unknown tags, missing fields, numbers out of
// range, unknown enum values and numbers that are not finite.
Result<Request> DecodeRequest(std::string_view bytes);
Result<Reply> DecodeReply(std::string_view bytes);
Result<Datagram> DecodeDatagram(std::string_view bytes);

}  // namespace verbenaridge::wire

#endif  // VERBENARIDGE_WIRE_CODEC_H_
