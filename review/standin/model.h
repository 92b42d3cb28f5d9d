// Requests and replicas of the language-model service, in the sizes of the sheets.
#ifndef VERBENARIDGE_REVIEW_STANDIN_MODEL_H_
#define VERBENARIDGE_REVIEW_STANDIN_MODEL_H_

#include <nlohmann/json.hpp>
#include <string>

#include "review/standin/harness.h"

namespace review {

inline constexpr int kTokensOfEvent = 43;

struct ModelRequest {
  std::string id;     // of this attempt
  std::string path;   // from the prefix of the route on
  std::string body;   // the prompt
  std::string parts;  // ID:TOKENS entries
  int prompt_tokens = 0;
  int output_tokens = 0;
  int deadline_ms = 10000;
};

// A request of a client, with the key of the only tenant.
std::string TextOf(const ModelRequest& request);

// A configuration with the route /stream/ to the service "lm", like buyer-reply on the sheet of
// Kaori, and one tenant.
nlohmann::json ModelConfiguration(int version);

// Seconds from a request's arrival to its first event, and between two events, on an engine that
// nothing else uses.
double PrefillSeconds(int prompt_tokens);
double EventSeconds();

// Runs the request as a sound replica does, with all events after Last-Event-Id. Returns false if
// the connection is to be closed.
bool Stream(Replica& replica, Connection& connection, const Message& request);

// Sends the head and the events up to number `last`; all of them if that is zero. Returns false if
// the connection or the replica is gone.
bool StreamSome(Replica& replica, Connection& connection, const Message& request, int last);

}  // namespace review

#endif  // VERBENARIDGE_REVIEW_STANDIN_MODEL_H_
