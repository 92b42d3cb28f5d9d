#include "verbenaridge/frontend/completion_sinks.h"

#include <array>
#include <string>
#include <utility>

#include "verbenaridge/frontend/problem.h"
#include "verbenaridge/frontend/rendering.h"

namespace verbenaridge::frontend {
namespace {

using Callback = std::function<void()>;

class StreamSink final : public calls::CompletionSink {
 public:
  StreamSink(std::shared_ptr<ResponseWriter> writer, RequestId request_id,
             CompletionRenderer renderer)
      : writer_(std::move(writer)),
        request_id_(std::move(request_id)),
        renderer_(std::move(renderer)) {}

  void OnToken(std::string_view text) override {
    Start();
    writer_->Append(renderer_.TokenEvent(text));
  }

  void OnEnd(std::string_view finish_reason, const calls::Usage& usage) override {
    Start();
    writer_->Append(renderer_.EndEvents(finish_reason, usage));
    writer_->Finish();
  }

  void OnFailure(const calls::Failure& failure) override {
    if (!started_) {
      SendProblem(*writer_, failure, request_id_);
      return;
    }
    writer_->Append(ErrorEvent(ProblemOf(failure, request_id_).body));
    writer_->Finish();
  }

  std::size_t unsent_bytes() const override { return writer_->unsent_bytes(); }

  void SetCallbacks(Callback gone, Callback drained) override {
    writer_->SetCallbacks(std::move(gone), std::move(drained));
  }

 private:
  void Start() {
    if (started_) return;
    started_ = true;
    const std::array<ResponseHeader, 3> headers = {{{"Content-Type", "text/event-stream"},
                                                    {"Cache-Control", "no-cache"},
                                                    {"X-Request-Id", request_id_.value()}}};
    writer_->StartStream(200, headers);
  }

  const std::shared_ptr<ResponseWriter> writer_;
  const RequestId request_id_;
  const CompletionRenderer renderer_;
  bool started_ = false;
};

class WholeSink final : public calls::CompletionSink {
 public:
  WholeSink(std::shared_ptr<ResponseWriter> writer, RequestId request_id,
            CompletionRenderer renderer)
      : writer_(std::move(writer)),
        request_id_(std::move(request_id)),
        renderer_(std::move(renderer)) {}

  void OnToken(std::string_view text) override { text_.append(text); }

  void OnEnd(std::string_view finish_reason, const calls::Usage& usage) override {
    const std::array<ResponseHeader, 2> headers = {
        {{"Content-Type", "application/json"}, {"X-Request-Id", request_id_.value()}}};
    writer_->Send(200, headers, renderer_.Whole(text_, finish_reason, usage));
  }

  void OnFailure(const calls::Failure& failure) override {
    SendProblem(*writer_, failure, request_id_);
  }

  // Collected text does not count: the caller cannot take it before the end, so a pipeline that
  // paused for it would never resume.
  std::size_t unsent_bytes() const override { return 0; }

  void SetCallbacks(Callback gone, Callback drained) override {
    writer_->SetCallbacks(std::move(gone), std::move(drained));
  }

 private:
  const std::shared_ptr<ResponseWriter> writer_;
  const RequestId request_id_;
  const CompletionRenderer renderer_;
  std::string text_;
};

class ServiceAnswerSink final : public calls::ServiceSink {
 public:
  ServiceAnswerSink(std::shared_ptr<ResponseWriter> writer, RequestId request_id)
      : writer_(std::move(writer)), request_id_(std::move(request_id)) {}

  void OnAnswer(const calls::ServiceAnswer& answer) override {
    const std::array<ResponseHeader, 4> headers = {
        {{"Content-Type", answer.content_type},
         {"X-Request-Id", request_id_.value()},
         {"X-Outcome", std::string(OutcomeName(Outcome::kRan))},
         {"X-Replayed", answer.replayed ? "true" : "false"}}};
    writer_->Send(answer.status, headers, answer.body);
  }

  void OnFailure(const calls::Failure& failure) override {
    SendProblem(*writer_, failure, request_id_);
  }

 private:
  const std::shared_ptr<ResponseWriter> writer_;
  const RequestId request_id_;
};

}  // namespace

void SendProblem(ResponseWriter& writer, const calls::Failure& failure, const RequestId& request_id,
                 int status) {
  Problem problem = ProblemOf(failure, request_id, status);
  writer.Send(problem.status, problem.headers, std::move(problem.body));
}

std::shared_ptr<calls::CompletionSink> MakeCompletionSink(std::shared_ptr<ResponseWriter> writer,
                                                          const RequestId& request_id,
                                                          const ModelId& model,
                                                          std::int64_t created, bool stream) {
  CompletionRenderer renderer(request_id, model, created);
  if (stream) return std::make_shared<StreamSink>(std::move(writer), request_id, renderer);
  return std::make_shared<WholeSink>(std::move(writer), request_id, renderer);
}

std::shared_ptr<calls::ServiceSink> MakeServiceSink(std::shared_ptr<ResponseWriter> writer,
                                                    const RequestId& request_id) {
  return std::make_shared<ServiceAnswerSink>(std::move(writer), request_id);
}

}  // namespace verbenaridge::frontend
