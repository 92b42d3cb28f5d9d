#include "verbenaridge/routing/routing_policy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/routing/candidate_sequence.h"

namespace verbenaridge::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr Digest kModel = 1, kOtherModel = 2, kLocal = 10, kRemote = 11;

// Ten idle endpoints in the local data centre and five in a remote one, each with 10,000 tokens/s
// and memory for 100,000 tokens.
std::vector<EndpointView> MakeViews() {
  std::vector<EndpointView> views;
  for (int i = 0; i < 15; ++i) {
    EndpointView view;
    view.id = EndpointId("e" + std::to_string(i));
    view.key = HashOf(view.id.value());
    view.data_centre = i < 10 ? kLocal : kRemote;
    view.models = {kModel};
    view.kv_capacity_bytes = view.free_kv_bytes = 1'000'000;
    view.kv_bytes_per_token = 10;
    view.prefill_rate = 10'000;
    views.push_back(view);
  }
  return views;
}

RouteRequest Request(TokenCount tokens = 1'000, Priority priority = Priority::kStandard) {
  RouteRequest request;
  request.model = kModel;
  request.data_centre = kLocal;
  request.priority = priority;
  request.prompt_tokens = tokens;
  request.now = kStart;
  return request;
}

using Change = void (*)(std::vector<EndpointView>&, RouteRequest&);

// Guards against candidates that cannot serve the request, and against failures with a wrong
// reason. The reason decides whether the request waits, uses a group or fails.
TEST_CASE("only eligible endpoints are candidates") {
  struct Row {
    const char* name;
    Change change;
    std::size_t usable;  // of the endpoints; 0 expects the failure
    RouteFailure failure;
  };
  using Views = std::vector<EndpointView>;
  const Row rows[] = {
      {"all", [](Views&, RouteRequest&) {}, 10, RouteFailure::kNone},
      {"only one not leaving",
       [](Views& v, RouteRequest&) {
         for (int i = 1; i < 15; ++i) v[i].leaving = true;
       },
       1, RouteFailure::kNone},
      {"none available",
       [](Views& v, RouteRequest&) {
         for (auto& view : v) view.available = false;
       },
       0, RouteFailure::kNoneReady},
      {"no such model", [](Views&, RouteRequest& r) { r.model = kOtherModel; }, 0,
       RouteFailure::kNoModel},
      {"over one engine's memory", [](Views&, RouteRequest& r) { r.prompt_tokens = 99'000; }, 0,
       RouteFailure::kTooLong},
      {"output counts for memory",
       [](Views&, RouteRequest& r) { r.prompt_tokens = 90'000, r.max_output_tokens = 9'000; }, 0,
       RouteFailure::kTooLong},
      {"role",
       [](Views& v, RouteRequest& r) {
         r.role = EndpointRole::kPrefill;
         for (int i = 2; i < 15; ++i) v[i].role = EndpointRole::kDecode;
       },
       2, RouteFailure::kNone},
  };
  for (const char* name : {"least_outstanding", "two_choices", "owner_permits"}) {
    for (const Row& row : rows) {
      CAPTURE(std::string(name));
      CAPTURE(std::string(row.name));
      SeededRandom random(1);
      std::vector<EndpointView> views = MakeViews();
      RouteRequest request = Request();
      row.change(views, request);
      const auto policy = MakePolicy(name, {});
      std::map<std::size_t, int> chosen;
      for (int i = 0; i < 300; ++i) {
        const RouteDecision decision = policy->Choose(request, views, random);
        CHECK(decision.failure == row.failure);
        for (const Candidate& c : decision.candidates()) ++chosen[c.index];
      }
      CHECK(chosen.size() == row.usable);
    }
  }
  CHECK(MakePolicy("unknown", {}) == nullptr);
}

// Guards against a first choice that ignores load, long prefills, memory, prefixes or data centres.
TEST_CASE("the first candidate has a short predicted first token") {
  struct Row {
    const char* name;
    Change change;     // makes endpoint 0 differ from the others
    double low, high;  // fraction of 2,000 first choices that go to endpoint 0
  };
  using Views = std::vector<EndpointView>;
  const Row rows[] = {
      {"equal endpoints", [](Views&, RouteRequest&) {}, 0.08, 0.12},
      {"busy", [](Views& v, RouteRequest&) { v[0].queue_delay.fill(seconds(1)); }, 0, 0.001},
      {"busy below this priority",
       [](Views& v, RouteRequest&) { v[0].queue_delay[Rank(Priority::kBackground)] = seconds(9); },
       0.08, 0.12},
      {"runs a long prefill", [](Views& v, RouteRequest&) { v[0].long_prefills = 1; }, 0, 0.02},
      {"memory taken", [](Views& v, RouteRequest&) { v[0].free_kv_bytes = 100; }, 0, 0.001},
      {"others busy",
       [](Views& v, RouteRequest&) {
         for (int i = 1; i < 10; ++i) v[i].queue_delay.fill(milliseconds(400));
       },
       0.99, 1},
  };
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      SeededRandom random(1);
      std::vector<EndpointView> views = MakeViews();
      RouteRequest request = Request();
      row.change(views, request);
      const auto policy = MakePolicy("owner_permits_affinity", {});
      int chosen = 0;
      for (int i = 0; i < 2'000; ++i) {
        if (policy->Choose(request, views, random).candidates()[0].index == 0) ++chosen;
      }
      CHECK(chosen / 2000.0 >= row.low);
      CHECK(chosen / 2000.0 <= row.high);
    }
  }
}

