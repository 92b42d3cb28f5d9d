#include "verbenaridge/directory/refresh_schedule.h"

#include <algorithm>

namespace verbenaridge::directory {
namespace {

// One reading is told by several peers, each with the delay of its way.
constexpr Duration kSameReading = std::chrono::milliseconds(30);

}  // namespace

RefreshSchedule::RefreshSchedule(const RefreshOptions& options, RandomSource& random, TimePoint now)
    : options_(options), random_(random), due_(now) {}

void RefreshSchedule::PutOff(TimePoint now) {
  due_ = now + options_.interval + FromSeconds(ToSeconds(options_.spread) * random_.Uniform());
}

void RefreshSchedule::OnStarted(TimePoint /*now*/) {
  running_ = true;
  again_ = false;
}

void RefreshSchedule::OnRead(TimePoint now) {
  running_ = false;
  failures_ = 0;
  fresh_ = now;
  PutOff(now);
  if (again_) due_ = now;
}

void RefreshSchedule::OnFailed(TimePoint now) {
  running_ = false;
  ++failures_;
  const int doublings = std::min(failures_ - 1, 8);
  const Duration wait = std::min(options_.first_retry * (1 << doublings), options_.longest_retry);
  due_ = now + FromSeconds(ToSeconds(wait) * (0.5 + random_.Uniform()));
}

bool RefreshSchedule::OnPeerRead(TimePoint when, TimePoint now) {
  if (when <= fresh_ + kSameReading) return false;
  fresh_ = when;
  if (running_) return true;
  if (failures_ == 0) {
    PutOff(when);
  } else {
    // The store turns this host away and serves others, which tell it what they read.
    due_ = std::max(
        due_, now + FromSeconds(ToSeconds(options_.longest_retry) * (0.5 + random_.Uniform())));
  }
  return true;
}

void RefreshSchedule::OnPeerDiffers(TimePoint now) {
  if (running_) {
    again_ = true;
  } else if (failures_ == 0) {
    due_ = now;
  }
}

}  // namespace verbenaridge::directory
