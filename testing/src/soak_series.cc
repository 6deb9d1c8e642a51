#include <algorithm>
#include <random>
#include <sstream>
#include <stdexcept>

#include "scaleshed/testing/soak.h"

namespace scaleshed::testing {
namespace {

// Of the faults drawn, one in two is trouble at backend servers, as nothing
// else asks for repeats in numbers.
constexpr SoakFault kServerFaults[] = {
    SoakFault::kServersRefuse, SoakFault::kServersRefuse,
    SoakFault::kServersReset,  SoakFault::kServersFail,
    SoakFault::kServersHang,   SoakFault::kServersLeave};
constexpr SoakFault kOtherFaults[] = {
    SoakFault::kKill,          SoakFault::kKill,
    SoakFault::kRestart,       SoakFault::kRoll,
    SoakFault::kFreeze,        SoakFault::kHangUp,
    SoakFault::kStoreSilent,   SoakFault::kStoreRefuses,
    SoakFault::kStoreOverRate, SoakFault::kStoreLoses,
    SoakFault::kStoreForgets,  SoakFault::kConfiguration};

milliseconds Millis(std::int64_t n) { return milliseconds(n); }

}  // namespace

std::vector<SoakSeries> DrawSeries(std::uint64_t seed, Duration length) {
  std::mt19937_64 random(seed);
  const auto draw = [&](std::int64_t from, std::int64_t to) {
    return from + static_cast<std::int64_t>(
                      random() % static_cast<std::uint64_t>(to - from + 1));
  };
  const auto pick = [&](const auto& faults) {
    return faults[random() % std::size(faults)];
  };
  const auto whole = std::chrono::duration_cast<milliseconds>(length).count();
  std::vector<SoakSeries> series;
  // Most requests are refused or fail through the middle of the run.
  series.push_back({.fault = pick(kServerFaults),
                    .at = Millis(whole / 6),
                    .times = 1,
                    .share = static_cast<double>(draw(60, 98)) / 100,
                    .length = Millis(whole * 2 / 3)});
  const std::int64_t n = draw(3, 7);
  for (std::int64_t i = 0; i < n; ++i) {
    const bool servers = draw(0, 3) == 0;
    series.push_back(
        {.fault = servers ? pick(kServerFaults) : pick(kOtherFaults),
         .at = Millis(draw(0, whole * 3 / 4)),
         .times = static_cast<int>(draw(1, 4)),
         .gap = Millis(draw(300, 3000)),
         .share = static_cast<double>(draw(15, 100)) / 100,
         .length = Millis(draw(200, 3500))});
  }
  // Long enough to count beyond the time in which a daemon may learn of it.
  for (const SoakFault fault :
       {SoakFault::kServersLimit, SoakFault::kServersRest}) {
    if (draw(0, 1) != 0) continue;
    series.push_back({.fault = fault,
                      .at = Millis(draw(0, whole / 4)),
                      .times = 1,
                      .share = static_cast<double>(draw(20, 100)) / 100,
                      .length = Millis(draw(whole / 2, whole))});
  }
  if (draw(0, 1) == 0) {
    series.push_back({.fault = SoakFault::kServersSayLeaving,
                      .at = Millis(draw(0, whole / 2)),
                      .times = static_cast<int>(draw(1, 4)),
                      .gap = Millis(draw(300, 3000))});
  }
  if (draw(0, 1) == 0) {
    // Configurations among what is lost.
    series.push_back({.fault = SoakFault::kStoreRestores,
                      .at = Millis(draw(0, whole / 2)),
                      .times = static_cast<int>(draw(1, 2)),
                      .gap = Millis(draw(3000, 5000)),
                      .length = Millis(draw(400, 3500))});
    series.push_back({.fault = SoakFault::kConfiguration,
                      .at = Millis(draw(0, 1000)),
                      .times = static_cast<int>(whole / 1000),
                      .gap = Millis(draw(300, 3500))});
  }
  if (draw(0, 2) == 0) {
    // Long enough to count beyond the time in which callers may notice.
    series.push_back({.fault = draw(0, 1) == 0 ? SoakFault::kCutReset
                                               : SoakFault::kCutSilent,
                      .at = Millis(draw(0, whole / 3)),
                      .times = 1,
                      .share = static_cast<double>(draw(15, 80)) / 100,
                      .length = Millis(draw(whole / 2, whole * 2 / 3))});
  }
  return series;
}

std::vector<SoakSeries> DrawColdSeries(std::uint64_t seed, Duration length) {
  // Differs from the sequences of the other series.
  std::mt19937_64 random(seed * 2 + 1);
  const auto draw = [&](std::int64_t from, std::int64_t to) {
    return from + static_cast<std::int64_t>(
                      random() % static_cast<std::uint64_t>(to - from + 1));
  };
  const auto whole = std::chrono::duration_cast<milliseconds>(length).count();
  // Long enough to count beyond the time in which the daemons may learn of it.
  return {{.fault = SoakFault::kServersCold,
           .at = Millis(draw(0, whole / 4)),
           .times = static_cast<int>(draw(1, 2)),
           .gap = Millis(draw(whole / 4, whole / 2)),
           .share = static_cast<double>(draw(20, 100)) / 100,
           .length = Millis(draw(whole / 2, whole))}};
}

std::vector<SoakSeries> DrawEndlessSeries(std::uint64_t seed, Duration length) {
  // Differs from the sequences of the other series.
  std::mt19937_64 random(seed * 2 + 3);
  const auto draw = [&](std::int64_t from, std::int64_t to) {
    return from + static_cast<std::int64_t>(
                      random() % static_cast<std::uint64_t>(to - from + 1));
  };
  const auto whole = std::chrono::duration_cast<milliseconds>(length).count();
  return {{.fault = SoakFault::kServersEndless,
           .at = Millis(draw(0, whole / 4)),
           .times = static_cast<int>(draw(1, 3)),
           .gap = Millis(draw(whole / 8, whole / 4)),
           .share = static_cast<double>(draw(5, 50)) / 100,
           .length = Millis(draw(whole / 4, whole))}};
}

std::vector<SoakSeries> DrawPauseSeries(std::uint64_t seed, Duration length) {
  // Differs from the sequences of the other series.
  std::mt19937_64 random(seed * 2 + 2);
  const auto draw = [&](std::int64_t from, std::int64_t to) {
    return from + static_cast<std::int64_t>(
                      random() % static_cast<std::uint64_t>(to - from + 1));
  };
  const auto whole = std::chrono::duration_cast<milliseconds>(length).count();
  std::vector<SoakSeries> series;
  const std::int64_t pauses = draw(1, 3);
  for (std::int64_t i = 0; i < pauses; ++i) {
    series.push_back({.fault = SoakFault::kServersPause,
                      .at = Millis(draw(0, whole / 2)),
                      .times = static_cast<int>(draw(1, 4)),
                      .gap = Millis(draw(300, 3000)),
                      .share = static_cast<double>(draw(10, 100)) / 100,
                      .length = Millis(draw(300, 3000))});
  }
  for (const SoakFault fault :
       {SoakFault::kSlowReaders, SoakFault::kSlowBodies}) {
    if (draw(0, 2) == 0) continue;
    series.push_back({.fault = fault,
                      .at = Millis(draw(0, whole / 4)),
                      .times = 1,
                      .share = static_cast<double>(draw(2, 6)) / 100,
                      .length = Millis(draw(whole / 2, whole * 3 / 4))});
  }
  const std::int64_t others = draw(0, 2);
  for (std::int64_t i = 0; i < others; ++i) {
    const auto n = static_cast<std::size_t>(random()) % std::size(kOtherFaults);
    series.push_back({.fault = kOtherFaults[n],
                      .at = Millis(draw(0, whole * 3 / 4)),
                      .times = static_cast<int>(draw(1, 2)),
                      .gap = Millis(draw(300, 3000)),
                      .share = static_cast<double>(draw(15, 50)) / 100,
                      .length = Millis(draw(200, 3500))});
  }
  return series;
}

std::vector<SoakSeries> DrawDataCentreSeries(std::uint64_t seed,
                                             Duration length) {
  // Differs from the sequence that DrawSeries() takes from the same seed.
  std::mt19937_64 random(~seed);
  const auto draw = [&](std::int64_t from, std::int64_t to) {
    return from + static_cast<std::int64_t>(
                      random() % static_cast<std::uint64_t>(to - from + 1));
  };
  const auto whole = std::chrono::duration_cast<milliseconds>(length).count();
  std::vector<SoakSeries> series;
  // Long enough to count beyond the time until an evacuation is in force, and
  // some that are withdrawn soon.
  series.push_back({.fault = SoakFault::kEvacuate,
                    .at = Millis(draw(0, whole / 4)),
                    .times = 1,
                    .length = Millis(draw(whole * 2 / 3, whole))});
  if (draw(0, 1) == 0) {
    series.push_back({.fault = SoakFault::kEvacuate,
                      .at = Millis(draw(0, whole / 2)),
                      .times = static_cast<int>(draw(1, 4)),
                      .gap = Millis(draw(300, 3000)),
                      .length = Millis(draw(20, 2000))});
  }
  if (draw(0, 1) == 0) {
    series.push_back({.fault = SoakFault::kKillDataCentre,
                      .at = Millis(draw(0, whole / 2)),
                      .times = 1,
                      .length = Millis(draw(300, 4000))});
  }
  return series;
}

std::vector<SoakSeries> ParseSeries(const std::string& text) {
  std::vector<SoakSeries> series;
  std::istringstream all(text);
  std::string one;
  while (std::getline(all, one, ',')) {
    std::string words = one;
    std::replace(words.begin(), words.end(), ':', ' ');
    std::istringstream in(words);
    std::string name;
    std::int64_t at = 0;
    std::int64_t gap = 0;
    std::int64_t length = 0;
    SoakSeries it;
    in >> name >> at >> it.times >> gap >> it.share >> length;
    const auto fault = FindIn(kSoakFaultNames, name);
    if (in.fail() || !fault) throw std::invalid_argument(one);
    it.fault = *fault;
    it.at = Millis(at);
    it.gap = Millis(gap);
    it.length = Millis(length);
    series.push_back(it);
  }
  return series;
}

std::string ToString(const std::vector<SoakSeries>& series) {
  const auto millis = [](Duration it) {
    return std::chrono::duration_cast<milliseconds>(it).count();
  };
  std::ostringstream text;
  for (const SoakSeries& it : series) {
    if (text.tellp() > 0) text << ",";
    text << NameIn(kSoakFaultNames, it.fault) << ":" << millis(it.at) << ":"
         << it.times << ":" << millis(it.gap) << ":" << it.share << ":"
         << millis(it.length);
  }
  return text.str();
}

}  // namespace scaleshed::testing
