#ifndef SCALESHED_TESTING_TEST_RAW_FLEET_H_
#define SCALESHED_TESTING_TEST_RAW_FLEET_H_

#include <nlohmann/json.hpp>
#include <string>

#include "fleet_harness.h"
#include "raw_worker.h"

namespace scaleshed::testing {

// A fleet of one daemon and one raw server of a service, with another server
// beside it if `with_other`.
class RawFleet : public Fleet {
 public:
  RawFleet(const std::string& service, const std::string& head,
           const std::string& body, RawEnd end = RawEnd::kClose,
           const std::string& id = "raw", bool with_other = false)
      : worker_(loop(), head, body, end) {
    Configure();
    store().Put("servers/" + id, nlohmann::json{{"service", service},
                                                {"address", worker_.address()},
                                                {"zone", "z1"},
                                                {"version", "v1"},
                                                {"slots", 16},
                                                {"state", "ready"},
                                                {"cold_remaining_ms", 0},
                                                {"sequence", 1},
                                                {"born", 1'700'000'000'000}}
                                     .dump());
    if (with_other) AddWorker(service);
    AddDaemon();
    REQUIRE(WaitReady());
  }
  RawWorker& raw() { return worker_; }

 private:
  RawWorker worker_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_TEST_RAW_FLEET_H_
