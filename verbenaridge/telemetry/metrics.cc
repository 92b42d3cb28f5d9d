#include "verbenaridge/telemetry/metrics.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <concepts>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <span>

namespace verbenaridge::telemetry {
namespace {

constexpr std::string_view kOtherValue = "other";

std::string NumberText(double value) {
  std::array<char, 32> buffer{};
  const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return {buffer.data(), result.ptr};
}

// Escapes a backslash and a line feed, and in label values also a double quote.
std::string Escape(std::string_view text, bool in_label) {
  std::string escaped;
  for (const char character : text) {
    if (character == '\\') {
      escaped += "\\\\";
    } else if (character == '\n') {
      escaped += "\\n";
    } else if (character == '"' && in_label) {
      escaped += "\\\"";
    } else {
      escaped += character;
    }
  }
  return escaped;
}

bool IsValidName(std::string_view name) {
  const auto valid = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
  };
  return !name.empty() && std::all_of(name.begin(), name.end(), valid) &&
         !(name[0] >= '0' && name[0] <= '9');
}

void RequireValid(const MetricOptions& options) {
  bool valid = IsValidName(options.name);
  for (const Label& label : options.labels) valid = valid && IsValidName(label.name);
  if (!valid) std::abort();
}

struct Pair {
  std::string_view name;
  std::string_view value;
};

// Text such as {client_account="a",le="0.5"}; empty without labels.
class LabelText {
 public:
  LabelText(std::span<const Label> labels, std::span<const std::string> values) {
    for (std::size_t i = 0; i < labels.size(); ++i) Append({labels[i].name, values[i]});
  }

  std::string text() const { return pairs_.empty() ? "" : "{" + pairs_ + "}"; }

  std::string With(Pair further) const {
    LabelText extended = *this;
    extended.Append(further);
    return extended.text();
  }

 private:
  void Append(Pair pair) {
    if (!pairs_.empty()) pairs_ += ',';
    pairs_.append(pair.name).append("=\"").append(Escape(pair.value, true)).append("\"");
  }

