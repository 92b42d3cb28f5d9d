// The data centres whose endpoints must get no new requests, as ordered by operators.
//
//   Evacuations evacuations;
//   evacuations.Replace({.position = {.revision = 41}, .data_centres = {DataCentreId("biei")}});
//   evacuations.Apply(changes, {.revision = 44});
//   if (evacuations.Contains(endpoint.data_centre)) continue;
//
// The store is the source of truth, and each host holds a view with the position of the store at
// which it was current. A view never goes back to an older position, whether it comes from the
// store or from a peer.
//
// A restore of the store may lose orders that it has acknowledged. Those of the view of an earlier
// era that the next view lacks stay in force until changes of the store name them, or until the
// caller gives them up:
//
//   if (evacuations.has_lost() && now >= kept_until) evacuations.ForgetLost();
//
// Used by one thread.
#ifndef VERBENARIDGE_DIRECTORY_EVACUATIONS_H_
#define VERBENARIDGE_DIRECTORY_EVACUATIONS_H_

#include <cstddef>
#include <span>
#include <vector>

#include "verbenaridge/base/ids.h"
#include "verbenaridge/directory/store_position.h"

namespace verbenaridge::directory {

// All evacuated data centres at a position of the store. The order does not matter.
struct EvacuationView {
  StorePosition position;
  std::vector<DataCentreId> data_centres;
};

struct EvacuationChange {
  DataCentreId data_centre;
  bool evacuated = false;  // false: the order was taken back
  StorePosition position;  // of the change
};

// Whether the name can be that of a data centre. Anyone who can write to the store may have chosen
// it, and it is written to logs and sent to all hosts.
bool IsPlausible(const DataCentreId& data_centre);

class Evacuations {
 public:
  // Both return the changes to the set, in the order of the names; none if the view is older.
  std::vector<EvacuationChange> Replace(EvacuationView view);
  // `changes`: in their order. `position`: at which no later change was known. Changes of another
  // era than that of the view are ignored, since what was before them in that era is not known.
  std::vector<EvacuationChange> Apply(std::span<const EvacuationChange> changes,
                                      const StorePosition& position);

  // Takes the orders that a restore has lost for taken back. Returns the changes.
  std::vector<EvacuationChange> ForgetLost();

  bool known() const { return view_.position.known(); }
  bool has_lost() const { return !lost_.empty(); }
  bool Contains(const DataCentreId& data_centre) const;
  const EvacuationView& view() const { return view_; }  // sorted, without lost ones
  // Those of the view and the lost ones, sorted.
  const std::vector<DataCentreId>& in_force() const { return in_force_; }
  // Names of the last view for which there was no room.
  std::size_t dropped() const { return dropped_; }

 private:
  // Returns the changes of the set that is in force.
  std::vector<EvacuationChange> UpdateInForce();

  EvacuationView view_;
  std::vector<DataCentreId> lost_;      // sorted; none of the view
  std::vector<DataCentreId> in_force_;  // of both
  std::size_t dropped_ = 0;
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_EVACUATIONS_H_
