// Messages between entries and control members, and between entries.
namespace py banyantrack.generated.cluster

include "intent.thrift"

const i32 PROTOCOL_VERSION = 1

// One frame on a connection between two of the system's own processes.
struct Frame {
  1: i32 version
  2: i32 kind
  3: i64 call_id
  4: bool reply
  5: binary payload
}

enum ErrorCode {
  NOT_LEADER = 1, UNKNOWN_OUTCOME = 2, NOT_APPLIED = 3, BAD_MESSAGE = 4,
  COMPACTED = 5, UNAVAILABLE = 6
}

struct ErrorReply {
  1: ErrorCode code
  2: string message
  3: string leader_address
}

// Asks for changes after `from_revision`; waits for one up to `wait_ms`.
// `from_revision` of -1 asks for the whole configuration.
struct WatchRequest {
  1: string entry
  2: i64 from_revision
  3: i32 wait_ms
  4: string entry_address
  5: string http_address
  6: bool all_kinds
  // Evacuated zones that the entry knows; a reply does not wait if there are
  // others.
  7: optional list<string> evacuated_zones
}

struct WatchReply {
  1: bool full
  2: i64 revision
  3: list<intent.StoredObject> objects
  // RPC addresses of entries that follow.
  4: list<string> entries
  // Evacuated zones; not set by a build that does not know them.
  5: optional list<string> evacuated_zones
}

struct CommandRequest {
  1: intent.Command command
}

struct CommandReply {
  1: i64 index
  2: optional intent.ApplyResult apply
  3: optional intent.ClaimResult claim
}

// An operator's HTTP request passed on by an entry.
struct OperatorRequest {
  1: string method
  2: string target
  3: map<string, string> headers
  4: binary body
}

struct OperatorReply {
  1: i32 status
  2: map<string, string> headers
  3: binary body
}

enum BackendState { SERVING = 1, LEAVING = 2 }

struct Announcement {
  1: string backend_id
  2: i64 incarnation
  3: string address
  4: string zone
  5: map<string, string> labels
  6: i32 slots
  7: BackendState state
}

// Requests in flight at the sending entry, by backend.
struct BackendLoad {
  1: string backend_id
  2: i32 in_flight
  3: i32 long_in_flight
}

struct GossipRequest {
  1: string entry
  2: string address
  3: i64 incarnation
  4: i64 revision
  5: bool leaving
  6: list<BackendLoad> loads
  // Requests in flight and waiting, averaged over a short time.
  7: double demand
  8: list<Announcement> announcements
  9: list<i32> announcement_ages_ms
  10: list<intent.StoredObject> objects
  11: i64 objects_from_revision
  12: list<string> peers
  13: i64 control_age_ms
}

struct GossipReply {
  1: i64 revision
  2: string entry
  3: i64 incarnation
  // Set when the receiver lacks announcements that were sent before.
  4: bool wants_all
}
