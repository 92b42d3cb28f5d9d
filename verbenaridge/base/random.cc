#include "verbenaridge/base/random.h"

namespace verbenaridge {

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace verbenaridge
