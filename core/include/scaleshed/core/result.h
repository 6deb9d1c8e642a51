#ifndef SCALESHED_CORE_RESULT_H_
#define SCALESHED_CORE_RESULT_H_

#include <utility>
#include <variant>

namespace scaleshed {

// A value, or the error of the layer that could not give one.
template <typename T, typename E>
using Result = std::variant<T, E>;

template <typename T, typename E>
const T* ValueOf(const Result<T, E>& result) {
  return std::get_if<0>(&result);
}

template <typename T, typename E>
T* ValueOf(Result<T, E>& result) {
  return std::get_if<0>(&result);
}

template <typename T, typename E>
const E& ErrorOf(const Result<T, E>& result) {
  return std::get<1>(result);
}

}  // namespace scaleshed

#endif  // SCALESHED_CORE_RESULT_H_
