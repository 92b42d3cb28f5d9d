// One filled message of each kind, for the tests, fuzzers and benchmarks of this package.
#ifndef VERBENARIDGE_WIRE_MESSAGE_SAMPLES_H_
#define VERBENARIDGE_WIRE_MESSAGE_SAMPLES_H_

#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <vector>

#include "verbenaridge/wire/internal/message_fields.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::wire::testing {

// Gives each field a value that differs from its neighbours and from the default.
class Filler {
 public:
  template <class T>
  void Fill(T& value) {
    ++step_;
    if constexpr (std::is_same_v<T, bool>) {
      value = true;
    } else if constexpr (std::is_enum_v<T>) {
      value = static_cast<T>(internal::Largest(T{}));
    } else if constexpr (std::is_floating_point_v<T>) {
      value = step_ % 2 == 0 ? step_ : step_ + 0.5;
    } else if constexpr (std::is_signed_v<T>) {
      value = step_ % 2 == 0 ? std::numeric_limits<T>::min() + step_ : step_;
    } else if constexpr (std::is_unsigned_v<T>) {
      value = static_cast<T>(std::numeric_limits<T>::max() - step_);
    } else {
      FillOther(value);
    }
  }

 private:
  void FillOther(std::string& value) { value = "text " + std::to_string(step_); }
  void FillOther(Duration& value) { value = std::chrono::milliseconds(step_); }

  template <class Tag>
  void FillOther(StringId<Tag>& value) {
    value = StringId<Tag>("id" + std::to_string(step_));
  }

  template <class T>
  void FillOther(std::vector<T>& values) {
    values.resize(2);
    for (T& value : values) Fill(value);
  }

  template <class T>
  void FillOther(T& value) {
    std::apply([this](auto&... field) { (this->Fill(field), ...); }, internal::Fields(value));
  }

  int step_ = 0;
};

// All alternatives of the variant, filled.
template <class Variant, std::size_t kIndex = 0>
std::vector<Variant> Samples() {
  if constexpr (kIndex == std::variant_size_v<Variant>) {
    return {};
  } else {
    std::variant_alternative_t<kIndex, Variant> body;
    Filler().Fill(body);
    std::vector<Variant> samples = {Variant(std::in_place_index<kIndex>, std::move(body))};
    for (Variant& rest : Samples<Variant, kIndex + 1>()) samples.push_back(std::move(rest));
    return samples;
  }
}

}  // namespace verbenaridge::wire::testing

#endif  // VERBENARIDGE_WIRE_MESSAGE_SAMPLES_H_
