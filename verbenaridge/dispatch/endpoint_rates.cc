#include "verbenaridge/dispatch/endpoint_rates.h"

#include <algorithm>
#include <cmath>

namespace verbenaridge::dispatch {
namespace {

// An endpoint that names a lower limit, or zero, still gets this, so that its limit can end.
constexpr RequestsPerSecond kMinLimit = 0.2;

class TokenBucket {
 public:
  TokenBucket(double tokens, TimePoint now) : tokens_(tokens), updated_(now) {}

  double Tokens(RequestsPerSecond rate, double capacity, TimePoint now) const {
    return std::min(tokens_ + rate * ToSeconds(now - updated_), std::max(capacity, 1.0));
  }

  void Take(RequestsPerSecond rate, double capacity, Duration max_debt, TimePoint now) {
    const double lowest = -std::max(rate * ToSeconds(max_debt), 1.0);
    tokens_ = std::max(Tokens(rate, capacity, now) - 1, lowest);
    updated_ = now;
  }

 private:
  double tokens_;  // at `updated_`
  TimePoint updated_;
};

}  // namespace

class EndpointRates::NamedLimitRule final : public RateRule {
 public:
  NamedLimitRule(const EndpointRatesOptions& options, RequestsPerSecond limit, double tokens,
                 TimePoint now)
      : options_(options), limit_(limit), bucket_(tokens, now), confirmed_(now) {}

  bool MayStart(double share, TimePoint now) const override {
    return bucket_.Tokens(rate(share), Capacity(share), now) >= 1;
  }
  void OnStart(double share, TimePoint now) override {
    bucket_.Take(rate(share), Capacity(share), options_.max_debt, now);
  }
  RequestsPerSecond rate(double share) const override { return limit_ * share; }
  bool HasEnded(TimePoint now) const override {
    return now - confirmed_ >
           options_.retention + FromSeconds(options_.retention_requests / limit_);
  }

  void Confirm(RequestsPerSecond limit, double share, TimePoint now) {
    bucket_ = TokenBucket(bucket_.Tokens(rate(share), Capacity(share), now), now);
    limit_ = limit;
    confirmed_ = now;
  }
  RequestsPerSecond limit() const { return limit_; }
  TimePoint reported() const { return reported_; }
  void SetReported(TimePoint now) { reported_ = now; }

 private:
  double Capacity(double share) const { return rate(share) * ToSeconds(options_.max_burst); }

  const EndpointRatesOptions options_;
  RequestsPerSecond limit_;
  TokenBucket bucket_;
  TimePoint confirmed_;
  TimePoint reported_{};
};

class EndpointRates::ColdRule final : public RateRule {
 public:
  ColdRule(const EndpointRatesOptions& options, const ColdRate& cold, double tokens, TimePoint now)
      : options_(options), cold_(cold), bucket_(tokens, now), ends_(now + cold.duration) {}

  bool MayStart(double share, TimePoint now) const override {
    return bucket_.Tokens(rate(share), cold_.burst * share, now) >= 1;
  }
  void OnStart(double share, TimePoint now) override {
    bucket_.Take(rate(share), cold_.burst * share, options_.max_debt, now);
  }
  RequestsPerSecond rate(double share) const override { return cold_.rate * share; }
  bool HasEnded(TimePoint now) const override { return now >= ends_; }

  void Extend(TimePoint ends) { ends_ = std::max(ends_, ends); }

 private:
  const EndpointRatesOptions options_;
  const ColdRate cold_;
  TokenBucket bucket_;
  TimePoint ends_;
};

class EndpointRates::PauseRule final : public RateRule {
 public:
  explicit PauseRule(TimePoint ends) : ends_(ends) {}

  bool MayStart(double /*share*/, TimePoint now) const override { return HasEnded(now); }
  void OnStart(double /*share*/, TimePoint /*now*/) override {}
  RequestsPerSecond rate(double /*share*/) const override { return 0; }
  bool HasEnded(TimePoint now) const override { return now >= ends_; }

  void Extend(TimePoint ends) { ends_ = std::max(ends_, ends); }

