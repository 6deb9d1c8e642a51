#ifndef SCALESHED_SERVING_EVENTS_H_
#define SCALESHED_SERVING_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/configuration.h"
#include "scaleshed/serving/dispatch.h"
#include "scaleshed/serving/store_relay.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

// What deciding needs to know of a request. The driver keeps its bytes.
struct RequestFacts {
  std::string id;  // the client's, new for each of its attempts
  std::string host;
  std::string path;  // without the query
  std::vector<std::string> keys;
  Duration deadline{};  // zero: not told
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  std::string last_event_id;
  // A hash of what a client sends again under a new id: method, host, path,
  // query and body. Zero: not told.
  std::uint64_t content = 0;
};

struct RequestArrived {
  RequestKey key = 0;
  RequestFacts facts;
};

// Before its answer was complete.
struct ClientGone {
  RequestKey key = 0;
};

// A whole event of a stream.
struct StreamEvent {
  AttemptId attempt = 0;
  std::string id;
  std::string bytes;
};

// How an answer that came whole is to be taken.
enum class AnswerKind {
  kSuccess,
  kFailure,  // the backend server's own, after it ran the request
  kNotRun,   // the backend server says that it did not run it
  kGone,     // as kNotRun: another backend server has that address
};
inline constexpr NameTable<AnswerKind, 4> kAnswerKindNames{{
    {AnswerKind::kSuccess, "success"},
    {AnswerKind::kFailure, "failure"},
    {AnswerKind::kNotRun, "not_run"},
    {AnswerKind::kGone, "gone"},
}};

// The whole answer is there; the driver keeps it. For a stream: its end.
struct AttemptAnswered {
  AttemptId attempt = 0;
  AnswerKind kind = AnswerKind::kFailure;
  int status = 0;
  // The address of the backend server that a refusal is due to, if not the one
  // that was asked.
  std::string at_fault;
};

enum class AttemptError {
  kNotSent,  // no byte left
  kCut,      // sent; the answer broke off, never came or belongs to nobody
};
inline constexpr NameTable<AttemptError, 2> kAttemptErrorNames{{
    {AttemptError::kNotSent, "not_sent"},
    {AttemptError::kCut, "cut"},
}};

struct AttemptFailed {
  AttemptId attempt = 0;
  AttemptError error = AttemptError::kCut;
  std::string detail;
};

// What a backend server says of itself in the head of an answer.
struct ServerWord {
  // Requests a second that it takes from all daemons together; nothing: as many
  // as come.
  std::optional<double> limit;
  // It is about to end and wants no new work. Never taken back by a life.
  bool leaving = false;
  // It refused, and wants nothing from this daemon for so long.
  Duration rest{};
};

// The head of an answer has come, whether or not the rest can be used. For a
// stream: long before AttemptAnswered.
struct AnswerBegun {
  AttemptId attempt = 0;
  ServerWord word;
  // That it names no limit doesn't count: it names something.
  bool limit_unknown = false;
};

// The answer to ReserveMemory.
struct MemoryAnswered {
  AttemptId attempt = 0;
  std::size_t index = 0;
  bool granted = false;
};

// What an engine says of itself, a little late.
struct ReportSeen {
  BackendId backend = 0;
  double pace = 1;  // its passes take so many times as long as they should
  std::uint64_t born = 0;  // the life that says so; zero: not told
};

// What became of AskLife.
enum class LifeSign {
  kAnswered,  // something listens there and speaks
  kRefused,   // nobody listens there
  kNothing,   // neither was seen
};
inline constexpr NameTable<LifeSign, 3> kLifeSignNames{{
    {LifeSign::kAnswered, "answered"},
    {LifeSign::kRefused, "refused"},
    {LifeSign::kNothing, "nothing"},
}};
struct LifeSeen {
  BackendId backend = 0;
  LifeSign sign = LifeSign::kNothing;
};

