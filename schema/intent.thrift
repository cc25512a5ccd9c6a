// Operators' objects, the commands that change them, and the snapshot form.
namespace py banyantrack.generated.intent

include "workload.thrift"

struct Customer {
  // Share of the accelerators when several customers wait.
  1: optional i32 weight (default = "1", min = "1", max = "1000")
  // Most accelerators that its jobs use at once; 0 for no limit.
  2: optional i32 quota_accelerators (default = "0", min = "0", max = "1000000")
}

struct Guarantee {
  // Customer that holds the guarantee.
  1: required string customer (form = "name")
  // Number of shapes.
  2: optional i32 count (default = "1", min = "1", max = "10000")
  // Accelerators of one shape.
  3: required i32 accelerators (min = "1", max = "2048")
  // Where the accelerators of one shape lie together.
  4: optional string adjacency (default = "rack", choices = "worker,rack,zone,any")
  // Workers that may serve the guarantee.
  5: optional string selector (default = "", form = "selector")
}

struct Job {
  // Customer that the job belongs to.
  1: required string customer (form = "name")
  // Members of the gang.
  2: optional i32 members (default = "1", min = "1", max = "256")
  // Accelerators of each member.
  3: optional i32 accelerators (default = "1", min = "0", max = "64")
  // Processors of each member.
  4: optional i32 processors (default = "1", min = "0", max = "1024")
  // Memory of each member.
  5: optional i64 memory_mb (default = "1024", min = "0", max = "16777216")
  // Where the members lie together.
  6: optional string adjacency (default = "any", choices = "worker,rack,zone,any")
  // Workers that may run the job.
  7: optional string selector (default = "", form = "selector")
  // Declared run time.
  8: optional i64 run_time_ms (default = "3600000", min = "1", max = "31536000000")
  // Whether the job starts before all that is not urgent.
  9: optional bool urgent (default = "false")
  // Whether a member can write a checkpoint and go on from it.
  10: optional bool checkpointable (default = "false")
  // Whether the job may be stopped and started from the beginning.
  11: optional bool restartable (default = "false")
  // Failed runs after which the job is given up.
  12: optional i32 retry_limit (default = "3", min = "0", max = "1000")
  // Time after submission when the result is of no more use; 0 for never.
  13: optional i64 deadline_ms (default = "0", min = "0", max = "31536000000")
  // Passed on to the workers as they are.
  14: optional map<string, string> parameters
}

struct Route {
  // Path prefix of the requests.
  1: required string prefix (form = "path")
  // Backends that serve the route.
  2: optional string selector (default = "!down", form = "selector")
  // Lane of the requests.
  3: optional string service_class (default = "quick", choices = "quick,long")
  // Deadline of requests that state none.
  4: optional i64 deadline_ms (default = "10000", min = "1", max = "86400000")
  // Slots that one request takes at its backend.
  5: optional i32 slots (default = "1", min = "1", max = "64")
  // Customer of requests that state none.
  6: optional string customer (default = "", form = "name")
  // Requests of this route that may wait at one entry.
  7: optional i32 queue_limit (default = "256", min = "1", max = "100000")
}

// A worker as it describes itself; its number stays while it is known.
struct Worker {
  1: required string zone (form = "name")
  2: required string rack (form = "name")
  3: required i32 accelerators (min = "0", max = "64")
  4: required i32 processors (min = "0", max = "4096")
  5: required i64 memory_mb (min = "0", max = "67108864")
  6: optional i32 number (default = "0", min = "0", max = "65535")
  7: optional map<string, string> own_labels
}

// Labels of one worker or backend, set by operators or the monitoring group.
struct LabelSet {
  1: map<string, string> labels
}

enum ObjectKind {
  CUSTOMER = 1, GUARANTEE = 2, JOB = 3, ROUTE = 4,
  WORKER_LABELS = 5, BACKEND_LABELS = 6, WORKER = 7
}

// One object; exactly one of the bodies is set.
struct StoredObject {
  1: ObjectKind kind
  2: string name
  3: i64 revision
  4: optional Customer customer
  5: optional Guarantee guarantee
  6: optional Job job
  7: optional Route route
  8: optional LabelSet labels
  9: bool deleted
  10: optional Worker worker
}

// A change of one object. `if_match` is 0 for any revision, -1 for "must not
// exist", otherwise the revision that the caller has seen.
struct Change {
  1: StoredObject object
  2: i64 if_match
}

