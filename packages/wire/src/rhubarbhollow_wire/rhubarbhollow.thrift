// Messages between the processes of rhubarbhollow. Field names equal
// those of the frozen data classes in the packages that own them. A trailing
// underscore avoids a word that Thrift reserves.
namespace py rhubarbhollow

// --- quorum log, between control instances -------------------------

struct Entry {
  1: i64 index
  2: i64 term
  3: i32 kind
  4: binary payload
}

struct VoteRequest {
  1: i64 term
  2: string candidate
  3: i64 last_index
  4: i64 last_term
  5: bool is_probe
  6: string store_id
  7: i64 probe_round = 0
  8: bool is_vacant = false
}

struct VoteReply {
  1: i64 term
  2: string voter
  3: bool is_granted
  4: bool is_probe
  5: string store_id
  6: i64 probe_round = 0
  7: bool holds_no_lease = false
}

struct AppendRequest {
  1: i64 term
  2: string leader
  3: i64 previous_index
  4: i64 previous_term
  5: list<Entry> entries
  6: i64 commit_index
  7: i64 round
  8: i64 acked_round
  9: i64 confirmed_round
  10: string store_id
}

struct AppendReply {
  1: i64 term
  2: string follower
  3: bool is_success
  4: i64 match_index
  5: i64 round
  6: string store_id
}

// From a member that is about to stop, to the leader.
struct LeaveRequest {
  1: string member
}

struct SnapshotChunk {
  1: i64 term
  2: string leader
  3: i64 last_index
  4: i64 last_term
  5: i64 offset
  6: binary data
  7: bool is_last
  8: i64 round
  9: string store_id
}

struct SnapshotReply {
  1: i64 term
  2: string follower
  3: i64 last_index
  4: i64 offset
  5: i64 round
  6: string store_id
}

// --- node to control instance --------------------------------------

struct Hello {
  1: string mesh
  2: string node
  3: string data_centre
  4: i64 incarnation
  5: i64 active_position
  6: binary active_digest
  7: i64 staged_position
  8: string endpoints_source
  9: i64 endpoints_version
}

struct StagedReport {
  1: i64 position
  2: binary digest
}

struct ActiveReport {
  1: i64 position
}

struct NodeHeartbeat {
  1: i64 active_position
  2: i64 staged_position
}

struct StageRequest {
  1: i64 base_position
  2: binary base_digest
}

struct EndpointRecord {
  1: string name
  2: string service_
  3: string node
  4: string data_centre
  5: string peer_host
  6: i32 peer_port
  7: i32 slots
  8: i32 state
  9: i32 load_percent
  10: i64 incarnation
  11: i64 sequence
  // Empty if the upstream states none; older records have no such field.
  12: string version = ""
  // 13 told withdrawals from ended leases in earlier versions.
}

struct EndpointReport {
  1: list<EndpointRecord> records
}

// --- control instance to node --------------------------------------

// ``node_incarnation`` is the one under which the node goes on.
struct Welcome {
  1: string control
  2: string data_centre
  3: i64 incarnation
  4: i64 node_incarnation
  // 5 held withdrawals in earlier versions.
}

struct Stage {
  1: i64 position
  2: i64 version
  3: binary base_digest
  4: binary digest
  5: binary approval_document
  6: binary difference
}

struct Activate {
  1: i64 position
  2: binary digest
}

struct ControlHeartbeat {
  1: bool is_fresh
  2: i64 latest_position
  3: i64 active_position
}

struct EndpointChange {
  1: string source
  2: i64 base_version
  3: i64 version
  4: list<EndpointRecord> records
  5: bool is_full
}

struct Redirect {
  1: i32 reason
  2: i32 retry_after_ms
}

// --- control instance to control instance --------------------------

struct PeerHello {
  1: string mesh
  2: string control
  3: i64 incarnation
  4: i32 group
}

// Every control instance that the sender knows, itself among them.
struct ControlAddress {
  1: string name
  2: string data_centre
  3: string host
  4: i32 port
}

struct ControlList {
  1: list<ControlAddress> controls
}

// Asks a control instance for every endpoint that it vouches for.
struct EndpointsRequest {
  1: string control
}

struct PositionCount {
  1: i64 position
  2: i32 count
}

struct RegisterSummary {
  1: string control
  2: i32 live_nodes
  3: list<PositionCount> staged
  4: list<PositionCount> in_force
}

struct NodeStatus {
  1: string name
  2: string data_centre
  3: string control
  4: i64 active_position
  5: i64 staged_position
  6: double age_seconds
}

struct NodesRequest {
  1: i64 request_id
}

struct NodesAnswer {
  1: i64 request_id
  2: list<NodeStatus> nodes
}

// A command that a follower hands to the leader on a caller's behalf.
struct ProposeRequest {
  1: i64 request_id
  2: i32 group
  3: binary payload
  4: i32 kind
}

struct ProposeAnswer {
  1: i64 request_id
  2: i32 status
  3: binary outcome
  4: string leader
}

// --- requests that run at most once ---------------------------------

// A command for the claim ledger; see rhubarbhollow_calls.claim_codec.
struct ClaimRequest {
  1: i64 request_id
  2: binary command
}

// ``outcome`` is empty if the command was not committed in time.
struct ClaimAnswer {
  1: i64 request_id
  2: binary outcome
}

// --- upstreams that leave --------------------------------------------

