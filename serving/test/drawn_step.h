#ifndef SCALESHED_SERVING_TEST_DRAWN_STEP_H_
#define SCALESHED_SERVING_TEST_DRAWN_STEP_H_

#include <rapidcheck.h>

#include <ostream>

namespace scaleshed::serving::test {

// One step of a property-based test: something that the environment of the
// tested code does next, as random numbers. A test draws steps with AnyStep and
// decides what the numbers mean.
struct DrawnStep {
  int kind = 0;
  int first = 0;
  int second = 0;
};

inline std::ostream& operator<<(std::ostream& out, const DrawnStep& step) {
  return out << step.kind << "(" << step.first << ", " << step.second << ")";
}

// Generates steps whose kind is below `kinds`.
inline rc::Gen<DrawnStep> AnyStep(int kinds) {
  constexpr int kMost = 1000;
  return rc::gen::build<DrawnStep>(
      rc::gen::set(&DrawnStep::kind, rc::gen::inRange(0, kinds)),
      rc::gen::set(&DrawnStep::first, rc::gen::inRange(0, kMost)),
      rc::gen::set(&DrawnStep::second, rc::gen::inRange(0, kMost)));
}

}  // namespace scaleshed::serving::test

#endif  // SCALESHED_SERVING_TEST_DRAWN_STEP_H_
