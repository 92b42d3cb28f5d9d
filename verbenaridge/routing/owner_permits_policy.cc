#include "verbenaridge/routing/owner_permits_policy.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "verbenaridge/base/rendezvous.h"

namespace verbenaridge::routing {

double OwnerPermitsPolicy::PendingCost(const EndpointView& view, TimePoint now) const {
  const auto found = pending_.find(view.key);
  if (found == pending_.end()) return 0;
  const double age = ToSeconds(now - found->second.at) / ToSeconds(options_.report_lag);
  return found->second.cost * std::exp(-age);
}

Candidate OwnerPermitsPolicy::Predict(const EndpointView& view, std::size_t index,
                                      const RouteRequest& request,
                                      std::span<const PrefixMatch> matches) const {
  TokenCount cached = 0;
  const auto match =
      std::lower_bound(matches.begin(), matches.end(), view.key,
                       [](const PrefixMatch& entry, Digest key) { return entry.endpoint < key; });
  if (match != matches.end() && match->endpoint == view.key) {
    const auto tokens = match->blocks * static_cast<double>(options_.block_tokens);
    cached = std::min(request.prompt_tokens, static_cast<TokenCount>(tokens));
  }
  const TokenCount uncached = request.prompt_tokens - cached;
  const double prefill = static_cast<double>(uncached) / std::max(view.prefill_rate, 1.0);
  const Duration queue =
      view.queue_delay[Rank(request.priority)] + FromSeconds(PendingCost(view, request.now));
  Candidate candidate{.index = index,
                      .first_token = queue + FromSeconds(prefill),
                      .queue_delay = queue,
                      .cached_tokens = cached};
  const ByteCount kv =
      (request.prompt_tokens + request.max_output_tokens) * view.kv_bytes_per_token;
  if (kv > view.free_kv_bytes) candidate.first_token += options_.memory_penalty;
  const bool is_long = uncached > options_.long_prompt_tokens;
  if (!is_long && view.long_prefills > 0) candidate.first_token += options_.long_penalty;
  // A second long prefill waits for the first one.
  if (is_long && view.long_prefills > 0) {
    candidate.first_token += FromSeconds(prefill * static_cast<double>(view.long_prefills));
  }
  candidate.spilled = view.data_centre != request.data_centre;
  if (candidate.spilled) candidate.first_token += options_.spill_cost;
  return candidate;
}

// Restricts long prompts to the endpoints of their share. Another endpoint is lent only if it
// starts the prompt more than `lend_gain` sooner. Its owner may revoke a lent stream.
void OwnerPermitsPolicy::RestrictToLongShare(const RouteRequest& request,
                                             std::span<const EndpointView> views,
                                             std::vector<Candidate>& local) const {
  if (request.prompt_tokens <= options_.long_prompt_tokens || local.size() < 2) return;
  std::vector<std::pair<double, std::size_t>> ranked;
  ranked.reserve(local.size());
  for (std::size_t i = 0; i < local.size(); ++i) {
    ranked.emplace_back(RendezvousScore(request.model, views[local[i].index].key, 1), i);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  const auto count = static_cast<double>(ranked.size());
  const auto home = static_cast<std::size_t>(std::ceil(options_.long_share * count));
  std::size_t running_long = 0;
  for (const Candidate& candidate : local) {
    if (views[candidate.index].long_prefills > 0) ++running_long;
  }
  const bool may_lend = static_cast<double>(running_long) < options_.max_long_share * count;
  Duration best_home = Duration::max();
  for (std::size_t i = 0; i < home; ++i) {
    best_home = std::min(best_home, local[ranked[i].second].first_token);
  }
  std::vector<Candidate> kept;
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    Candidate candidate = local[ranked[i].second];
    candidate.lent = i >= home;
    if (!candidate.lent || (may_lend && candidate.first_token + options_.lend_gain < best_home)) {
      kept.push_back(candidate);
    }
  }
  local = std::move(kept);
}

bool OwnerPermitsPolicy::MaySpill(const RouteRequest& request, std::span<const Candidate> local) {
  spill_tokens_ =
      std::min(options_.spill_burst, spill_tokens_ + ToSeconds(request.now - spill_refilled_) *
                                                         options_.spill_per_second);
  spill_refilled_ = request.now;
  if (spill_tokens_ < 1) return false;
  for (const Candidate& candidate : local) {
    if (candidate.queue_delay <= options_.spill_above[Rank(request.priority)]) return false;
  }
  return true;
}

// Weighted draw without replacement: takes the candidates with the smallest -ln(u) / w.
void OwnerPermitsPolicy::Draw(std::vector<Candidate>& candidates, RandomSource& random,
                              RouteDecision& decision) const {
  if (candidates.empty()) return;
  const auto sooner = [](const Candidate& a, const Candidate& b) {
    return a.first_token < b.first_token;
  };
  const Duration best = std::min_element(candidates.begin(), candidates.end(), sooner)->first_token;
  std::vector<std::pair<double, std::size_t>> keys;
  keys.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double late = ToSeconds(candidates[i].first_token - best) / ToSeconds(options_.spread);
    // Uses the logarithm of the key, because a weight of e^-late underflows for slow endpoints.
    const double log_key = std::log(-std::log(std::max(random.Uniform(), 1e-300))) + late;
    keys.emplace_back(log_key, i);
  }
  const std::size_t count = std::min(RouteDecision::kMaxCandidates, keys.size());
  std::partial_sort(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(count), keys.end());
  for (std::size_t i = 0; i < count; ++i) decision.Add(candidates[keys[i].second]);
}

