// Settings of the daemons. Annotations bound what a file may say:
// min, max, default, choices, form (address, zone, name, folder).
namespace py banyantrack.generated.settings

// One member of the control group.
struct ControlMember {
  // Name of the member, unique in the group.
  1: required string name (form = "name")
  // Address of its RPC port, as IP:PORT.
  2: required string address (form = "address")
}

// Replicated log and its files.
struct ReplicationSettings {
  // Shortest time without a leader before an election starts.
  1: optional i32 election_timeout_ms (default = "500", min = "50", max = "60000")
  // Longest time between two messages from the leader to a follower.
  2: optional i32 heartbeat_ms (default = "120", min = "10", max = "10000")
  // Entries kept in the log before a snapshot replaces them.
  3: optional i32 snapshot_entries (default = "5000", min = "10", max = "1000000")
  // Bytes of a snapshot sent in one message.
  4: optional i32 snapshot_chunk_bytes (default = "65536", min = "1024", max = "4194304")
  // Bytes of entries sent in one message.
  5: optional i32 append_bytes (default = "262144", min = "1024", max = "4194304")
  // Whether proposals that wait together are synced together.
  6: optional bool group_commit (default = "true")
}

// Placement of jobs.
struct PlacementSettings {
  // Time that a worker may run tasks without renewing its lease.
  1: optional i32 lease_ms (default = "3000", min = "200", max = "600000")
  // Longest time that a worker's report is held open for commands.
  2: optional i32 report_wait_ms (default = "1000", min = "50", max = "300000")
  // Time that a task is given to write a checkpoint before it is stopped.
  3: optional i32 checkpoint_grace_ms (default = "1500", min = "0", max = "600000")
  // Time between two placement rounds when nothing else starts one.
  4: optional i32 round_ms (default = "500", min = "10", max = "60000")
  // Selector that every job and guarantee has besides its own.
  5: optional string default_selector (default = "!down")
  // Placement score by name.
  6: optional string score (default = "adjacent")
  // Victim choice by name.
  7: optional string victims (default = "least-loss")
  // Queue order by name.
  8: optional string queue (default = "aged-shortest")
}

// Log lines.
struct LoggingSettings {
  // Least severe level that is written.
  1: optional string level (default = "info", choices = "debug,info,warning,error")
  // File to append to; empty for standard output.
  2: optional string file (default = "")
}

// An operator's token, given as the SHA-256 digest of its text.
struct Token {
  // Name that appears in the log.
  1: required string name (form = "name")
  // SHA-256 digest in hexadecimal.
  2: required string sha256 (form = "sha256")
  // What its holder may do.
  3: required string role (choices = "operator,monitoring,read-only")
}

// The platform's interface of control, served beside the operators' one.
struct ControlPlatformSettings {
  // Address for workers and the platform's operator, as IP:PORT.
  1: required string address (form = "address")
  // Addresses of the same interface at members that may be asked first.
  2: required list<string> seeds (form = "address", min = "0", max = "7")
  // Whether the whole system starts for the first time.
  3: optional bool first_start (default = "false")
  // Members whose data folders may be lost at once.
  4: optional i32 tolerated_losses (default = "2", min = "0", max = "3")
  // Longest lease that a worker grants.
  5: optional i32 lease_ms (default = "6000", min = "500", max = "600000")
  // Longest time that a worker takes to stop a task.
  6: optional i32 stop_ms (default = "400", min = "1", max = "60000")
  // Time after which a gang's member gives up waiting for the others.
  7: optional i32 gang_ms (default = "3000", min = "100", max = "600000")
  // Times that a task takes longer away from its data, or a gang apart.
  8: optional double remote_factor (default = "3", min = "1", max = "1000")
  // Address of the policy service; empty if there is none.
  9: optional string advice_address (default = "")
  // Address of the service that manages machines; empty if there is none.
  10: optional string machines_address (default = "")
  // Time that finished jobs are kept.
  11: optional i32 status_s (default = "120", min = "1", max = "86400")
  // Time that a machine's upkeep takes.
  12: optional double upkeep_s (default = "2", min = "0", max = "86400")
  // Longest time that a serving task may be over its target.
  13: optional i32 interference_ms (default = "4000", min = "100", max = "600000")
  // Availability zones that can be evacuated; any name if this is empty.
  14: optional list<string> zones (form = "zone", min = "0", max = "1000")
  // Time that runs in an evacuated zone are left before they are moved; 0 to
  // leave them until they end.
  15: optional i32 evacuation_grace_ms (default = "0", min = "0", max = "86400000")
  // Connections to workers that stay open at once: one to each for renewals
  // of its lease, and others for orders, of which those that were idle for
  // longest are closed.
  22: optional i32 worker_connections (default = "3072", min = "1", max = "100000")
  // Workers above which they report to all members in turn, not only to the
  // leader.
  23: optional i32 leader_reports (default = "500", min = "0", max = "1000000")
  // Least ratio of the speeds of the fastest and the slowest tenth of the
  // workers at which placement uses speeds; 0 for never.
  17: optional double speed_spread_min (default = "0", min = "0", max = "1000")
  // Forecasts of run times: a single expected time for each queue, or a
  // distribution that is learned from ended runs.
  19: optional string run_time_forecasts (default = "off", choices = "off,learned")
}

