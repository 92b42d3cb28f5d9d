// A point in the history of the store.
//
//   if (view.position <= known.position) return;  // not newer
//
// The store numbers its changes with revisions. When it is restored from a copy, its revisions go
// back to that of the copy and are given out again for other changes; the era counts these
// restorations. Revisions are therefore compared within an era only: what an earlier era had beyond
// the copy does not exist any more.
#ifndef VERBENARIDGE_DIRECTORY_STORE_POSITION_H_
#define VERBENARIDGE_DIRECTORY_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace verbenaridge::directory {

// Number of restorations of the store from a copy, as it tells it; 0 if it does not.
using StoreEra = std::uint64_t;

struct StorePosition {
  StoreEra era = 0;
  std::uint64_t revision = 0;  // 0: not known

  bool known() const { return revision > 0; }

  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_STORE_POSITION_H_
