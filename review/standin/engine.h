// An engine that reads prompts and writes events in passes, as PROTOCOL.md describes it.
//
//   Engine engine(kSheetTiming);
//   std::shared_ptr<Engine::Job> job = engine.Add({.prompt_tokens = 5000, .events = 30});
//   while (job->WaitForEvent()) Send(...);
//   engine.Remove(job);
#ifndef VERBENARIDGE_REVIEW_STANDIN_ENGINE_H_
#define VERBENARIDGE_REVIEW_STANDIN_ENGINE_H_

#include <condition_variable>
#include <cstddef>
#include <list>
#include <memory>
#include <mutex>

namespace review {

// In milliseconds and tokens, as the sheets give them.
struct EngineTiming {
  std::size_t slots = 16;
  int stride = 43;
  double step_ms = 1.02;
  double per_sequence_ms = 0.00226;
  double context_per_k_ms = 0.00431;
  double read_per_ms = 206;
  double pairs_per_m_ms = 0.138;
  double chunk = 2048;
};

struct JobOptions {
  double prompt_tokens = 0;
  double context_tokens = 0;  // that the request occupies when it writes
  // Tokens of the prompt before these. The parts of a prompt that engines share have equal shares
  // of its pairs of tokens, so each one stands in the middle.
  double first_token = 0;
  int events = 0;  // zero: a part that is read for another engine
};

class Engine {
 public:
  class Job {
   public:
    // Waits until the engine has read the prompt. False if the job was removed.
    bool WaitUntilRead();
    // Waits for the next event. False after the last one or if the job was removed.
    bool WaitForEvent();

   private:
    friend class Engine;
    JobOptions options_;
    double read_ = 0;  // tokens
    int written_ = 0;  // events
    int taken_ = 0;
    bool writing_ = false;
    bool removed_ = false;
    Engine* engine_ = nullptr;
  };

  explicit Engine(const EngineTiming& timing);

  // `hold`: the first token waits until Release, because other engines still read their parts.
  std::shared_ptr<Job> Add(const JobOptions& options, bool hold);
  void Release(const std::shared_ptr<Job>& job);
  void Remove(const std::shared_ptr<Job>& job);
  // Requests here, with those that wait for a slot.
  std::size_t jobs();

 private:
  void Run();
  // Milliseconds of the next pass, whose reads are done at its end.
  double Pass();
  double ReadChunk();

  const EngineTiming timing_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::list<std::shared_ptr<Job>> jobs_;  // by arrival; parts for other engines first
  std::list<std::shared_ptr<Job>> held_;
};

}  // namespace review

#endif  // VERBENARIDGE_REVIEW_STANDIN_ENGINE_H_
