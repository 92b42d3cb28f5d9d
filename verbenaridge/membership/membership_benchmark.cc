// Measures the traffic and the CPU time of membership by number of members. Prints one line per
// number and the slopes between the smallest and the largest.
#include <chrono>
#include <cstdio>
#include <ctime>
#include <vector>

#include "verbenaridge/membership/simulated_fleet.h"

namespace verbenaridge::membership {
namespace {

constexpr double kMeasuredSeconds = 60;

struct Measurement {
  double members = 0;
  double bytes_per_second = 0;      // sent per daemon
  double datagrams_per_second = 0;  // sent per daemon
  double cpu_us_per_second = 0;     // per daemon: ticks and received datagrams
};

Measurement Measure(std::size_t members) {
  SimulatedFleet fleet(members, 5, 1);
  // Long enough for the updates from the start to leave the gossip queues.
  fleet.Run(std::chrono::seconds(members < 100 ? 120 : 450));
  const std::size_t bytes = fleet.bytes();
  const std::size_t datagrams = fleet.datagrams();
  const std::clock_t start = std::clock();
  fleet.Run(FromSeconds(kMeasuredSeconds));
  const double elapsed = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  const double daemons = static_cast<double>(members) * kMeasuredSeconds;
  return {static_cast<double>(members), static_cast<double>(fleet.bytes() - bytes) / daemons,
          static_cast<double>(fleet.datagrams() - datagrams) / daemons, elapsed * 1e6 / daemons};
}

}  // namespace
}  // namespace verbenaridge::membership

int main() {
  using verbenaridge::membership::Measurement;
  std::vector<Measurement> rows;
  std::puts("members,bytes_per_second,datagrams_per_second,cpu_us_per_second,cpu_us_per_tick");
  for (const std::size_t members : {5, 15, 30, 60, 380}) {
    const Measurement row = verbenaridge::membership::Measure(members);
    std::printf("%.0f,%.0f,%.2f,%.1f,%.2f\n", row.members, row.bytes_per_second,
                row.datagrams_per_second, row.cpu_us_per_second, row.cpu_us_per_second / 10);
    rows.push_back(row);
  }
  const double span = rows.back().members - rows.front().members;
  std::printf("slope: %.2f bytes/s and %.3f us/s of CPU per member\n",
              (rows.back().bytes_per_second - rows.front().bytes_per_second) / span,
              (rows.back().cpu_us_per_second - rows.front().cpu_us_per_second) / span);
  return 0;
}
