#include "verbenaridge/directory/evacuations.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <utility>

namespace verbenaridge::directory {
namespace {

constexpr std::size_t kMaxNameBytes = 200;
// Of all names together, each with its length. They are part of each gossip datagram, of which the
// other fields leave about this much.
constexpr std::size_t kMaxViewBytes = 300;

// Returns the number of names for which there is no room. Long ones are the first to go, since data
// centres have short names.
std::size_t Normalize(std::vector<DataCentreId>& names) {
  std::erase_if(names, [](const DataCentreId& name) { return !IsPlausible(name); });
  std::sort(names.begin(), names.end(), [](const DataCentreId& a, const DataCentreId& b) {
    return std::pair(a.value().size(), a) < std::pair(b.value().size(), b);
  });
  names.erase(std::unique(names.begin(), names.end()), names.end());
  std::size_t bytes = 0;
  const auto end = std::find_if(names.begin(), names.end(), [&](const DataCentreId& name) {
    bytes += 1 + name.value().size();
    return bytes > kMaxViewBytes;
  });
  const auto dropped = static_cast<std::size_t>(names.end() - end);
  names.erase(end, names.end());
  std::sort(names.begin(), names.end());
  return dropped;
}

}  // namespace

bool IsPlausible(const DataCentreId& data_centre) {
  const std::string& name = data_centre.value();
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return static_cast<unsigned char>(c) > ' ' && c != 0x7f; });
}

std::vector<EvacuationChange> Evacuations::Replace(EvacuationView view) {
  if (view.position <= view_.position) return {};
  dropped_ = Normalize(view.data_centres);
  if (known() && view.position.era > view_.position.era) lost_ = in_force_;
  std::erase_if(lost_, [&](const DataCentreId& name) {
    return std::binary_search(view.data_centres.begin(), view.data_centres.end(), name);
  });
  view_ = std::move(view);
  return UpdateInForce();
}

std::vector<EvacuationChange> Evacuations::ForgetLost() {
  lost_.clear();
  return UpdateInForce();
}

std::vector<EvacuationChange> Evacuations::UpdateInForce() {
  const std::vector<DataCentreId> before = std::exchange(in_force_, {});
  std::merge(view_.data_centres.begin(), view_.data_centres.end(), lost_.begin(), lost_.end(),
             std::back_inserter(in_force_));
  std::vector<DataCentreId> names;
  std::set_symmetric_difference(in_force_.begin(), in_force_.end(), before.begin(), before.end(),
                                std::back_inserter(names));
  std::vector<EvacuationChange> changes;
  changes.reserve(names.size());
  for (const DataCentreId& name : names) {
    changes.push_back(
        {.data_centre = name, .evacuated = Contains(name), .position = view_.position});
  }
  return changes;
}

std::vector<EvacuationChange> Evacuations::Apply(std::span<const EvacuationChange> changes,
                                                 const StorePosition& position) {
  if (!known() || position.era != view_.position.era) return {};
  EvacuationView next = view_;
  next.position = std::max(position, view_.position);
  for (const EvacuationChange& change : changes) {
    if (change.position <= view_.position) continue;
    std::erase(next.data_centres, change.data_centre);
    std::erase(lost_, change.data_centre);
    if (change.evacuated) next.data_centres.push_back(change.data_centre);
    next.position = std::max(next.position, change.position);
  }
  return Replace(std::move(next));
}

bool Evacuations::Contains(const DataCentreId& data_centre) const {
  return std::binary_search(in_force_.begin(), in_force_.end(), data_centre);
}

}  // namespace verbenaridge::directory
