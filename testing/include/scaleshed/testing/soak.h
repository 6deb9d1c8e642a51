#ifndef SCALESHED_TESTING_SOAK_H_
#define SCALESHED_TESTING_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/testing/soak_ledger.h"

namespace scaleshed::testing {

// What is done to a fleet of processes from outside.
enum class SoakFault {
  kKill,           // SIGKILL, and a new start a little later
  kRestart,        // SIGTERM, and a new start once it has ended
  kRoll,           // the same, one daemon after another
  kFreeze,         // SIGSTOP, SIGCONT after `length`
  kHangUp,         // SIGHUP
  kStoreSilent,    // the store takes calls and says nothing
  kStoreRefuses,   // 503
  kStoreOverRate,  // 429
  kStoreLoses,     // writes are done and not answered
  kStoreForgets,   // its history
  // It is copied, goes away at half of `length`, and is back from that copy at
  // its end; its writers write what that lacks a little later.
  kStoreRestores,
  kConfiguration,  // a newer one
  kServersRefuse,  // a share of requests is refused, and not run
  kServersReset,   // a share is run, and the connection closed
  kServersFail,    // a share is run, and answered with 500
  kServersHang,    // a share is run, and nothing said
  kServersLeave,   // a server leaves, and another one comes
  kDeadly,        // a request that ends the servers that run it comes once more
  kDeadlyPart,    // the same for prompts that share one part only
  kServersLimit,  // a share of the servers names a limit in its answers
  kServersRest,   // a share refuses everything, and asks for rest each time
  kServersSayLeaving,  // one says so in its answers only, and another one comes
  kCutReset,        // daemons lose their links to all servers, which are reset
  kCutSilent,       // the same, but the links say nothing
  kEvacuate,        // the operators have a data centre evacuated for `length`
  kKillDataCentre,  // all daemons of one are killed, and back after `length`
  kServersCold,     // a share becomes cold for `length`
  kServersPause,    // a share reads and sends nothing for `length`
  // For `length` a share of the callers' requests is for a large answer, which
  // they begin to read late; some ask for a close after it.
  kSlowReaders,
  // For `length` a share comes in pieces, over longer than the idle time of the
  // configurations, which is short then.
  kSlowBodies,
  // A share of requests is answered with a body without end. Daemons that grow
  // by more than SoakOptions::kMaxGrowthBytes, or use more of a core than
  // kMaxProcessorShare, break a promise.
  kServersEndless,
};
inline constexpr NameTable<SoakFault, 31> kSoakFaultNames{{
    {SoakFault::kKill, "kill"},
    {SoakFault::kRestart, "restart"},
    {SoakFault::kRoll, "roll"},
    {SoakFault::kFreeze, "freeze"},
    {SoakFault::kHangUp, "hang_up"},
    {SoakFault::kStoreSilent, "store_silent"},
    {SoakFault::kStoreRefuses, "store_refuses"},
    {SoakFault::kStoreOverRate, "store_over_rate"},
    {SoakFault::kStoreLoses, "store_loses"},
    {SoakFault::kStoreForgets, "store_forgets"},
    {SoakFault::kStoreRestores, "store_restores"},
    {SoakFault::kConfiguration, "configuration"},
    {SoakFault::kServersRefuse, "servers_refuse"},
    {SoakFault::kServersReset, "servers_reset"},
    {SoakFault::kServersFail, "servers_fail"},
    {SoakFault::kServersHang, "servers_hang"},
    {SoakFault::kServersLeave, "servers_leave"},
    {SoakFault::kDeadly, "deadly"},
    {SoakFault::kDeadlyPart, "deadly_part"},
    {SoakFault::kServersLimit, "servers_limit"},
    {SoakFault::kServersRest, "servers_rest"},
    {SoakFault::kServersSayLeaving, "servers_say_leaving"},
    {SoakFault::kCutReset, "cut_reset"},
    {SoakFault::kCutSilent, "cut_silent"},
    {SoakFault::kEvacuate, "evacuate"},
    {SoakFault::kKillDataCentre, "kill_data_centre"},
    {SoakFault::kServersCold, "servers_cold"},
    {SoakFault::kServersPause, "servers_pause"},
    {SoakFault::kSlowReaders, "slow_readers"},
    {SoakFault::kSlowBodies, "slow_bodies"},
    {SoakFault::kServersEndless, "servers_endless"},
}};

// One fault, again and again. Series overlap as they come.
struct SoakSeries {
  SoakFault fault = SoakFault::kKill;
  Duration at{};  // after the callers begin
  int times = 1;
  Duration gap = seconds(1);     // from one to the next
  double share = 0.5;            // of daemons or of requests
  Duration length = seconds(1);  // of each, where it has one
};

struct SoakOptions {
  // What a cold server bears, and the bound on what it gets within one second:
  // kColdPerSecond x kColdOverage + kColdSlack.
  static constexpr double kColdPerSecond = 8;
  static constexpr double kColdOverage = 1.5;
  static constexpr double kColdSlack = 3;