// A configuration that is stored. `asked` is when the question was put whose
// answer it is: then it was the newest.
struct ConfigurationSeen {
  Configuration configuration;
  Time asked{};
};

// The store still held that revision of the configuration at `asked`.
struct ConfigurationConfirmed {
  StoreRevision revision;
  Time asked{};
};

// All entries of backend servers that were there at `asked` have been told.
struct BackendsConfirmed {
  std::uint64_t era = 0;  // of the store that said so
  Time asked{};
};

// All changes up to that revision of the store have been told.
struct BackendsComplete {
  StoreRevision revision;
};

// An answer of the store names another era than the one before.
struct StoreEraSeen {
  std::uint64_t era = 0;
};

// The store holds a note that the daemons got over the restore that began that
// era; zero: the note is gone.
struct SettledEraSeen {
  std::uint64_t era = 0;
};

// The store was asked for what ReadConfiguration wants, as no daemon told it.
struct StoreAsked {};

// Something of an answer of the store came to this daemon, of whichever, that
// is more than a refusal to answer.
struct StoreHeard {};

// This daemon's own question to the store brought no answer.
struct StoreUnreachable {};

struct StoreRelayReceived {
  StoreRelay relay;
};

struct BackendListed {
  BackendServer backend;
};

// Its entry is gone. `certain` unless the store was away just before, when
// entries of living backend servers lapse too.
struct BackendUnlisted {
  std::string id;
  bool certain = true;
  StoreRevision revision;  // of the store when the entry was gone
};

// All entries there are; others are gone.
struct BackendsListed {
  std::vector<BackendServer> backends;
  bool certain = true;
  StoreRevision revision;  // of the store
  Time asked{};            // when the question was put
};

// What the store holds for a content, as a watch or a conflict tells it.
struct EndingsStored {
  StoredEndings endings;
};
// All that it holds; others have no entry.
struct AllEndingsListed {
  std::vector<StoredEndings> endings;
  StoreRevision revision;  // of the store
};
// The call of SaveEndings is over. What it wrote comes as EndingsStored, or in
// a list.
struct EndingsSaved {};

// Where other daemons take snapshots, as registered at the platform.
struct ListedPeer {
  std::string peer_address;
  std::string data_centre;  // empty: not told
};
struct PeersListed {
  std::vector<ListedPeer> peers;
};

// The store holds this daemon's entry until then, as far as it said. `anew`: it
// was just written; else it has stood since it was.
struct EntryHeld {
  Time until{};
  bool anew = false;
};
// This daemon's entry is gone, or was asked to be taken away.
struct EntryEnded {};
// A restore may have lost this daemon's entry; it is being written again.
struct EntryForgotten {};

// So many daemons had an entry at `asked`.
struct DaemonsCounted {
  std::size_t daemons = 0;
  Time asked{};
};

struct SnapshotReceived {
  LoadSnapshot snapshot;
};

struct PlaceQuestionReceived {
  PlaceQuestion question;
};
struct PlaceAnswerReceived {
  PlaceAnswer answer;
};

struct Tick {};
struct StopRequested {};

using EventBody = std::variant<
    RequestArrived, ClientGone, StreamEvent, AttemptAnswered, AttemptFailed,
    AnswerBegun, MemoryAnswered, ReportSeen, LifeSeen, ConfigurationSeen,
    ConfigurationConfirmed, BackendsConfirmed, BackendsComplete, StoreEraSeen,
    SettledEraSeen, StoreAsked, StoreHeard, StoreUnreachable,
    StoreRelayReceived, BackendListed, BackendUnlisted, BackendsListed,
    EndingsStored, AllEndingsListed, EndingsSaved, PeersListed, EntryHeld,
    EntryEnded, EntryForgotten, DaemonsCounted, SnapshotReceived,
    PlaceQuestionReceived, PlaceAnswerReceived, Tick, StopRequested>;

struct Event {
  Time now;
  EventBody body;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_EVENTS_H_