RouteDecision OwnerPermitsPolicy::Choose(const RouteRequest& request,
                                         std::span<const EndpointView> views,
                                         RandomSource& random) {
  std::vector<PrefixMatch> matches;
  if (affinity_) matches = prefixes_.Match(request.prefix_blocks, request.now);
  const auto predict = [&](bool here) {
    std::vector<Candidate> found;
    for (std::size_t i = 0; i < views.size(); ++i) {
      if ((views[i].data_centre == request.data_centre) != here) continue;
      if (!Eligible(views[i], request, options_.kv_fill)) continue;
      found.push_back(Predict(views[i], i, request, matches));
    }
    return found;
  };
  std::vector<Candidate> local = predict(true);
  RestrictToLongShare(request, views, local);
  RouteDecision decision;
  if (local.empty()) {
    // No endpoint of this data centre can serve the request, so another data centre treats it like
    // its own requests.
    local = predict(false);
    for (Candidate& candidate : local) candidate.spilled = false;
  } else if (MaySpill(request, local)) {
    // Other data centres accept spilled requests only at endpoints without a queue.
    std::vector<Candidate> remote = predict(false);
    std::erase_if(remote, [&](const Candidate& candidate) {
      return candidate.queue_delay > options_.spill_accept_delay;
    });
    if (!remote.empty()) spill_tokens_ -= 1;
    local.insert(local.end(), remote.begin(), remote.end());
  }
  Draw(local, random, decision);
  if (decision.candidates().empty()) {
    decision.failure = ExplainFailure(request, views, options_.kv_fill);
  }
  return decision;
}

void OwnerPermitsPolicy::OnDispatched(const EndpointView& view, const RouteRequest& request,
                                      double cost_seconds) {
  Pending& pending = pending_[view.key];
  pending = {.cost = PendingCost(view, request.now) + cost_seconds, .at = request.now};
  if (affinity_) prefixes_.OnDispatched(view.key, request.prefix_blocks, request.now);
}

void OwnerPermitsPolicy::OnCacheEvent(Digest endpoint, const CacheEvent& event, TimePoint now) {
  if (affinity_) prefixes_.OnCacheEvent(endpoint, event, now);
}

}  // namespace verbenaridge::routing
