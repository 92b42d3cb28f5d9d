// Results of a run: the check of token texts, the summary table, CSV and histograms.
#ifndef VERBENARIDGE_LOADTOOL_RESULTS_H_
#define VERBENARIDGE_LOADTOOL_RESULTS_H_

#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/loadtool/trace_file.h"

namespace verbenaridge::loadtool {

struct Record {
  TraceRow row;
  double start_s = 0;
  double first_token_ms = -1;  // -1: no token
  double total_ms = 0;
  int status = 0;
  std::string outcome;  // "completed", the problem's title, or the transport's error
  TokenCount tokens = 0;
  TokenCount lost = 0;
  TokenCount doubled = 0;
  TokenCount crossed = 0;
  std::vector<float> gaps_ms;

  bool in_time() const {
    return outcome == "completed" && (row.deadline_ms <= 0 || total_ms <= row.deadline_ms);
  }
};

// Checks the texts of a fake endpoint's tokens ("r:0 r:1 ") against the request id. The engine may
// know the request by a longer id that ends in the caller's.
class TokenChecker {
 public:
  TokenChecker(std::string request_id, Record& record)
      : request_id_(std::move(request_id)), record_(record) {}

  // Takes text with any number of whole tokens.
  void Take(std::string_view text);

  // Counts the tokens that should have come until `expected`.
  void Finish(TokenCount expected);

 private:
  const std::string request_id_;
  Record& record_;
  TokenCount next_ = 0;
};

// Value at the quantile `q` of unsorted values; 0 for none.
double Quantile(std::vector<double> values, double q);

void WriteCsv(std::ostream& out, std::span<const Record> records);
void WriteSummary(std::ostream& out, std::span<const Record> records, double seconds);

// Histograms of the time to first token and of the gaps, with logarithmic classes.
void WriteSvg(std::ostream& out, std::span<const Record> records);

}  // namespace verbenaridge::loadtool

#endif  // VERBENARIDGE_LOADTOOL_RESULTS_H_