 private:
  TimePoint ends_;
};

EndpointRates::Rules* EndpointRates::RulesFor(Digest endpoint, TimePoint now) {
  if (rules_.size() >= options_.max_endpoints && !rules_.contains(endpoint)) {
    RemoveEnded(now);
    if (rules_.size() >= options_.max_endpoints) return nullptr;
  }
  return &rules_[endpoint];
}

RateRule* EndpointRates::Find(Digest endpoint, Kind kind, TimePoint now) const {
  const auto found = rules_.find(endpoint);
  if (found == rules_.end()) return nullptr;
  RateRule* const rule = found->second[static_cast<std::size_t>(kind)].get();
  return rule == nullptr || rule->HasEnded(now) ? nullptr : rule;
}

void EndpointRates::Erase(Digest endpoint, Kind kind) {
  const auto found = rules_.find(endpoint);
  if (found != rules_.end()) found->second[static_cast<std::size_t>(kind)] = nullptr;
}

EndpointRates::NamedLimitRule* EndpointRates::Record(Digest endpoint,
                                                     std::optional<RequestsPerSecond> limit,
                                                     TimePoint now) {
  if (!limit || !std::isfinite(*limit)) {
    Erase(endpoint, Kind::kNamed);
    return nullptr;
  }
  const RequestsPerSecond rate = std::max(*limit, kMinLimit);
  if (auto* known = static_cast<NamedLimitRule*>(Find(endpoint, Kind::kNamed, now))) {
    known->Confirm(rate, share_, now);
    return known;
  }
  Rules* const rules = RulesFor(endpoint, now);
  if (rules == nullptr) return nullptr;
  // The requests before the first response are not known, so nothing is saved from that time.
  auto rule = std::make_unique<NamedLimitRule>(options_, rate, FirstTokens(0), now);
  NamedLimitRule* const added = rule.get();
  (*rules)[static_cast<std::size_t>(Kind::kNamed)] = std::move(rule);
  return added;
}

bool EndpointRates::OnResponse(Digest endpoint, std::optional<RequestsPerSecond> limit,
                               TimePoint now) {
  const std::optional<RequestsPerSecond> known = Limit(endpoint, now);
  if (!limit && !known) return false;
  const bool changed = !limit || known != std::max(*limit, kMinLimit);
  NamedLimitRule* const rule = Record(endpoint, limit, now);
  if (rule == nullptr) return true;
  if (!changed && now - rule->reported() < options_.report_interval) return false;
  rule->SetReported(now);
  return true;
}

void EndpointRates::OnReport(Digest endpoint, std::optional<RequestsPerSecond> limit,
                             TimePoint now) {
  Record(endpoint, limit, now);
}

bool EndpointRates::OnCold(Digest endpoint, const ColdRate& cold, TimePoint now) {
  if (auto* known = static_cast<ColdRule*>(Find(endpoint, Kind::kCold, now))) {
    known->Extend(now + cold.duration);
    return false;
  }
  Rules* const rules = RulesFor(endpoint, now);
  if (rules == nullptr) return false;
  (*rules)[static_cast<std::size_t>(Kind::kCold)] =
      std::make_unique<ColdRule>(options_, cold, FirstTokens(cold.burst), now);
  return true;
}

bool EndpointRates::OnPause(Digest endpoint, Duration pause, TimePoint now) {
  if (pause <= Duration{}) return false;
  const double spread = 1 + options_.pause_spread * random_.Uniform();
  const TimePoint ends = now + FromSeconds(ToSeconds(std::min(pause, options_.max_pause)) * spread);
  if (auto* known = static_cast<PauseRule*>(Find(endpoint, Kind::kPause, now))) {
    known->Extend(ends);
    return true;
  }
  Rules* const rules = RulesFor(endpoint, now);
  if (rules == nullptr) return false;
  (*rules)[static_cast<std::size_t>(Kind::kPause)] = std::make_unique<PauseRule>(ends);
  return true;
}

void EndpointRates::OnStart(Digest endpoint, TimePoint now) {
  const auto found = rules_.find(endpoint);
  if (found == rules_.end()) return;
  for (const std::unique_ptr<RateRule>& rule : found->second) {
    if (rule != nullptr) rule->OnStart(share_, now);
  }
}

bool EndpointRates::MayStart(Digest endpoint, TimePoint now) const {
  const auto found = rules_.find(endpoint);
  if (found == rules_.end()) return true;
  const Rules& rules = found->second;
  return std::all_of(rules.begin(), rules.end(), [&](const std::unique_ptr<RateRule>& rule) {
    return rule == nullptr || rule->HasEnded(now) || rule->MayStart(share_, now);
  });
}

bool EndpointRates::IsPaused(Digest endpoint, TimePoint now) const {
  return Find(endpoint, Kind::kPause, now) != nullptr;
}

bool EndpointRates::IsCold(Digest endpoint, TimePoint now) const {
  return Find(endpoint, Kind::kCold, now) != nullptr;
}

std::optional<RequestsPerSecond> EndpointRates::Limit(Digest endpoint, TimePoint now) const {
  const auto* rule = static_cast<const NamedLimitRule*>(Find(endpoint, Kind::kNamed, now));
  return rule == nullptr ? std::nullopt : std::optional(rule->limit());
}

std::optional<RequestsPerSecond> EndpointRates::Share(Digest endpoint, TimePoint now) const {
  std::optional<RequestsPerSecond> lowest;
  for (const Kind kind : {Kind::kNamed, Kind::kCold, Kind::kPause}) {
    const RateRule* const rule = Find(endpoint, kind, now);
    if (rule != nullptr) lowest = std::min(lowest.value_or(rule->rate(share_)), rule->rate(share_));
  }
  return lowest;
}

std::vector<EndpointRates::NamedLimit> EndpointRates::Limits(TimePoint now) const {
  std::vector<NamedLimit> limits;
  for (const auto& [endpoint, rules] : rules_) {
    if (const auto limit = Limit(endpoint, now)) limits.push_back({endpoint, *limit});
  }
  return limits;
}

std::vector<Digest> EndpointRates::RemoveEnded(TimePoint now) {
  std::vector<Digest> warm;
  for (auto& [endpoint, rules] : rules_) {
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      if (rules[kind] == nullptr || !rules[kind]->HasEnded(now)) continue;
      if (kind == static_cast<std::size_t>(Kind::kCold)) warm.push_back(endpoint);
      rules[kind] = nullptr;
    }
  }
  std::erase_if(rules_, [](const auto& entry) {
    return std::all_of(entry.second.begin(), entry.second.end(),
                       [](const auto& rule) { return rule == nullptr; });
  });
  return warm;
}

}  // namespace verbenaridge::dispatch
