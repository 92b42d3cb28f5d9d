#include "verbenaridge/net/http_client.h"

#include <strings.h>

#include <utility>

namespace verbenaridge::net {
namespace {

class WholeResponse final : public HttpObserver {
 public:
  using Done = std::function<void(Result<HttpResponse>, RequestProgress)>;

  WholeResponse(std::size_t max_body_bytes, Done done)
      : max_body_bytes_(max_body_bytes), done_(std::move(done)) {}

  void OnHead(const HttpResponseHead& head) override {
    response_.status = head.status;
    response_.headers = head.headers;
  }

  void OnBody(std::string_view data) override {
    if (response_.body.size() + data.size() > max_body_bytes_) {
      too_large_ = true;
      return;
    }
    response_.body.append(data);
  }

  void OnDone(const Status& status, RequestProgress progress) override {
    if (status.has_error()) {
      done_(status.error(), progress);
    } else if (too_large_) {
      done_(Errc::kTooLarge, progress);
    } else {
      done_(std::move(response_), progress);
    }
  }

 private:
  const std::size_t max_body_bytes_;
  Done done_;
  HttpResponse response_;
  bool too_large_ = false;
};

}  // namespace

std::string_view HttpResponseHead::header(std::string_view name) const {
  for (const HttpHeader& header : headers) {
    if (header.name.size() == name.size() &&
        strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
      return header.value;
    }
  }
  return {};
}

HttpCallId FetchWhole(HttpClient& client, HttpRequest request, std::size_t max_body_bytes,
                      std::function<void(Result<HttpResponse>, RequestProgress)> done) {
  return client.Start(std::move(request),
                      std::make_shared<WholeResponse>(max_body_bytes, std::move(done)));
}

}  // namespace verbenaridge::net