// Guards against long prompts that occupy the endpoints of short ones, and against idle endpoints
// that are not lent.
TEST_CASE("long prompts stay in their share unless it is busy") {
  struct Row {
    const char* name;
    TokenCount tokens;
    bool share_busy;
    std::size_t low, high;  // endpoints used
    bool lent;
  };
  const Row rows[] = {{"short", 1'000, false, 10, 10, false},
                      {"long", 50'000, false, 4, 4, false},
                      {"long, share busy", 50'000, true, 6, 6, true}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      SeededRandom random(1);
      std::vector<EndpointView> views = MakeViews();
      const RouteRequest request = Request(row.tokens);
      const auto policy = MakePolicy("owner_permits", {});
      std::map<std::size_t, int> share, used;
      bool lent = false;
      for (int i = 0; i < 500; ++i) {
        ++share[policy->Choose(Request(50'000), views, random).candidates()[0].index];
      }
      if (row.share_busy) {
        for (const auto& [index, count] : share) views[index].queue_delay.fill(seconds(30));
      }
      for (int i = 0; i < 500; ++i) {
        const Candidate first = policy->Choose(request, views, random).candidates()[0];
        ++used[first.index];
        lent = lent || first.lent;
      }
      CHECK(used.size() >= row.low);
      CHECK(used.size() <= row.high);
      CHECK(lent == row.lent);
    }
  }
}

// Guards against a flood in one data centre that moves to the others without limit.
TEST_CASE("spill to other data centres is bounded") {
  struct Row {
    const char* name;
    Duration local_delay;
    bool local_leaves;
    int low, high;  // spilled of 1,000 requests in 10 s
  };
  const Row rows[] = {{"not busy", milliseconds(100), false, 0, 0},
                      {"flooded", seconds(60), false, 20, 26},
                      {"no endpoint here", {}, true, 1000, 1000}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      SeededRandom random(1);
      std::vector<EndpointView> views = MakeViews();
      for (int i = 0; i < 10; ++i) {
        views[i].queue_delay.fill(row.local_delay);
        views[i].leaving = row.local_leaves;
      }
      const auto policy = MakePolicy("owner_permits", {});
      int spilled = 0;
      for (int i = 0; i < 1'000; ++i) {
        RouteRequest request = Request();
        request.now = kStart + milliseconds(10) * i;
        const Candidate first = policy->Choose(request, views, random).candidates()[0];
        if (views[first.index].data_centre != kLocal) ++spilled;
        CHECK((first.spilled || row.local_leaves || views[first.index].data_centre == kLocal));
        policy->OnDispatched(views[first.index], request, 0.01);
      }
      CHECK(spilled >= row.low);
      CHECK(spilled <= row.high);
    }
  }
}

// Guards against a thundering herd: daemons with the same stale summaries that all choose the same
// endpoint.
TEST_CASE("daemons with the same stale summaries spread their requests") {
  std::vector<EndpointView> views = MakeViews();
  views[0].queue_delay.fill({});
  for (int i = 1; i < 10; ++i) views[i].queue_delay.fill(milliseconds(20));
  std::map<std::size_t, int> chosen;
  for (std::uint64_t daemon = 0; daemon < 16; ++daemon) {
    SeededRandom random(daemon);
    const auto policy = MakePolicy("owner_permits", {});
    for (int i = 0; i < 20; ++i) {
      const RouteRequest request = Request();
      const Candidate first = policy->Choose(request, views, random).candidates()[0];
      policy->OnDispatched(views[first.index], request, 0.1);
      ++chosen[first.index];
    }
  }
  for (const auto& [index, count] : chosen) CHECK(count <= 2 * 320 / 10);
}

// Guards against affinity that is lost, or that outweighs a much longer queue.
TEST_CASE("a cached prefix is preferred unless the queue is much longer") {
  struct Row {
    const char* name;
    const char* policy;
    Duration delay;  // at the endpoint with the prefix
    double low, high;
  };
  const Row rows[] = {{"prefix wins", "owner_permits_affinity", {}, 0.9, 1},
                      {"queue outweighs the prefix", "owner_permits_affinity", seconds(2), 0, 0.01},
                      {"no affinity", "owner_permits", {}, 0, 0.3}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      SeededRandom random(1);
      std::vector<EndpointView> views = MakeViews();
      std::vector<Digest> blocks;
      for (Digest i = 1; i <= 30; ++i) blocks.push_back(i);
      RouteRequest request = Request(8'000);
      request.prefix_blocks = blocks;
      const auto policy = MakePolicy(row.policy, {});
      policy->OnDispatched(views[4], request, 0);
      views[4].queue_delay.fill(row.delay);
      int chosen = 0;
      for (int i = 0; i < 500; ++i) {
        const Candidate first = policy->Choose(request, views, random).candidates()[0];
        if (first.index == 4) ++chosen;
        if (first.index == 4 && row.high == 1) CHECK(first.cached_tokens == 30 * 256);
      }
      CHECK(chosen / 500.0 >= row.low);
      CHECK(chosen / 500.0 <= row.high);
    }
  }
}

// Guards against a request that queues at a busy endpoint although another one is free, and against
// an endless sequence of permit requests.
TEST_CASE("each candidate is asked once, then the one with the shortest wait") {
  struct Row {
    const char* name;
    std::vector<int> waits;  // ms reported by each candidate; 0: refused for another reason
    std::vector<std::size_t> asked;
  };
  const Row rows[] = {{"none", {}, {}},
                      {"only one", {90}, {0, 0}},
                      {"shortest wait is asked again", {90, 60, 80}, {0, 1, 2, 1}},
                      {"refusals for other reasons", {0, 0}, {0, 1}},
                      {"mixed", {0, 70, 0}, {0, 1, 2, 1}}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      std::vector<Candidate> candidates(row.waits.size());
      for (std::size_t i = 0; i < candidates.size(); ++i) candidates[i].index = i;
      CandidateSequence sequence(candidates, milliseconds(50));
      std::vector<std::size_t> asked;
      while (const auto next = sequence.Next()) {
        asked.push_back(next->candidate.index);
        const bool limited = candidates.size() > 1 && asked.size() <= candidates.size();
        CHECK(next->redirect_above == (limited ? milliseconds(50) : Duration::zero()));
        if (asked.size() > candidates.size()) continue;
        const int wait = row.waits[asked.size() - 1];
        if (wait > 0) sequence.OnBusy(milliseconds(wait));
      }
      CHECK(asked == row.asked);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::routing
