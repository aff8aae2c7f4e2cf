/*
 * Messages between rattanvalve processes.
 * Field names match the data classes in rattanvalve/messages.py.
 * Regenerate with `make generate` after a change.
 */

struct Member {
  1: string name
  2: string role
  3: string host
  4: i32 port
  5: string zone
  6: string service_name
  7: string incarnation
}

struct View {
  1: string cell
  2: i64 epoch
  3: list<Member> members
  4: string change_id
  5: list<Member> former
}

struct Header {
  1: string name
  2: string content
}

struct Usage {
  1: i64 prompt_tokens
  2: i64 cached_tokens
  3: i64 output_tokens
}

struct Begin {
  1: string request_id
  2: string workspace
  3: i32 shard
  4: string key_digest
  5: string program_id
  6: string parent_program_id
  7: i32 priority
  8: string idempotency_key
  9: string service_name
  10: bool is_repeatable
  11: i64 prompt_tokens
  12: i64 max_tokens
  13: list<i64> history_digests
  14: bool is_program_end
  15: i64 epoch
  16: i64 timeout_ms
  17: i64 config_generation
}

struct Ticket {
  1: string number
  2: i64 epoch
  3: string owner
  4: string request_id
  5: string workspace
  6: i32 shard
  7: string program_id
  8: i32 turn
  9: string service_name
  10: string endpoint
  11: string endpoint_incarnation
  12: string host
  13: i32 port
  14: i32 priority
  15: i64 attained_tokens
  16: i64 reserved_tokens
  17: bool is_repeatable
  18: string idempotency_key
  19: i64 history_digest
  20: i64 timeout_ms
  21: i64 cache_hold_ms
  22: bool is_program_end
}

struct Run {
  1: Ticket ticket
  2: string method
  3: string path
  4: list<Header> headers
  5: binary body
  6: bool is_stream
  7: string resume_text
}

struct Head {
  1: string number
  2: i32 http_status
  3: list<Header> headers
}

struct Chunk {
  1: string number
  2: binary content
}

struct End {
  1: string number
  2: string outcome
  3: Usage usage
  4: i32 running_count
  5: i32 queued_count
}

struct Refusal {
  1: i32 code
  2: string detail
  3: i64 retry_after_ms
  4: i64 epoch
}

struct Outcome {
  1: string number
  2: string outcome
  3: string endpoint
  4: string endpoint_incarnation
  5: string host
  6: i32 port
  7: string program_id
}

struct Settle {
  1: string number
  2: i64 epoch
  3: i64 wait_ms
  4: string endpoint_incarnation
}

struct Settled {
  1: string number
  2: string outcome
  3: i32 http_status
  4: list<Header> headers
  5: binary body
  6: Usage usage
}

struct Finish {
  1: string number
  2: string workspace
  3: i32 shard
  4: string program_id
  5: string outcome
  6: Usage usage
  7: i64 epoch
}

struct Resolve {
  1: string number
  2: string request_id
  3: string workspace
  4: i32 shard
  5: string program_id
  6: string reason
  7: bool is_relay_started
  8: i64 epoch
}

struct RecordSummary {
  1: Ticket ticket
  2: string outcome
  3: Usage usage
  4: i64 age_ms
}

struct Seal {
  1: View view
  2: string owner
}

struct Sealed {
  1: string endpoint
  2: string incarnation
  3: i64 epoch
  4: list<RecordSummary> records
}

struct Announce {
  1: Member member
  2: i64 epoch
  3: i32 running_count
  4: i32 queued_count
  5: i32 capacity_count
  6: bool is_leaving
  7: bool is_healthy
}

struct Heartbeat {
  1: Member member
  2: i64 epoch
  3: i64 generation
  4: i64 confirmation_age_ms
  5: bool is_store_reachable
  6: bool is_leaving
}

struct Ack {
  1: i64 epoch
  2: i64 generation
  3: i64 confirmation_age_ms
  4: bool is_store_reachable
  5: string queue_policy
}

struct Pull {
  1: string kind
  2: i64 newer_than
}

struct Document {
  1: string kind
  2: i64 version
  3: binary body
  4: i64 age_ms
}

