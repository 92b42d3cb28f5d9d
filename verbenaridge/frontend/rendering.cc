#include "verbenaridge/frontend/rendering.h"

#include <nlohmann/json.hpp>

#include "verbenaridge/frontend/problem.h"

namespace verbenaridge::frontend {
namespace {

std::string RenderUsage(const calls::Usage& usage) {
  const nlohmann::ordered_json json = {
      {"prompt_tokens", usage.prompt_tokens},
      {"completion_tokens", usage.completion_tokens},
      {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
      {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
  return json.dump();
}

}  // namespace

CompletionRenderer::CompletionRenderer(const RequestId& request_id, const ModelId& model,
                                       std::int64_t created) {
  prefix_ = R"({"id":"cmpl-)" + JsonEscape(request_id.value()) +
            R"(","object":"text_completion","created":)" + std::to_string(created) +
            R"(,"model":")" + JsonEscape(model.value()) +
            R"(","choices":[{"index":0,"logprobs":null,"text":")";
}

std::string CompletionRenderer::TokenEvent(std::string_view text) const {
  return "data: " + prefix_ + JsonEscape(text) + "\",\"finish_reason\":null}]}\n\n";
}

std::string CompletionRenderer::EndEvents(std::string_view finish_reason,
                                          const calls::Usage& usage) const {
  return "data: " + Whole("", finish_reason, usage) + "\n\ndata: [DONE]\n\n";
}

std::string CompletionRenderer::Whole(std::string_view text, std::string_view finish_reason,
                                      const calls::Usage& usage) const {
  return prefix_ + JsonEscape(text) + R"(","finish_reason":")" + JsonEscape(finish_reason) +
         R"("}],"usage":)" + RenderUsage(usage) + "}";
}

std::string ErrorEvent(std::string_view problem_body) {
  return "event: error\ndata: " + std::string(problem_body) + "\n\n";
}

std::string RenderModels(std::span<const calls::ModelInfo> models) {
  nlohmann::ordered_json data = nlohmann::ordered_json::array();
  for (const calls::ModelInfo& info : models) {
    data.push_back({{"id", info.model.value()},
                    {"object", "model"},
                    {"created", 0},
                    {"owned_by", "verbenaridge"},
                    {"max_prompt_tokens", info.max_prompt_tokens}});
  }
  const nlohmann::ordered_json list = {{"object", "list"}, {"data", data}};
  return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace verbenaridge::frontend