// The platform's interface of an entry.
struct EntryPlatformSettings {
  // Address for customers, as IP:PORT.
  1: required string address (form = "address")
  // Address for the platform's readiness probes, as IP:PORT.
  2: required string readiness_address (form = "address")
  // Platform addresses of control members that may be asked first.
  3: required list<string> seeds (form = "address", min = "0", max = "7")
  // RPC port of control members.
  4: required i32 control_rpc_port (min = "1", max = "65535")
  // Time that a planned stop waits for requests in flight.
  5: optional i32 stop_grace_ms (default = "4500", min = "0", max = "600000")
}

// Limits that keep clients from exhausting the process's memory, descriptors
// and processor time.
struct LimitSettings {
  // Memory of the host in MB, which the limits of buffered bytes and of
  // connections follow; 0 if it is not known.
  1: optional i32 memory_mb (default = "0", min = "0", max = "16777216")
  // Descriptors of the process; 0 takes the limit of the operating system.
  2: optional i32 descriptors (default = "0", min = "0", max = "16777216")
  // Descriptors that are kept free for files.
  3: optional i32 file_descriptors (default = "200", min = "0", max = "1000000")
  // Bytes that requests may hold in memory together; 0 takes a part of
  // memory_mb, or 128 MiB if that is 0. Requests may always hold 24 MiB, and
  // RPC frames 20 MiB.
  4: optional i64 buffered_bytes (default = "0", min = "0", max = "1099511627776")
  // Share of the buffered bytes that the requests of one address may hold.
  5: optional double source_share (default = "0.75", min = "0.01", max = "1")
  // Longest time from the first byte of a request's head to its last one.
  6: optional i32 head_timeout_ms (default = "15000", min = "100", max = "600000")
  // Longest time from a request's head to the last byte of its body.
  7: optional i32 body_timeout_ms (default = "120000", min = "100", max = "3600000")
  // Longest time for a client to read one part of a response.
  8: optional i32 send_timeout_ms (default = "60000", min = "100", max = "3600000")
  // Longest idle time of a client's connection.
  9: optional i32 idle_timeout_ms (default = "300000", min = "100", max = "3600000")
  // Chunks of a body after which their mean size is checked.
  10: optional i32 unchecked_chunks (default = "1024", min = "1", max = "1000000")
  // Least mean size of a body's chunks.
  11: optional i32 mean_chunk_bytes (default = "64", min = "0", max = "65536")
}

// Settings of banyan-control.
struct ControlSettings {
  // Name of this member, one of `members` unless it joins later.
  1: required string name (form = "name")
  // Availability zone of this host.
  2: required string zone (form = "name")
  // RPC address, as IP:PORT.
  3: required string rpc_address (form = "address")
  // HTTP address for workers and operators, as IP:PORT.
  4: required string http_address (form = "address")
  // Folder of the durable state.
  5: required string data_folder (form = "folder")
  // First members of the group.
  6: optional list<ControlMember> members (min = "1", max = "7")
  // Replicated log.
  7: optional ReplicationSettings replication
  // Placement of jobs.
  8: optional PlacementSettings placement
  // Log lines.
  9: optional LoggingSettings logging
  // Operators' tokens; required off loopback.
  10: optional list<Token> tokens
  // The platform's interface; none is served if this is left out.
  11: optional ControlPlatformSettings platform (absent = "none")
  // Limits of what clients may use.
  12: optional LimitSettings limits
}

