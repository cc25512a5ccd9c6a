// Jobs of steps of tasks: the replicated state, its commands and the calls
// between entries and control members about them.
namespace py banyantrack.generated.workload

// Limits that a queue's outside policy service puts on placement.
struct Advice {
  1: i32 decision_ms
  2: i32 per_worker_ms
  3: i32 validity_ms
}

// A route on which customers hand in jobs.
struct Queue {
  1: string name
  2: string host
  3: string prefix
  4: string pool
  5: i32 priority
  // Failed runs of a task or gang after which its job has failed.
  6: i32 attempts
  7: double stretch
  8: i32 objective_ms
  9: bool open_to_all
  10: optional Advice advice
  // Longest time that a caller of the route waits for an answer.
  11: i32 timeout_ms
}

// Workers that serve the same queues.
struct Pool {
  1: string name
  2: bool spare
  // Whether its workers refuse starts that do not fit.
  3: bool guards_capacity
}

struct Account {
  1: string name
  2: list<string> keys
  // Accelerators that belong to its jobs of priority 0 at all times.
  3: i32 guaranteed_accelerators
}

struct WorkConfig {
  1: i64 version
  2: list<Queue> queues
  3: list<Pool> pools
  4: list<Account> accounts
  // The document as the operator sent it.
  5: binary document
}

struct Step {
  1: i32 count
  2: i32 cpu_milli
  3: i32 memory_mb
  4: i32 accelerators
  5: i64 estimated_ms
  6: list<i32> depends_on
  7: bool checkpointable
  8: bool gang
  9: bool same_rack
  10: string required_label
  11: string data_rack
  // Most tasks of one occurrence on one worker; 0 for no limit.
  12: i32 max_per_worker
  13: bool allow_duplicates
  14: bool long_running
  15: string image
  // Tail of the response times that a serving task must keep; 0 for none.
  16: i32 target_ms
  // Whether the tasks only use processors that others leave idle.
  17: bool fills
  // Tasks of a lasting step that may be away at once by our own doing.
  18: i32 may_miss
}

struct TaskJob {
  1: string job_id
  2: string spec
  3: list<Step> steps
  // Times that the steps run; 0 for a job without a time.
  4: i32 repeat_count
  5: i64 start_ms
  6: i64 interval_ms
}

enum WorkerState { READY = 1, DRAINING = 2, GONE = 3 }

struct WorkerRecord {
  1: string worker_id
  // Start of the worker's process, in milliseconds since 1970.
  2: i64 incarnation
  3: string pool
  4: string address
  5: string zone
  6: WorkerState state
  7: i32 cpu_milli
  8: i32 memory_mb
  9: i32 accelerators
  10: list<string> labels
  // Host that the worker is one life of; empty if it does not say.
  11: string machine
  // Sequence of the report that changed this record last.
  12: optional i64 sequence
  // Set with the state `GONE` if the worker has said that it ends.
  13: optional bool has_left
}

struct WorkerReport {
  1: WorkerRecord worker
  2: i64 sequence
  3: i64 clock_ms
  4: i64 remaining_ms
  // Time until the worker runs at full speed.
  5: optional i64 cold_remaining_ms
}

enum EndKind {
  DONE = 1, FAILED = 2, STOPPED = 3, LAPSED = 4, BROKEN = 5, ALONE = 6,
  // The run never began and never will.
  NEVER = 7,
  // The worker is gone, and all that it ran with it.
  LOST = 8
}

// Part of a run in the crash of its worker.
enum CrashRole {
  // It had run for some time, or something else explains the crash.
  BESIDE = 1,
  // It was one of the runs after whose start the worker crashed.
  SUSPECT = 2,
  // No run of another job had started so shortly before the crash.
  SOLE_SUSPECT = 3
}

struct TaskKey {
  1: string job_id
  2: i32 occurrence
  3: i32 step
  4: i32 index
}

struct RunStart {
  1: TaskKey task
  2: i32 run
  3: string worker_id
  4: i64 incarnation
  5: string checkpoint
  6: string ticket
}

struct RunEnd {
  1: TaskKey task
  2: i32 run
  3: string worker_id
  4: i64 incarnation
  5: EndKind kind
  6: string checkpoint
  // Set if the worker crashed under the run.
  7: optional CrashRole crash_role
  // Host of the worker that crashed.
  8: optional string crashed_machine
  // Whether the job has failed because of this end.
  9: optional bool give_up
}

// A crash of a worker with a task as a suspect.
struct SuspectCrash {
  1: string host
  // Incarnation of the worker.
  2: i64 incarnation
  // Whether no other job is a suspect.
  3: bool sole
}

