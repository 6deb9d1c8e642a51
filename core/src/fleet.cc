#include "scaleshed/core/fleet.h"

#include <algorithm>

namespace scaleshed {
namespace {

double PrefillMicros(const ModelTemplate& model, std::int64_t tokens) {
  const double n = static_cast<double>(tokens);
  const double half = static_cast<double>(model.quadratic_tokens);
  return n * model.prefill_us_per_token * (1.0 + n / half);
}

}  // namespace

Duration PrefillTime(const ModelTemplate& model, std::int64_t tokens,
                     std::int64_t cached) {
  // A prefix that is known may be longer than the prompt.
  const double micros = PrefillMicros(model, tokens) -
                        PrefillMicros(model, std::min(tokens, cached));
  return Duration(static_cast<std::int64_t>(micros));
}

Duration DecodeTime(const ModelTemplate& model, std::int64_t tokens) {
  const double micros =
      model.decode_ms_per_token * 1000.0 * static_cast<double>(tokens);
  return Duration(static_cast<std::int64_t>(micros));
}

}  // namespace scaleshed
