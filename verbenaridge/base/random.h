// Random numbers behind an interface, so that tests and replays are repeatable.
//
//   SeededRandom random(20261204);
//   double jitter = random.Uniform();
#ifndef VERBENARIDGE_BASE_RANDOM_H_
#define VERBENARIDGE_BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace verbenaridge {

// Not thread-safe; each thread has its own source.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  virtual std::uint64_t Next() = 0;

  // Uniform in [0, 1).
  double Uniform() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

  // Uniform in [0, bound). Requires bound > 0.
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }
};

// Repeatable for a given seed on every host.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

// A seed from the operating system.
std::uint64_t RandomSeed();

}  // namespace verbenaridge

#endif  // VERBENARIDGE_BASE_RANDOM_H_