// Limits of requests.
struct DispatchSettings {
  // Balancing policy by name.
  1: optional string balancer (default = "least-expected-wait")
  // Requests that may wait in all, besides the limits of routes.
  2: optional i32 queue_limit (default = "512", min = "1", max = "100000")
  // Share of a backend's slots that only quick requests may use.
  3: optional double quick_reserve (default = "0.25", min = "0", max = "1")
  // Share of first attempts that may be retried or hedged.
  4: optional double retry_budget (default = "0.1", min = "0", max = "1")
  // Largest body that is kept for a retry.
  5: optional i32 replay_bytes (default = "65536", min = "0", max = "16777216")
  // Largest body that a caller may send.
  6: optional i64 body_limit_bytes (default = "1073741824", min = "1", max = "1099511627776")
  // Longest idle time of a connection that is used again.
  7: optional i32 connection_idle_ms (default = "4000", min = "1", max = "600000")
  // Connections to one backend from all entries together.
  8: optional i32 backend_connections (default = "60", min = "1", max = "10000")
  // Longest time for a caller to send its next bytes.
  9: optional i32 caller_timeout_ms (default = "10000", min = "10", max = "600000")
  // Longest time to open a connection to a backend.
  10: optional i32 connect_timeout_ms (default = "1000", min = "10", max = "60000")
  // Time after which a backend that has stopped announcing is used last.
  11: optional i32 announcement_lapse_ms (default = "15000", min = "100", max = "3600000")
  // Time without news of control or of any peer after which requests are
  // refused, when some process is known to be reachable elsewhere.
  12: optional i32 isolation_ms (default = "6000", min = "100", max = "3600000")
  // Callers' connections that are open at once.
  13: optional i32 caller_connections (default = "2000", min = "1", max = "100000")
  // Largest answer that is recorded for a claimed request.
  14: optional i32 claim_answer_bytes (default = "16384", min = "0", max = "1048576")
  // Time that a planned stop waits for requests in flight.
  15: optional i32 stop_grace_ms (default = "60000", min = "0", max = "3600000")
}

// Settings of banyan-entry.
struct EntrySettings {
  // Name of this entry, unique in the system.
  1: required string name (form = "name")
  // Availability zone of this host.
  2: required string zone (form = "name")
  // HTTP address for callers, backends and operators, as IP:PORT.
  3: required string http_address (form = "address")
  // RPC address for other entries, as IP:PORT.
  4: required string rpc_address (form = "address")
  // RPC addresses of control members.
  5: optional list<string> control (form = "address", min = "1", max = "7")
  // RPC addresses of other entries that are asked first.
  6: optional list<string> peers (form = "address")
  // Time between two gossip messages.
  7: optional i32 gossip_ms (default = "250", min = "10", max = "60000")
  // Limits of requests.
  8: optional DispatchSettings dispatch
  // Log lines.
  9: optional LoggingSettings logging
  // Operators' tokens; required off loopback.
  10: optional list<Token> tokens
  // The platform's interface; the entry then takes jobs in its form only.
  11: optional EntryPlatformSettings platform (absent = "none")
  // Limits of what clients may use.
  12: optional LimitSettings limits
}

// One service-level objective.
struct Objective {
  // Name of the objective.
  1: required string name (form = "name")
  // Route that it speaks of; empty for all.
  2: optional string route (default = "", form = "name")
  // Customer that it speaks of; empty for all.
  3: optional string customer (default = "", form = "name")
  // Share of requests that should be answered in time.
  4: optional double target (default = "0.99", min = "0.5", max = "0.99999")
  // Window of the error budget.
  5: optional i32 window_s (default = "2592000", min = "60", max = "31536000")
}

// Settings of banyan-report.
struct ReportSettings {
  // The objectives.
  1: required list<Objective> objectives (min = "1", max = "1000")
}
