#include "verbenaridge/directory/homes.h"

#include <algorithm>
#include <utility>

namespace verbenaridge::directory {
namespace {

bool Binds(std::span<const RegionId> homes) { return !homes.empty(); }

bool Permits(std::span<const RegionId> homes, const RegionId& region) {
  return !Binds(homes) || std::find(homes.begin(), homes.end(), region) != homes.end();
}

}  // namespace

AllowedDataCentres AllowedDataCentres::Only(std::vector<DataCentreId> names) {
  AllowedDataCentres allowed;
  allowed.restricted_ = true;
  allowed.names_ = std::move(names);
  return allowed;
}

bool AllowedDataCentres::Contains(const DataCentreId& data_centre) const {
  return !restricted_ || std::find(names_.begin(), names_.end(), data_centre) != names_.end();
}

AllowedDataCentres DecideAllowed(std::span<const RegionId> of_route,
                                 std::span<const RegionId> of_account,
                                 const DataCentreRegions& regions) {
  if (!Binds(of_route) && !Binds(of_account)) return {};
  std::vector<DataCentreId> names;
  for (const auto& [data_centre, region] : regions) {
    if (Permits(of_route, region) && Permits(of_account, region)) names.push_back(data_centre);
  }
  return AllowedDataCentres::Only(std::move(names));
}

}  // namespace verbenaridge::directory