// An upstream process that a node has acknowledged as leaving.
struct Departure {
  1: string name
  2: i64 started_at_ms
  3: i64 sequence
  4: bool is_withdrawn
  5: i64 noted_at_ms
}

// From a node: record these, or without any, return those of the node.
struct DepartureRequest {
  1: i64 request_id
  2: list<Departure> departures
}

struct DepartureAnswer {
  1: i64 request_id
  2: bool is_confirmed
  3: list<Departure> departures
}

// --- requests that crash upstreams ----------------------------------

struct CrashReport {
  1: binary fingerprint
  2: string upstream
  3: i64 incarnation
  4: double at
}

struct Exoneration {
  1: binary fingerprint
  2: string upstream
  3: i64 incarnation
  4: double at
}

// --- service-level burn ----------------------------------------------

struct BurnRequest {
  1: i64 request_id
}

// Calls of one subject within the window that ends now.
struct BurnCount {
  1: string scope
  2: string service_
  3: string name
  4: i32 window_seconds
  5: i64 calls
  6: i64 failed
  7: i64 late
}

struct BurnAnswer {
  1: i64 request_id
  2: list<BurnCount> counts
}

// --- load of upstreams -------------------------------------------------

struct RouteTime {
  1: string route
  2: i32 service_ms
}

struct UpstreamLoad {
  1: string name
  2: i32 interactive_ms
  3: i32 bulk_ms
  4: i32 work_percent
  5: list<RouteTime> times
}

// From a node to its control instance, and from there to the nodes of
// the data centre.
struct LoadReport {
  1: list<UpstreamLoad> loads
}

// --- quotas ------------------------------------------------------------

// Rates and tokens are in thousandths; see rhubarbhollow_quota.messages.
struct QuotaClaim {
  1: string tenant
  2: i64 demand
  3: i64 wanted
  4: i64 rate
  5: i64 burst
  6: i64 level
  7: i64 returned
  8: i64 whole_rate
  9: i64 whole_burst
  10: i64 applied
  11: bool is_half
}

struct QuotaReport {
  1: string child
  2: i64 incarnation
  3: i64 number
  4: string parent
  5: i64 epoch
  6: i64 target
  7: list<QuotaClaim> claims
}

struct QuotaShare {
  1: string tenant
  2: i64 rate
  3: i64 burst
  4: i64 excess
  5: i64 tokens
  6: i64 whole_rate
  7: i64 whole_burst
  8: i64 full_ms
  9: i64 half_ms
  10: i64 retry_ms
}

struct QuotaGrant {
  1: string parent
  2: i64 epoch
  3: i64 number
  4: i64 answers
  5: list<QuotaShare> shares
}

// --- rollouts of a service's version ---------------------------------

// Counts of one route at the old and the new version.
struct RolloutEvidence {
  1: i64 number
  2: string route
  3: i64 stable_calls
  4: i64 stable_failed
  5: i64 stable_broken
  6: i64 stable_slow
  7: i64 new_calls
  8: i64 new_failed
  9: i64 new_broken
  10: i64 new_slow
}

// From a node, while a rollout runs; the answer repeats ``sequence``.
struct RolloutReport {
  1: i64 sequence
  2: list<RolloutEvidence> evidence
}

struct RolloutView {
  1: string service_
  2: i64 number
  3: i64 revision
  4: string new_version
  5: string stable_version
  6: i32 state
  7: i32 share_permille
  8: i32 step
}

struct RolloutExposure {
  1: i64 sequence
  2: i32 age_ms
  3: list<RolloutView> rollouts
}

// From a control instance to the leader: totals since its start.
struct RolloutSummary {
  1: string control
  2: i64 incarnation
  3: list<RolloutEvidence> evidence
}

// One frame carries exactly one message.
struct Frame {
  1: optional VoteRequest vote_request
  2: optional VoteReply vote_reply
  3: optional AppendRequest append_request
  4: optional AppendReply append_reply
  5: optional SnapshotChunk snapshot_chunk
  6: optional SnapshotReply snapshot_reply
  7: optional Hello hello
  8: optional StagedReport staged_report
  9: optional ActiveReport active_report
  10: optional NodeHeartbeat node_heartbeat
  11: optional StageRequest stage_request
  12: optional EndpointReport endpoint_report
  13: optional Welcome welcome
  14: optional Stage stage
  15: optional Activate activate
  16: optional ControlHeartbeat control_heartbeat
  17: optional EndpointChange endpoint_change
  18: optional Redirect redirect
  19: optional PeerHello peer_hello
  20: optional RegisterSummary register_summary
  21: optional NodesRequest nodes_request
  22: optional NodesAnswer nodes_answer
  23: optional ProposeRequest propose_request
  24: optional ProposeAnswer propose_answer
  25: optional EndpointsRequest endpoints_request
  26: optional ClaimRequest claim_request
  27: optional ClaimAnswer claim_answer
  28: optional CrashReport crash_report
  29: optional Exoneration exoneration
  30: optional BurnRequest burn_request
  31: optional BurnAnswer burn_answer
  32: optional ControlList control_list
  33: optional LeaveRequest leave_request
  34: optional QuotaReport quota_report
  35: optional QuotaGrant quota_grant
  36: optional DepartureRequest departure_request
  37: optional DepartureAnswer departure_answer
  50: optional RolloutReport rollout_report
  51: optional RolloutExposure rollout_exposure
  52: optional RolloutSummary rollout_summary
  60: optional LoadReport load_report
}
