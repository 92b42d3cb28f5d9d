#include "verbenaridge/directory/refresh_schedule.h"

#include <algorithm>
#include <cmath>

namespace verbenaridge::directory {
namespace {

// Several peers report the same read, each with its own network delay.
constexpr Duration kSameReadWindow = std::chrono::milliseconds(30);

}  // namespace

RefreshSchedule::RefreshSchedule(const RefreshOptions& options, RandomSource& random, TimePoint now)
    : options_(options), random_(random), due_(now) {}

void RefreshSchedule::ScheduleNext(TimePoint when) {
  if (is_reader_) {
    due_ = when + options_.reader_interval +
           FromSeconds(ToSeconds(options_.reader_jitter) * random_.Uniform());
    return;
  }
  const RefreshIntervals& others = options_.others;
  due_ = when + others.interval +
         FromSeconds(ToSeconds(others.jitter) *
                     std::pow(random_.Uniform(), 1 / std::max(others.jitter_power, 1.0)));
}

void RefreshSchedule::OnReadStarted(TimePoint /*now*/) {
  read_in_progress_ = true;
  reread_ = false;
}

void RefreshSchedule::OnReadSucceeded(TimePoint now) {
  read_in_progress_ = false;
  failures_ = 0;
  is_reader_ = true;
  last_current_ = now;
  ScheduleNext(now);
  if (reread_) due_ = now;
}

void RefreshSchedule::OnReadFailed(TimePoint now) {
  read_in_progress_ = false;
  ++failures_;
  Duration wait = options_.others.retry_delay;
  if (is_reader_) {
    const int doublings = std::min(failures_ - 1, 8);
    wait = std::min(options_.reader_retry_delay * (1 << doublings), wait);
  }
  retry_at_ = now + FromSeconds(ToSeconds(wait) * (0.5 + random_.Uniform()));
  due_ = retry_at_;
}

void RefreshSchedule::OnReadOutdated(TimePoint now) {
  read_in_progress_ = false;
  failures_ = 0;
  due_ = now;
}

void RefreshSchedule::OnOtherReadFailed(TimePoint now) {
  if (!read_in_progress_) OnReadFailed(now);
}

void RefreshSchedule::OnOtherReadSucceeded(TimePoint now) {
  if (read_in_progress_) return;
  retry_at_ = {};
  due_ = now;
}

bool RefreshSchedule::OnPeerRead(TimePoint when) {
  if (when <= last_current_ + kSameReadWindow) return false;
  last_current_ = when;
  is_reader_ = false;
  // Also after failed reads: the store may serve just this host when the reports stop.
  if (!read_in_progress_) ScheduleNext(when);
  return true;
}

void RefreshSchedule::OnPeerDiffers(TimePoint now) {
  if (read_in_progress_) {
    reread_ = true;
  } else {
    due_ = std::max(now, retry_at_);
  }
}

}  // namespace verbenaridge::directory
