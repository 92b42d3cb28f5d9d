// The problem document (RFC 9457) that callers receive with every failure.
//
//   Problem problem = ProblemOf(failure, request_id);
//   writer.Send(problem.status, problem.headers, problem.body);
#ifndef VERBENARIDGE_FRONTEND_PROBLEM_H_
#define VERBENARIDGE_FRONTEND_PROBLEM_H_

#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/calls/calls.h"
#include "verbenaridge/frontend/http_server.h"

namespace verbenaridge::frontend {

struct Problem {
  int status = 500;
  std::vector<ResponseHeader>
      headers;  // content type, request id and, with 429 and 503, Retry-After
  std::string body;
};

// HTTP status of a failure kind.
int StatusOf(calls::FailureKind kind);

// `status` 0 stands for StatusOf(failure.kind).
Problem ProblemOf(const calls::Failure& failure, const RequestId& request_id, int status = 0);

// Escapes text for use inside a JSON string, without the quotes. Invalid UTF-8 is replaced.
std::string JsonEscape(std::string_view text);

}  // namespace verbenaridge::frontend

#endif  // VERBENARIDGE_FRONTEND_PROBLEM_H_
