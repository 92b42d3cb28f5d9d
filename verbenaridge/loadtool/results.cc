#include "verbenaridge/loadtool/results.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <map>

namespace verbenaridge::loadtool {
namespace {

struct LengthClass {
  const char* name;
  TokenCount up_to;
};
constexpr std::array<LengthClass, 4> kLengthClasses = {{{"up to 4k", 4'000},
                                                        {"4k to 16k", 16'000},
                                                        {"16k to 100k", 100'000},
                                                        {"over 100k", 100'000'000}}};

template <class... Args>
std::string Format(const char* format, Args... args) {
  std::array<char, 256> text{};
  std::snprintf(text.data(), text.size(), format, args...);
  return text.data();
}

std::string Quantiles(const std::vector<double>& values) {
  return Format("%8zu %10.2f %10.2f %10.2f", values.size(), Quantile(values, 0.5),
                Quantile(values, 0.95), Quantile(values, 0.99));
}

std::vector<double> AllGaps(std::span<const Record> records) {
  std::vector<double> gaps;
  for (const Record& record : records) {
    gaps.insert(gaps.end(), record.gaps_ms.begin(), record.gaps_ms.end());
  }
  return gaps;
}

std::vector<double> FirstTokens(std::span<const Record> records, TokenCount above,
                                TokenCount up_to) {
  std::vector<double> values;
  for (const Record& record : records) {
    const TokenCount tokens = record.row.prompt_tokens;
    if (record.first_token_ms >= 0 && tokens > above && tokens <= up_to) {
      values.push_back(record.first_token_ms);
    }
  }
  return values;
}

void WriteShares(std::ostream& out, std::span<const Record> records) {
  out << "\npriority      requests   in time\n";
  for (const Priority priority : kAllPriorities) {
    std::size_t all = 0;
    std::size_t in_time = 0;
    for (const Record& record : records) {
      if (record.row.priority != priority) continue;
      ++all;
      in_time += record.in_time() ? 1 : 0;
    }
    if (all == 0) continue;
    out << Format("%-12s %9zu %8.2f%%\n", std::string(PriorityName(priority)).c_str(), all,
                  100.0 * static_cast<double>(in_time) / static_cast<double>(all));
  }
  struct Share {
    std::size_t requests = 0;
    std::size_t completed = 0;
    TokenCount tokens = 0;
  };
  std::map<std::string, Share> accounts;
  TokenCount all_tokens = 0;
  for (const Record& record : records) {
    Share& share = accounts[record.row.client_account];
    ++share.requests;
    share.completed += record.outcome == "completed" ? 1 : 0;
    share.tokens += record.tokens;
    all_tokens += record.tokens;
  }
  out << "\nclient account         requests  completed  share of tokens\n";
  for (const auto& [name, share] : accounts) {
    out << Format(
        "%-22s %8zu %9.2f%% %15.2f%%\n", name.c_str(), share.requests,
        100.0 * static_cast<double>(share.completed) / static_cast<double>(share.requests),
        100.0 * static_cast<double>(share.tokens) /
            static_cast<double>(std::max<TokenCount>(1, all_tokens)));
  }
}

void WriteHistogram(std::ostream& out, const std::vector<double>& values, const char* title,
                    int top) {
  constexpr int kClassesPerDecade = 4;
  constexpr int kClasses = 6 * kClassesPerDecade;  // 0.1 ms to 100 s
  constexpr int kWidth = 24;
  constexpr int kHeight = 160;
  std::array<std::size_t, kClasses> counts{};
  for (const double value : values) {
    const double place = (std::log10(std::max(value, 0.1)) + 1) * kClassesPerDecade;
    ++counts.at(static_cast<std::size_t>(std::clamp(static_cast<int>(place), 0, kClasses - 1)));
  }
  const std::size_t most =
      std::max<std::size_t>(1, *std::max_element(counts.begin(), counts.end()));
  out << Format("<text x=\"10\" y=\"%d\">%s (%zu values)</text>\n", top + 14, title, values.size());
  for (int i = 0; i < kClasses; ++i) {
    const double share =
        static_cast<double>(counts.at(static_cast<std::size_t>(i))) / static_cast<double>(most);
    const double height = share * kHeight;
    out << Format("<rect x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" fill=\"#47a\"/>\n",
                  10 + i * kWidth, top + 20 + kHeight - height, kWidth - 2, height);
    if (i % kClassesPerDecade != 0) continue;
    out << Format("<text x=\"%d\" y=\"%d\">%g ms</text>\n", 10 + i * kWidth, top + 36 + kHeight,
                  std::pow(10.0, static_cast<double>(i) / kClassesPerDecade - 1));
  }
}

}  // namespace

void TokenChecker::Take(std::string_view text) {
  while (!text.empty()) {
    const std::size_t space = text.find(' ');
    const std::string_view token = text.substr(0, space);
    text.remove_prefix(space == std::string_view::npos ? text.size() : space + 1);
    ++record_.tokens;
    const std::size_t colon = token.rfind(':');
    TokenCount index = -1;
    if (colon != std::string_view::npos) {
      std::from_chars(token.data() + colon + 1, token.data() + token.size(), index);
    }
    if (index < 0 || !token.substr(0, colon).ends_with(request_id_)) {
      ++record_.crossed;
    } else if (index < next_) {
      ++record_.doubled;
    } else {
      record_.lost += index - next_;
      next_ = index + 1;
    }
  }
}

void TokenChecker::Finish(TokenCount expected) {
  record_.lost += std::max<TokenCount>(0, expected - next_);
  next_ = std::max(next_, expected);
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::size_t>(std::lround(q * static_cast<double>(values.size() - 1)));
  const auto place = values.begin() + static_cast<std::ptrdiff_t>(at);
  std::nth_element(values.begin(), place, values.end());
  return values[at];
}

void WriteCsv(std::ostream& out, std::span<const Record> records) {
  out << "start_s,client_account,priority,prompt_tokens,output_tokens,operation,target,status,"
         "outcome,first_token_ms,total_ms,tokens,lost,doubled,crossed,max_gap_ms\n";
  for (const Record& record : records) {
    const auto gap = std::max_element(record.gaps_ms.begin(), record.gaps_ms.end());
    out << Format("%.4f,", record.start_s) << record.row.client_account << ','
        << PriorityName(record.row.priority) << ',' << record.row.prompt_tokens << ','
        << record.row.output_tokens << ',' << record.row.operation << ',' << record.row.target
        << ',' << record.status << ',' << record.outcome
        << Format(",%.3f,%.3f,", record.first_token_ms, record.total_ms) << record.tokens << ','
        << record.lost << ',' << record.doubled << ',' << record.crossed
        << Format(",%.3f\n", gap == record.gaps_ms.end() ? 0.0 : static_cast<double>(*gap));
  }
}

void WriteSummary(std::ostream& out, std::span<const Record> records, double seconds) {
  TokenCount tokens = 0;
  TokenCount lost = 0;
  TokenCount doubled = 0;
  TokenCount crossed = 0;
  std::map<std::string, std::size_t> outcomes;
  for (const Record& record : records) {
    tokens += record.tokens;
    lost += record.lost;
    doubled += record.doubled;
    crossed += record.crossed;
    ++outcomes[record.outcome];
  }
  out << Format("%zu requests in %.2f s: %.1f requests/s, %.1f tokens/s\n", records.size(), seconds,
                static_cast<double>(records.size()) / seconds,
                static_cast<double>(tokens) / seconds);
  out << "\ntime to first token (ms)  count        p50        p95        p99\n";
  TokenCount above = 0;
  for (const LengthClass& length : kLengthClasses) {
    const auto values = FirstTokens(records, above, length.up_to);
    above = length.up_to;
    if (!values.empty()) out << Format("%-22s ", length.name) << Quantiles(values) << '\n';
  }
  out << Format("%-22s ", "gaps between tokens") << Quantiles(AllGaps(records)) << '\n';
  WriteShares(out, records);
  out << "\noutcome                     requests\n";
  for (const auto& [name, count] : outcomes) out << Format("%-26s %9zu\n", name.c_str(), count);
  out << Format("\ntokens: %lld received, %lld lost, %lld doubled, %lld crossed\n",
                static_cast<long long>(tokens), static_cast<long long>(lost),
                static_cast<long long>(doubled), static_cast<long long>(crossed));
}

void WriteSvg(std::ostream& out, std::span<const Record> records) {
  constexpr TokenCount kAny = 1'000'000'000;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"600\" height=\"460\" "
         "font-family=\"sans-serif\" font-size=\"12\">\n";
  WriteHistogram(out, FirstTokens(records, 0, kAny), "time to first token", 0);
  WriteHistogram(out, AllGaps(records), "gaps between tokens", 225);
  out << "</svg>\n";
}

}  // namespace verbenaridge::loadtool