struct ApplyCommand {
  1: list<Change> changes
  2: string idempotency_key
  3: string digest
}

enum ClaimState { IN_PROGRESS = 1, DONE = 2, UNKNOWN = 3 }

// Claims one non-idempotent request for one entry before it is dispatched.
struct ClaimCommand {
  1: string key
  2: string digest
  3: string claimant
  4: i64 deadline_ms
}

struct ClaimResultCommand {
  1: string key
  2: ClaimState state
  3: i32 status
  4: string content_type
  5: binary body
  6: string claimant
}

// Releases a claim whose request certainly did not run.
struct ClaimReleaseCommand {
  1: string key
  2: string claimant
}

enum AllotmentState { NONE = 0, HOLDING = 1, RUNNING = 2, STOPPING = 3 }

// Places a gang; its epoch is the index of the log entry.
struct PlaceCommand {
  1: string job
  // Numbers of the workers, one for each member, two bytes each.
  2: binary workers
  // Guarantee that the job is charged to; empty if it borrows.
  3: string guarantee
  4: i64 job_revision
}

enum JobEvent {
  STARTED = 1, STOPPING = 2, STOPPED = 3, COMPLETED = 4,
  GIVEN_UP = 5,
  // Its worker has restarted, and had not reported the gang as running. The
  // gang was stopped before, or is stopping.
  CRASHED = 6
}

enum StopReason {
  NONE = 0, RECLAIM = 1, MEMBER_FAILED = 2, LEASE_LAPSED = 3, CANCELLED = 4,
  DEADLINE = 5, LABELS = 6, HOLD_FAILED = 7, OVERRUN = 8, CONSOLIDATE = 9
}

struct JobEventCommand {
  1: string job
  2: i64 epoch
  3: JobEvent event
  4: StopReason reason
  5: i64 progress_ms
  6: string failed_worker
}

struct Command {
  1: i64 now_ms
  2: optional ApplyCommand apply
  3: optional ClaimCommand claim
  4: optional ClaimResultCommand claim_result
  5: optional ClaimReleaseCommand claim_release
  6: optional list<PlaceCommand> place
  7: optional list<JobEventCommand> job_events
  8: optional list<StoredObject> workers
  9: optional workload.WorkCommand work
}

enum Verdict {
  APPLIED = 0, CONFLICT = 1, INVALID = 2, KEY_MISMATCH = 3, FULL = 4
}

struct Finding {
  1: string place
  2: string message
}

struct ApplyResult {
  1: Verdict verdict
  2: i64 revision
  3: list<Finding> findings
  4: optional StoredObject current
  5: bool replayed
}

enum ClaimVerdict {
  GRANTED = 0, IN_PROGRESS = 1, RECORDED = 2, UNKNOWN = 3, MISMATCH = 4,
  FULL = 5
}

struct ClaimResult {
  1: ClaimVerdict verdict
  2: i32 status
  3: string content_type
  4: binary body
}

struct KeyRecord {
  1: string key
  2: string digest
  3: i64 at_ms
  4: ApplyResult result
}

struct ClaimRecord {
  1: string key
  2: string digest
  3: string claimant
  4: i64 at_ms
  5: ClaimState state
  6: i32 status
  7: string content_type
  8: binary body
  9: i64 deadline_ms
}

enum JobPhase {
  WAITING = 1, PLACED = 2, COMPLETED = 3, FAILED = 4, CANCELLED = 5
}

struct JobStatus {
  1: string job
  2: JobPhase phase
  3: i64 submitted_ms
  4: i64 epoch
  5: AllotmentState allotment
  6: binary workers
  7: string guarantee
  8: i64 started_ms
  9: i64 finished_ms
  10: i32 attempts
  11: i64 progress_ms
  12: StopReason reason
  13: i64 phase_since_ms
  14: i32 reclaims
  15: list<string> failed_workers
  16: i64 revision
  // Kept while a deleted job still has its workers.
  17: optional Job spec
}

struct IntentSnapshot {
  1: i32 version
  2: i64 revision
  3: list<StoredObject> objects
  4: list<KeyRecord> keys
  5: list<ClaimRecord> claims
  6: list<JobStatus> jobs
  7: i64 clock_ms
  8: optional workload.WorkSnapshot work
}