  // What a daemon may grow by while servers answer without end.
  static constexpr std::size_t kMaxGrowthBytes = 60 * 1024 * 1024;
  // What a daemon may use of a core meanwhile.
  static constexpr double kMaxProcessorShare = 0.5;

  std::string daemon;  // the program
  std::uint64_t seed = 1;
  std::size_t daemons = 8;
  std::size_t data_centres = 3;
  // Between the starts of two daemons: machines that are busy, or many, come
  // up one after another.
  Duration start_gap{};
  // From the first daemon's start until the callers begin.
  Duration warm_up = seconds(3);
  Duration length = seconds(12);
  double requests_per_second = 120;
  // Entries of backend servers that nobody asks, which daemons read all the
  // same.
  std::size_t idle_servers = 0;
  // Shorter than the users' windows, so that a run has many; the slack is to be
  // several a daemon.
  RepeatBound bound{.ratio = 0.2, .slack = 80, .window = seconds(3)};
  // Bounds the attempts that the routes of the configurations allow.
  int max_attempts = 2;
  std::vector<SoakSeries> series;
  bool keep_logs = false;
};

struct SoakReport {
  std::vector<std::string> broken;  // empty: all promises held
  std::vector<RepeatWindow> windows;
  std::size_t requests = 0;
  std::size_t answered = 0;  // whole and right
  std::size_t refused = 0;   // told that nothing ran
  std::size_t failed = 0;    // anything else
  std::size_t faults = 0;    // that were injected
  std::size_t ends = 0;      // of servers, under a deadly request
  std::size_t words = 0;     // that servers said of themselves
  std::size_t slow = 0;      // requests that were sent or read slowly
  std::size_t checked = 0;   // of which a sound server and daemon owe an answer
  std::size_t probes = 0;    // answers by which configuration is in force
  int most_calls = 0;        // at the store, in one second
  std::size_t growth = 0;    // of the daemon that grew most, in bytes
  double processor_share = 0;  // of a core, by the daemon that used most
  Duration latest{};           // the stand-ins were kept from looking so long
  std::string folder;          // of the logs, where they are kept
};

// Series that are drawn from the seed: in most of them backend servers refuse
// or fail much, so that repeats are asked for, while other faults come beside.
std::vector<SoakSeries> DrawSeries(std::uint64_t seed, Duration length);
// Series of servers that become cold, drawn from the seed, to be added to
// these.
std::vector<SoakSeries> DrawColdSeries(std::uint64_t seed, Duration length);
// Series of servers that pause, slow readers and slow bodies, and of daemons
// and a store that have trouble, drawn from the seed. No server fails, as what
// is owed to callers is known only where none does.
std::vector<SoakSeries> DrawPauseSeries(std::uint64_t seed, Duration length);
// Series of servers that answer without end, drawn from the seed, to be added
// to these.
std::vector<SoakSeries> DrawEndlessSeries(std::uint64_t seed, Duration length);
// Series that concern whole data centres, drawn from the seed, to be added to
// these: evacuations, and the loss of all daemons of one.
std::vector<SoakSeries> DrawDataCentreSeries(std::uint64_t seed,
                                             Duration length);

// "FAULT:AT_MS:TIMES:GAP_MS:SHARE:LENGTH_MS", by commas. Throws
// std::invalid_argument with what can't be read.
std::vector<SoakSeries> ParseSeries(const std::string& text);
std::string ToString(const std::vector<SoakSeries>& series);

// Runs real daemons as processes before stand-ins of the platform, with callers
// that keep their connections, injects the series, and tells what callers and
// backend servers saw. Ends only what it started.
SoakReport RunSoak(const SoakOptions& options);

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SOAK_H_