struct TaskRecord {
  1: i32 run
  // Worker of the run that may be alive; empty if there is none.
  2: string worker_id
  3: i64 incarnation
  4: i32 failures
  5: bool done
  6: string checkpoint
  7: string ticket
  8: i64 started_ms
  9: string last_failed_on
  // Latest run that failed; a gang's members share it.
  10: i32 failed_run
  11: optional list<SuspectCrash> suspect_crashes
}

enum JobState {
  QUEUED = 1, RUNNING = 2, COMPLETED = 3, FAILED = 4, CANCELLED = 5
}

struct JobRecord {
  1: TaskJob job
  2: Queue queue
  3: string customer
  4: i64 accepted_ms
  5: JobState state
  6: i64 finished_ms
  // By occurrence, then step, then index.
  7: list<TaskRecord> tasks
}

enum WaveState { RUNNING = 1, COMPLETED = 2 }

struct Wave {
  1: i64 number
  2: list<string> machines
  3: i32 duration_s
  4: i32 at_once
  5: i64 accepted_ms
  // Machines whose upkeep has begun, and when, in milliseconds since 1970.
  6: list<string> begun
  7: WaveState state
  8: list<i64> begun_ms
}

struct SubmitCommand {
  1: TaskJob job
  2: string host
  3: string path
  4: string key
}

struct CancelCommand {
  1: string host
  2: string path
  3: string key
}

struct WaveBegun {
  1: i64 number
  2: string machine
}

// Order that no new runs start in an availability zone, or that ends it.
struct EvacuationCommand {
  1: string zone
  // Who has given the order.
  2: string requester
  // Whether the order ends the evacuation.
  3: bool end
}

struct Evacuation {
  1: string zone
  // When it was accepted, in milliseconds since 1970.
  2: i64 accepted_ms
  3: string requester
  // When it ended; not set while it is in force.
  4: optional i64 ended_ms
}

// Statistics of run times of one queue, or of one of its customers.
struct RunTimeEntry {
  1: string queue
  // Left out for what all customers of the queue share.
  2: optional string customer
  // Thousandths, as in `workload/run_time_statistics.py`.
  3: list<i32> values
}

struct RunTimeSummary {
  1: list<RunTimeEntry> entries
}

struct WorkCommand {
  1: optional WorkConfig config
  2: optional SubmitCommand submit
  3: optional CancelCommand cancel
  4: optional list<RunStart> starts
  5: optional list<RunEnd> ends
  6: optional list<WorkerRecord> workers
  7: optional Wave wave
  8: optional list<WaveBegun> begun
  9: optional EvacuationCommand evacuation
  // Entries of run times to store; they replace those of the same keys.
  10: optional RunTimeSummary run_times
}

// Incarnation of a worker that has said that it ends.
struct Departure {
  1: string worker_id
  2: i64 incarnation
}

struct WorkSnapshot {
  1: optional WorkConfig config
  2: list<JobRecord> jobs
  3: list<WorkerRecord> workers
  4: list<Wave> waves
  // Whether the build that wrote this records crashes under tasks.
  5: optional bool records_crashes
  6: optional list<Departure> departures
  // Not set by a build that does not record evacuations.
  7: optional list<Evacuation> evacuations
  // The stored entries, the latest changed ones last.
  8: optional RunTimeSummary run_times
}

enum JobOperation { SUBMIT = 1, READ = 2, CANCEL = 3, COUNT = 4 }

// A customer's call, passed on by an entry.
struct JobCall {
  1: JobOperation operation
  2: string request_id
  3: string host
  4: string path
  5: string key
  6: optional TaskJob job
}

enum JobVerdict {
  DONE = 1, NO_QUEUE = 2, BAD_KEY = 3, NO_JOB = 4, NOT_ACCEPTED = 5,
  NO_CONFIG = 6, INVALID = 7
}

struct JobAnswer {
  1: JobVerdict verdict
  2: JobState state
  3: i32 pending
  4: i32 retry_after_s
  5: string detail
}

struct MembersRequest {
  1: string sender
}

struct MembersReply {
  // RPC addresses of the control members that this one knows.
  1: list<string> addresses
  // Whether this member has never been part of a group.
  2: bool empty
  3: bool led
}

struct ReportRequest {
  1: optional WorkerReport report
  // Set instead of a report when a worker leaves.
  2: string leaving_worker_id
  3: i64 leaving_incarnation
}

struct ReportReply {
  1: bool accepted
}
