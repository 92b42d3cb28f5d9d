// What the cases have in common: a small deployment's configuration, requests, and sound replicas.
#ifndef REVIEW_STANDIN_3_SCENARIO_H_
#define REVIEW_STANDIN_3_SCENARIO_H_

#include <string>

#include "review/standin-3/rig.h"

namespace review {

inline constexpr int kRouteTimeoutMs = 2'000;    // of the plain service
inline constexpr int kRecordTimeoutMs = 10'000;  // of its long records
inline constexpr int kStreamTimeoutMs = 10'000;  // of the model service
inline constexpr int kSlots = 16;

// Routes /draft/ (streaming, may be resumed), /stock/ and /record/ (safe) and /order/ (unsafe).
nlohmann::json SmallConfiguration();

struct RequestOptions {
  std::string id;
  std::string path;
  std::string parts{};  // of the prompt; empty: a plain request
  int output_tokens = 0;
  int deadline_ms = 0;
};
std::string RequestText(const RequestOptions& options);

// The head of an answer of the plain service.
std::string PlainHead(const Replica& replica, const Request& request, std::size_t bytes);

// Sends the answer of a sound replica of the plain service: after 60 ms, or a long one at once.
bool AnswerPlain(const Replica& replica, const Socket& socket, const Request& request);

bool AnswerLong(const Replica& replica, const Socket& socket, const Request& request,
                std::size_t bytes);

// The head of a stream, and one of its events.
std::string StreamHead(const Replica& replica, const Request& request);
std::string Event(int id);

// Sends a stream of `events` events. False if the connection has ended.
bool AnswerStream(const Replica& replica, const Socket& socket, const Request& request, int events);

// Whether the client got all events once and in order.
bool IsWholeStream(const Reply& reply, int events);

}  // namespace review

#endif  // REVIEW_STANDIN_3_SCENARIO_H_
