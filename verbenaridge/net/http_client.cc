#include "verbenaridge/net/http_client.h"

#include <strings.h>

#include <utility>

namespace verbenaridge::net {
namespace {

class WholeResponse final : public HttpObserver {
 public:
  using Done = std::function<void(Result<HttpResponse>, RequestProgress)>;

  explicit WholeResponse(Done done) : done_(std::move(done)) {}

  void OnHead(const HttpResponseHead& head) override {
    response_.status = head.status;
    response_.headers = head.headers;
  }

  void OnBody(std::string_view data) override { response_.body.append(data); }

  void OnDone(const Status& status, RequestProgress progress) override {
    if (status.has_error()) {
      done_(status.error(), progress);
    } else {
      done_(std::move(response_), progress);
    }
  }

 private:
  Done done_;
  HttpResponse response_;
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
  request.max_body_bytes = max_body_bytes;
  return client.Start(std::move(request), std::make_shared<WholeResponse>(std::move(done)));
}

}  // namespace verbenaridge::net
