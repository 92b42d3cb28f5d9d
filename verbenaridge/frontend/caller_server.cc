#include "verbenaridge/frontend/caller_server.h"

#include <array>
#include <cstdio>
#include <utility>

#include "verbenaridge/frontend/completion_sinks.h"
#include "verbenaridge/frontend/rendering.h"

namespace verbenaridge::frontend {
namespace {

// 128 bits, so that ids of different hosts do not meet.
RequestId NewRequestId(RandomSource& random) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(random.Next()),
                static_cast<unsigned long long>(random.Next()));
  return RequestId(text.data());
}

}  // namespace

CallerService::CallerService(calls::RequestHandler& handler, const Clock& clock,
                             RandomSource& random, std::size_t max_body_bytes)
    : handler_(handler), clock_(clock), random_(random), max_body_bytes_(max_body_bytes) {}

void CallerService::Handle(const HttpCall& call, std::shared_ptr<ResponseWriter> writer) {
  Parsed<RequestId> parsed = ParseRequestId(call);
  const RequestId request_id =
      parsed && !parsed.value().empty() ? parsed.value() : NewRequestId(random_);
  const std::optional<Rejection> rejection =
      parsed ? Dispatch(call, request_id, writer) : std::optional(parsed.error());
  if (rejection) SendProblem(*writer, rejection->failure, request_id, rejection->status);
}

std::optional<Rejection> CallerService::Dispatch(const HttpCall& call, const RequestId& request_id,
                                                 const std::shared_ptr<ResponseWriter>& writer) {
  Parsed<Route> route = ParseRoute(call.method, call.target);
  if (!route) return route.error();
  if (call.body.size() > max_body_bytes_) return BadRequest("the body is too large", 413);
  Parsed<calls::CallHeader> header = ParseCallHeader(call, request_id);
  if (!header) return header.error();
  switch (route.value().kind) {
    case RouteKind::kCompletion:
      return Complete(call, std::move(header.value()), writer);
    case RouteKind::kModels:
      return ListModels(header.value(), *writer);
    case RouteKind::kServiceCall:
      return CallService(call, std::move(route.value()), std::move(header.value()), writer);
    case RouteKind::kServiceLookup:
      handler_.LookUp({.header = std::move(header.value()),
                       .service = ServiceId(std::move(route.value().service)),
                       .operation = std::move(route.value().operation),
                       .idempotency_key = std::move(route.value().key)},
                      MakeServiceSink(writer, request_id));
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<Rejection> CallerService::Complete(const HttpCall& call, calls::CallHeader header,
                                                 const std::shared_ptr<ResponseWriter>& writer) {
  if (auto rejection = CheckJsonContent(call)) return rejection;
  Parsed<CompletionBody> body = ParseCompletionBody(call.body);
  if (!body) return body.error();
  const ModelId model(std::move(body.value().model));
  const std::int64_t created =
      std::chrono::duration_cast<std::chrono::seconds>(clock_.WallNow().time_since_epoch()).count();
  auto sink = MakeCompletionSink(writer, header.request_id, model, created, body.value().stream);
  handler_.Complete({.header = std::move(header),
                     .model = model,
                     .prompt = std::move(body.value().prompt),
                     .max_tokens = body.value().max_tokens},
                    std::move(sink));
  return std::nullopt;
}

std::optional<Rejection> CallerService::CallService(const HttpCall& call, Route route,
                                                    calls::CallHeader header,
                                                    const std::shared_ptr<ResponseWriter>& writer) {
  Parsed<Idempotency> idempotency = ParseIdempotency(call, clock_.WallNow());
  if (!idempotency) return idempotency.error();
  if (auto rejection = CheckJsonContent(call)) return rejection;
  const RequestId request_id = header.request_id;
  handler_.Call({.header = std::move(header),
                 .service = ServiceId(std::move(route.service)),
                 .operation = std::move(route.operation),
                 .idempotency_key = std::move(idempotency.value().key),
                 .key_expiry = idempotency.value().expiry,
                 .body = std::string(call.body)},
                MakeServiceSink(writer, request_id));
  return std::nullopt;
}

std::optional<Rejection> CallerService::ListModels(const calls::CallHeader& header,
                                                   ResponseWriter& writer) {
  const std::vector<calls::ModelInfo> models = handler_.Models(header.bearer_key);
  if (models.empty()) {
    Rejection rejection = BadRequest("the key is unknown or permits no model", 401);
    rejection.failure.kind = calls::FailureKind::kUnauthenticated;
    return rejection;
  }
  const std::array<ResponseHeader, 2> headers = {
      {{"Content-Type", "application/json"}, {"X-Request-Id", header.request_id.value()}}};
  writer.Send(200, headers, RenderModels(models));
  return std::nullopt;
}

CallerServer::CallerServer(asio::io_context& io_context, const Options& options,
                           calls::RequestHandler& handler, const Clock& clock, RandomSource& random)
    : service_(handler, clock, random, options.http.max_body_bytes),
      server_(io_context, options.http, service_) {}

}  // namespace verbenaridge::frontend
