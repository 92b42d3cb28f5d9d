// Sinks that turn the pipeline's answers into HTTP responses.
#ifndef VERBENARIDGE_FRONTEND_COMPLETION_SINKS_H_
#define VERBENARIDGE_FRONTEND_COMPLETION_SINKS_H_

#include <memory>

#include "verbenaridge/calls/calls.h"
#include "verbenaridge/frontend/http_server.h"
#include "verbenaridge/frontend/request_parser.h"

namespace verbenaridge::frontend {

// Sends a problem document for a failure before any other byte. `status` 0 stands for the status of
// the failure's kind.
void SendProblem(ResponseWriter& writer, const calls::Failure& failure, const RequestId& request_id,
                 int status = 0);

// `stream`: server-sent events; otherwise one JSON document at the end.
std::shared_ptr<calls::CompletionSink> MakeCompletionSink(std::shared_ptr<ResponseWriter> writer,
                                                          const RequestId& request_id,
                                                          const ModelId& model,
                                                          std::int64_t created, bool stream);

std::shared_ptr<calls::ServiceSink> MakeServiceSink(std::shared_ptr<ResponseWriter> writer,
                                                    const RequestId& request_id);

}  // namespace verbenaridge::frontend

#endif  // VERBENARIDGE_FRONTEND_COMPLETION_SINKS_H_
