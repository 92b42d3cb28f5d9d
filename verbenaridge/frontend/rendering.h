// Bodies of answers in the form that OpenAI clients read. No HTTP here.
#ifndef VERBENARIDGE_FRONTEND_RENDERING_H_
#define VERBENARIDGE_FRONTEND_RENDERING_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "verbenaridge/calls/calls.h"

namespace verbenaridge::frontend {

// Renders the pieces of one completion. The common parts are built once, since a stream renders
// one event per token.
class CompletionRenderer {
 public:
  CompletionRenderer(const RequestId& request_id, const ModelId& model, std::int64_t created);

  // A server-sent event with one piece of text.
  std::string TokenEvent(std::string_view text) const;

  // The last events: finish reason, usage and [DONE].
  std::string EndEvents(std::string_view finish_reason, const calls::Usage& usage) const;

  // The whole answer of a call that is not streamed.
  std::string Whole(std::string_view text, std::string_view finish_reason,
                    const calls::Usage& usage) const;

 private:
  std::string prefix_;  // `{"id":...,"choices":[{"index":0,"logprobs":null,"text":"`
};

// The event that ends a stream which failed after its first bytes.
std::string ErrorEvent(std::string_view problem_body);

// The list of GET /v1/models.
std::string RenderModels(std::span<const calls::ModelInfo> models);

}  // namespace verbenaridge::frontend

#endif  // VERBENARIDGE_FRONTEND_RENDERING_H_
