// Decides which data centres may get a request whose route or client account has home regions.
//
//   AllowedDataCentres allowed = DecideAllowed(route.home_regions, account.home_regions, regions);
//   if (!allowed.Contains(endpoint.data_centre)) continue;
#ifndef VERBENARIDGE_DIRECTORY_HOMES_H_
#define VERBENARIDGE_DIRECTORY_HOMES_H_

#include <map>
#include <span>
#include <vector>

#include "verbenaridge/base/ids.h"

namespace verbenaridge::directory {

using DataCentreRegions = std::map<DataCentreId, RegionId>;

// The data centres whose endpoints may get a request; all by default.
class AllowedDataCentres {
 public:
  AllowedDataCentres() = default;

  static AllowedDataCentres Only(std::vector<DataCentreId> names);

  bool Contains(const DataCentreId& data_centre) const;
  // False if all data centres are allowed.
  bool restricted() const { return restricted_; }
  // Empty if not restricted, and also if no data centre is allowed.
  const std::vector<DataCentreId>& names() const { return names_; }

  friend bool operator==(const AllowedDataCentres&, const AllowedDataCentres&) = default;

 private:
  bool restricted_ = false;
  std::vector<DataCentreId> names_;
};

// An empty list binds nothing. If both lists have regions, only those in both are allowed. A data
// centre that is not in `regions` is allowed only if neither list has any.
AllowedDataCentres DecideAllowed(std::span<const RegionId> of_route,
                                 std::span<const RegionId> of_account,
                                 const DataCentreRegions& regions);

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_HOMES_H_
