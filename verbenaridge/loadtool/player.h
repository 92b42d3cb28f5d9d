// Plays requests against daemons or one endpoint and records what came back.
#ifndef VERBENARIDGE_LOADTOOL_PLAYER_H_
#define VERBENARIDGE_LOADTOOL_PLAYER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "verbenaridge/loadtool/results.h"
#include "verbenaridge/loadtool/trace_file.h"
#include "verbenaridge/net/http_client.h"

namespace verbenaridge::loadtool {

struct PlayerOptions {
  std::vector<std::string> targets;         // base URLs, used in turn
  std::map<std::string, std::string> keys;  // bearer key by client account
  std::string default_key = "k1";
  bool direct = false;      // targets are endpoints, not daemons
  bool check_texts = true;  // the engines are fakes, whose texts are known
  double speed = 1;         // trace seconds per second
  std::size_t max_requests = 1'000'000;
  double max_seconds = 600;  // nothing starts later
  Duration request_timeout = std::chrono::seconds(300);
  std::string run_id;  // prefix of request ids, unique among runs
};

class Player {
 public:
  Player(asio::io_context& io_context, net::HttpClient& http, PlayerOptions options);

  // Starts each row at its time, whatever the state of the others.
  void PlayTrace(std::vector<TraceRow> rows);

  // Keeps `streams` requests like `row` running until `requests` have started.
  void PlayClosedLoop(const TraceRow& row, std::size_t streams, std::size_t requests);

  // False while requests run or wait for their time.
  bool finished() const { return running_ == 0 && next_ >= planned_; }

  std::size_t running() const { return running_; }
  const std::vector<Record>& records() const { return records_; }
  double elapsed_s() const;

 private:
  class Exchange;

  void StartDue();
  void StartNextOfLoop();
  void StartRequest(const TraceRow& row);
  net::HttpRequest MakeRequest(const TraceRow& row, const std::string& request_id);
  void OnEnd(Record record);

  asio::io_context& io_context_;
  net::HttpClient& http_;
  const PlayerOptions options_;
  asio::steady_timer timer_;
  std::chrono::steady_clock::time_point start_;
  std::vector<TraceRow> rows_;
  bool closed_loop_ = false;
  std::size_t planned_ = 0;
  std::size_t next_ = 0;
  std::size_t running_ = 0;
  std::vector<Record> records_;
};

}  // namespace verbenaridge::loadtool

#endif  // VERBENARIDGE_LOADTOOL_PLAYER_H_
