// Messages between members of one replicated log, and its records on disk.
namespace py banyantrack.generated.replication

struct Member {
  1: string member_id
  2: string name
  3: string address
  4: string service_address
}

// Voters agree on the log. While `outgoing` is not empty a change is in
// progress and both sets must agree.
struct Membership {
  1: list<Member> voters
  2: list<Member> outgoing
  3: list<Member> learners
}

enum EntryKind { NOOP = 0, COMMAND = 1, MEMBERSHIP = 2 }

struct LogEntry {
  1: i64 term
  2: i64 index
  3: EntryKind kind
  4: binary payload
}

// Entries that are written and synced together.
struct LogBatch {
  1: list<LogEntry> entries
}

// Identity of a data folder; a folder that was wiped has another one.
struct StorageIdentity {
  1: i32 version
  2: string storage_id
  3: string name
}

struct HardState {
  1: i64 term
  2: string voted_for
}

struct SnapshotHeader {
  1: i64 index
  2: i64 term
  3: Membership membership
  4: i64 size
  5: i32 version
}

struct VoteRequest {
  1: string sender
  2: string target
  3: i64 term
  4: i64 last_index
  5: i64 last_term
  6: bool pre_vote
  7: bool hand_over
}

struct VoteReply {
  1: i64 term
  2: bool granted
}

struct AppendRequest {
  1: string sender
  2: string target
  3: i64 term
  4: i64 previous_index
  5: i64 previous_term
  6: list<LogEntry> entries
  7: i64 commit_index
  8: string leader_name
}

struct AppendReply {
  1: i64 term
  2: bool success
  3: i64 last_index
}

struct SnapshotRequest {
  1: string sender
  2: string target
  3: i64 term
  4: SnapshotHeader header
  5: i64 file_size
  6: i64 offset
  7: binary chunk
}

struct SnapshotReply {
  1: i64 term
  2: i64 next_offset
  3: bool installed
}

struct HandOverRequest {
  1: string sender
  2: string target
  3: i64 term
}

struct HandOverReply {
  1: i64 term
}

struct JoinRequest {
  1: Member member
}

struct JoinReply {
  1: bool accepted
  2: string leader_address
}
