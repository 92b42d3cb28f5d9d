// Reads trace files: one request a line, as a JSON object or, after a line of column names, as
// comma-separated values.
//
//   time,client_account,priority,prompt_tokens,output_tokens,operation,target
//   0.25,kaori-01,urgent,1200,40,complete,m
#ifndef VERBENARIDGE_LOADTOOL_TRACE_FILE_H_
#define VERBENARIDGE_LOADTOOL_TRACE_FILE_H_

#include <istream>
#include <string>
#include <vector>

#include "verbenaridge/base/units.h"

namespace verbenaridge::loadtool {

struct TraceRow {
  double time = 0;  // seconds from the start
  std::string client_account;
  Priority priority = Priority::kStandard;
  TokenCount prompt_tokens = 0;
  TokenCount output_tokens = 0;
  std::string operation = "complete";  // otherwise an operation of the service `target`
  std::string target = "m";            // model or service
  double deadline_ms = 0;              // 0: none
};

// Returns the rows sorted by time. On a malformed line, `error` names it and the rows before it are
// returned.
std::vector<TraceRow> ReadTrace(std::istream& in, std::string& error);

}  // namespace verbenaridge::loadtool

#endif  // VERBENARIDGE_LOADTOOL_TRACE_FILE_H_