  std::string pairs_;
};

void AppendHead(std::string& out, std::string_view name, std::string_view help,
                std::string_view type) {
  out.append("# HELP ").append(name).append(" ").append(Escape(help, false)).append("\n");
  out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void AppendSample(std::string& out, const std::string& name, const std::string& labels,
                  const std::string& value) {
  out.append(name).append(labels).append(" ").append(value).append("\n");
}

class AnyFamily {
 public:
  virtual ~AnyFamily() = default;
  virtual void Write(std::string& out) const = 0;
};

std::string_view TypeName(const Counter*) { return "counter"; }
std::string_view TypeName(const Gauge*) { return "gauge"; }
std::string_view TypeName(const Histogram*) { return "histogram"; }

template <class Metric>
class FamilyImpl final : public Family<Metric>, public AnyFamily {
 public:
  using Create = std::function<std::unique_ptr<Metric>()>;

  FamilyImpl(MetricOptions options, Create create)
      : options_(std::move(options)), create_(std::move(create)), known_(options_.labels.size()) {}

  Metric& With(std::initializer_list<std::string_view> values) override {
    if (values.size() != options_.labels.size()) std::abort();
    std::vector<std::string> key(values.begin(), values.end());
    {
      const std::shared_lock lock(mutex_);
      std::vector<std::string> folded = key;
      for (std::size_t i = 0; i < folded.size(); ++i) FoldValue(i, folded[i]);
      const auto found = series_.find(folded);
      if (found != series_.end()) return *found->second;
    }
    const std::unique_lock lock(mutex_);
    for (std::size_t i = 0; i < key.size(); ++i) {
      FoldValue(i, key[i]);
      if (key[i] != kOtherValue) known_[i].insert(key[i]);
    }
    std::unique_ptr<Metric>& metric = series_[std::move(key)];
    if (metric == nullptr) metric = create_();
    return *metric;
  }

  std::size_t label_count() const { return options_.labels.size(); }

  void Write(std::string& out) const override {
    const std::shared_lock lock(mutex_);
    AppendHead(out, options_.name, options_.help, TypeName(static_cast<const Metric*>(nullptr)));
    for (const auto& [values, metric] : series_) {
      WriteSeries(out, LabelText(options_.labels, values), *metric);
    }
    if constexpr (std::same_as<Metric, Histogram>) WriteQuantiles(out);
  }

 private:
  // Replaces a new value by "other" if the label already has `max_values` values.
  void FoldValue(std::size_t label, std::string& value) const {
    const std::set<std::string>& known = known_[label];
    if (known.size() >= options_.labels[label].max_values && !known.contains(value)) {
      value = kOtherValue;
    }
  }

  void WriteSeries(std::string& out, const LabelText& labels, const Counter& metric) const {
    AppendSample(out, options_.name, labels.text(), std::to_string(metric.value()));
  }

  void WriteSeries(std::string& out, const LabelText& labels, const Gauge& metric) const {
    AppendSample(out, options_.name, labels.text(), NumberText(metric.value()));
  }

  void WriteSeries(std::string& out, const LabelText& labels, const Histogram& metric) const {
    const HistogramSnapshot snapshot = metric.Snapshot();
    for (std::size_t i = 0; i < snapshot.buckets.size(); ++i) {
      const bool last = i == metric.bounds().size();
      const std::string bound = last ? "+Inf" : NumberText(metric.bounds()[i]);
      AppendSample(out, options_.name + "_bucket", labels.With({"le", bound}),
                   std::to_string(snapshot.buckets[i]));
    }
    AppendSample(out, options_.name + "_sum", labels.text(), NumberText(snapshot.sum));
    AppendSample(out, options_.name + "_count", labels.text(), std::to_string(snapshot.count));
  }

  void WriteQuantiles(std::string& out) const {
    const std::string name = options_.name + "_quantile";
    AppendHead(out, name, "Estimated quantiles since the start: " + options_.help, "gauge");
    for (const auto& [values, metric] : series_) {
      const LabelText labels(options_.labels, values);
      const HistogramSnapshot snapshot = metric->Snapshot();
      AppendSample(out, name, labels.With({"quantile", "0.5"}), NumberText(snapshot.p50));
      AppendSample(out, name, labels.With({"quantile", "0.95"}), NumberText(snapshot.p95));
      AppendSample(out, name, labels.With({"quantile", "0.99"}), NumberText(snapshot.p99));
    }
  }

  const MetricOptions options_;
  const Create create_;
  mutable std::shared_mutex mutex_;
  std::vector<std::set<std::string>> known_;  // values by label
  std::map<std::vector<std::string>, std::unique_ptr<Metric>> series_;
};

}  // namespace

std::uint64_t Counter::value() const {
  std::uint64_t sum = 0;
  cells_.ForEach([&sum](const Cell& cell) { sum += cell.value.load(std::memory_order_relaxed); });
  return sum;
}

class MetricsRegistry::Impl {
 public:
  template <class Metric>
  Family<Metric>& Add(const MetricOptions& options,
                      typename FamilyImpl<Metric>::Create create_metric) {
    RequireValid(options);
    const std::unique_lock lock(mutex_);
    std::unique_ptr<AnyFamily>& entry = families_[options.name];
    if (entry == nullptr) {
      entry = std::make_unique<FamilyImpl<Metric>>(options, std::move(create_metric));
    }
    auto* const family = dynamic_cast<FamilyImpl<Metric>*>(entry.get());
    if (family == nullptr || family->label_count() != options.labels.size()) std::abort();
    return *family;
  }

  std::string Text() const {
    const std::shared_lock lock(mutex_);
    std::string out;
    for (const auto& [name, family] : families_) family->Write(out);
    return out;
  }

 private:
  mutable std::shared_mutex mutex_;
  std::map<std::string, std::unique_ptr<AnyFamily>> families_;
};

MetricsRegistry::MetricsRegistry() : impl_(std::make_unique<Impl>()) {}
MetricsRegistry::~MetricsRegistry() = default;

Family<Counter>& MetricsRegistry::AddCounter(const MetricOptions& options) {
  return impl_->Add<Counter>(options, [] { return std::make_unique<Counter>(); });
}

Family<Gauge>& MetricsRegistry::AddGauge(const MetricOptions& options) {
  return impl_->Add<Gauge>(options, [] { return std::make_unique<Gauge>(); });
}

Family<Histogram>& MetricsRegistry::AddHistogram(const MetricOptions& options,
                                                 const std::vector<double>& bounds) {
  return impl_->Add<Histogram>(options, [bounds] { return std::make_unique<Histogram>(bounds); });
}

std::string MetricsRegistry::PrometheusText() const { return impl_->Text(); }

}  // namespace verbenaridge::telemetry