struct Handover {
  1: i64 epoch
  2: string owner
  3: binary state
}

struct Release {
  1: string workspace
  2: string program_id
  3: i64 epoch
}

struct Explain {
  1: string workspace
  2: i32 shard
  3: string program_id
  4: string request_id
}

struct LedgerEntry {
  1: string turn_id
  2: i64 tokens
  3: bool is_settled
}

struct Reserve {
  1: string program_id
  2: string turn_id
  3: i64 tokens
  4: i64 retention_ms
  5: i64 epoch
}

struct Ledger {
  1: bool is_complete
  2: list<LedgerEntry> entries
  3: i64 epoch
}

struct TurnRecord {
  1: string turn_id
  2: string program_id
  3: string workspace
  4: string previous_id
  5: binary prompt
  6: binary output
  7: i64 tokens
  8: i64 retention_ms
  9: i64 epoch
}

struct SettleTurn {
  1: string program_id
  2: string turn_id
  3: i64 tokens
  4: i64 retention_ms
  5: i64 epoch
}

struct Stored {
  1: bool is_complete
  2: i64 epoch
}

struct FetchTurn {
  1: string turn_id
  2: i64 epoch
}

struct TurnChain {
  1: bool is_complete
  2: list<TurnRecord> turns
  3: i64 epoch
}

struct RecordKey {
  1: string key
  2: string program_id
}

struct ListRecords {
  1: string member
  2: i64 after
  3: i64 epoch
  4: i64 complete_epoch
}

struct RecordList {
  1: string incarnation
  2: i64 next_after
  3: bool is_end
  4: list<RecordKey> keys
  5: i64 epoch
  6: bool is_intact
}

struct FetchRecords {
  1: list<string> keys
}

struct RecordBatch {
  1: list<binary> records
  2: i32 key_count
}

struct EndpointLoadReport {
  1: string endpoint
  2: i64 count
  3: i64 speed_percent
  4: i64 age_ms
}

struct TakeRate {
  1: string workspace
  2: bool is_start
  3: i32 priority
  4: i64 wait_max_ms
  5: list<EndpointLoadReport> loads
}

struct RateGrant {
  1: bool is_known
  2: bool is_granted
  3: i64 wait_ms
  4: list<EndpointLoadReport> loads
  5: i64 used_percent
}

struct RateTransfer {
  1: string workspace
  2: double tokens
}

struct TransferRates {
  1: list<RateTransfer> transfers
}

struct RatesAccepted {
}

struct ExplainPlacement {
  1: string host
  2: string path
  3: string workspace
  4: string prompt_parts
  5: string request_id
  6: i64 payload_bytes
  7: bool continues_program
}

struct ExplainedCandidate {
  1: string endpoint
  2: string zone
  3: double expected_count
  4: i64 report_age_ms
  5: i64 cached_tokens
  6: bool has_idle_connection
  7: bool is_preferred
  8: bool is_avoided
  9: bool has_room
  10: double health_penalty_ms
  11: double surcharge_ms
  12: double expected_ms
}

struct PlacementExplained {
  1: string service_name
  2: string chosen
  3: string reason
  4: list<ExplainedCandidate> candidates
}

struct Introduce {
  1: string host
  2: i32 port
}

struct GatewayList {
  1: list<string> hosts
}

struct ProbeRelay {
}

struct RelayState {
  1: bool reaches_stores
}

struct Relayed {
  1: string host
  2: i32 port
  3: i32 kind
  4: binary payload
  5: i64 timeout_ms
}

struct EndpointLimit {
  1: string endpoint
  2: bool is_limited
  3: double rate_per_s
  4: i64 age_ms
}

struct RequestCrash {
  1: string fingerprint
  2: string endpoint
  3: string workspace
  4: string path
  5: i64 run_ms
  6: i64 crash_age_ms
  7: bool is_cleared
}

struct Observations {
  1: list<EndpointLimit> limits
  2: list<RequestCrash> crashes
  3: i64 crash_digest
  4: i64 wait_ms
  5: list<EndpointLoadReport> loads
}

struct TakeEndpointRate {
  1: EndpointLimit limit
  2: bool is_start
  3: i32 priority
  4: i64 wait_max_ms
}
