// What endpoints told this host about themselves in their responses.
//
//   EndpointNotices notices({});
//   notices.OnLeaving(key, now);
//   if (notices.IsLeaving(key)) continue;           // for all requests
//   if (!notices.MayServeAsLast(key, now)) Refuse();  // if no other endpoint is left
//
// A notice goes before the store's entry, which may be older, and ends with the endpoint process,
// because keys contain the start time of the process. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_ENDPOINT_NOTICES_H_
#define VERBENARIDGE_DISPATCH_ENDPOINT_NOTICES_H_

#include <cstddef>
#include <span>
#include <unordered_map>
#include <unordered_set>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::dispatch {

struct NoticeOptions {
  // How long the last endpoint of a service is used after it said that it leaves. The platform
  // allows 2 s between that response and the time at which the client sends a request.
  Duration last_endpoint_use = std::chrono::milliseconds(1'500);
  // Notices of endpoints that the store does not list are kept up to this number, because an entry
  // may lapse and come back.
  std::size_t max_unlisted = 1024;
};

class EndpointNotices {
 public:
  explicit EndpointNotices(const NoticeOptions& options = {}) : options_(options) {}

  // Returns true if this was not yet known.
  bool OnLeaving(Digest endpoint, TimePoint now);
  // Records a notice without a valid value. Returns true for the first one of the endpoint.
  bool OnMalformed(Digest endpoint, TimePoint now);

  // Drops the oldest notices of endpoints that are not listed. Called with each list of the store.
  void Retain(std::span<const Digest> listed);

  bool IsLeaving(Digest endpoint) const;
  // Whether a leaving endpoint may receive a request for which there is no other. True for an
  // endpoint that does not leave.
  bool MayServeAsLast(Digest endpoint, TimePoint now) const;

  std::size_t size() const { return states_.size(); }

 private:
  struct State {
    TimePoint noticed{};  // the first notice
    bool leaving = false;
    TimePoint leaving_since{};
    bool malformed = false;
  };

  State& StateOf(Digest endpoint, TimePoint now);

  NoticeOptions options_;
  std::unordered_map<Digest, State> states_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_ENDPOINT_NOTICES_H_
