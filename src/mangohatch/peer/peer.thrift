/** Messages between entry hosts. Regenerate with `make gen`. */
namespace py mangohatch.peer.gen

/** Frame around every message; `kind` names the struct in `body`. */
struct Envelope {
  1: string sender,
  2: i64 incarnation,
  3: i64 sent_wall_us,
  4: i32 sent_count,
  5: string kind,
  6: binary body,
}

/** Membership: a member as one host knows it. */
struct Member {
  1: string host_id,
  2: i64 incarnation,
  3: string state,
  4: string zone,
  5: string address,
  6: i32 peer_port,
  7: i32 admin_port,
  8: i64 config_revision,
  9: list<string> accusers,
}

struct Ping {
  1: i64 sequence,
  2: list<Member> members,
}

struct Ack {
  1: i64 sequence,
  2: list<Member> members,
}

struct PingRequest {
  1: i64 sequence,
  2: string target,
}

struct Nack {
  1: i64 sequence,
}

/** Anti-entropy of membership: hash first, the whole table when hashes differ. */
struct MemberDigest {
  1: i64 hash,
}

struct MemberSync {
  1: list<Member> members,
  2: bool reply_wanted,
}

/** Slots: a holder asks the broker of a shard for the right to use slots. */
struct SlotRequest {
  1: string shard,
  2: i64 sequence,
  3: i32 count,
  4: double wait_ms,
  5: list<string> avoid,
  6: bool isolated,
}

/** `recall` idle leases are to be given back, and each of `recalled` in any case. */
struct SlotGrant {
  1: string shard,
  2: i64 sequence,
  3: list<string> upstreams,
  4: list<i64> tokens,
  5: double linger_ms,
  6: i32 waiting,
  7: i32 recall,
  8: list<i64> recalled,
  9: bool isolated,
}

/** The end of an attempt, or of a lease when `freed` is set. */
struct SlotUse {
  1: string upstream,
  2: i64 token,
  3: string result,
  4: double latency_ms,
  5: bool freed,
  6: bool draining,
}

/** `waiting` counts the calls that wait at the sender. `held` and `held_tokens` renew leases; a new broker learns them from here. */
struct SlotReturn {
  1: string shard,
  2: list<SlotUse> uses,
  3: list<string> held,
  4: list<i64> held_tokens,
  5: i32 waiting,
}

/** An upstream's state as observed by one host. */
struct UpstreamNotice {
  1: string service_name,
  2: string upstream,
  3: string state,
  4: double ttl_ms,
  5: string cause,
  6: i64 revision,
}

/** A request whose attempts broke connections. */
struct QuarantineNotice {
  1: string service_name,
  2: string fingerprint,
  3: i32 crashes,
  4: double ttl_ms,
  5: list<string> upstreams,
  6: i32 epoch,
  7: i32 trials,
}

/** Configuration: one object of the platform at one revision. */
struct ConfigItem {
  1: string kind,
  2: string name,
  3: i64 revision,
  4: string json,
  5: bool deleted,
}

struct ConfigPush {
  1: list<ConfigItem> items,
  2: i64 revision,
  3: string watcher,
  4: i64 epoch,
}

/** Revisions by `kind/name`, for anti-entropy. */
struct ConfigDigest {
  1: map<string, i64> revisions,
}

struct ConfigPull {
  1: list<string> names,
}

/** Orders: every host checks an order before it is written, and confirms it after. */
struct OrderPrepare {
  1: string order_id,
  2: string kind,
  3: string name,
  4: i64 base_revision,
  5: string json,
}

struct OrderVote {
  1: string order_id,
  2: bool accepted,
  3: string reason,
  4: i64 revision,
  5: string code,
}

struct OrderConfirm {
  1: string order_id,
  2: string kind,
  3: string name,
  4: i64 revision,
}

struct OrderConfirmed {
  1: string order_id,
  2: i64 revision,
}

/** Time line: events on demand. */
struct EventQuery {
  1: string query_id,
  2: string filter_json,
  3: i32 limit,
}

struct EventBatch {
  1: string query_id,
  2: list<string> events,
  3: bool last,
  4: double wall_ms,
}

/** Operators' queries of other hosts. */
struct StatusQuery {
  1: string query_id,
  2: string subject,
  3: string filter_json,
}

struct StatusReply {
  1: string query_id,
  2: list<string> rows,
  3: i64 age_ms,
  4: bool truncated,
}

/** Directory of a fleet: version marks, and the content that hosts pull. */
struct DirectoryMark {
  1: string part,
  2: i64 revision,
  3: i64 digest,
  4: i32 age_ms,
  5: i32 reading,
  6: i32 origin,
  7: i64 origin_ms,
}

struct DirectoryMarks {
  1: list<DirectoryMark> marks,
  2: bool exchange,
  3: bool answer,
}

struct DirectoryPull {
  1: string part,
  2: i64 digest,
  3: i64 payload,
  4: list<i32> missing,
}

struct DirectoryPiece {
  1: DirectoryMark mark,
  2: i64 base,
  3: i64 payload,
  4: i32 number,
  5: i32 count,
  6: binary data,
}

/** Load of upstreams, measured once and told to all. */
struct LoadSample {
  1: string upstream,
  2: i32 running,
  3: i32 waiting,
  4: i32 slots,
  5: i32 slowdown_percent,
  6: i32 age_ms,
  7: bool healthy,
  8: double limit_per_s,
  9: i32 limit_age_ms,
  10: bool leaving,
  11: i32 cold_ms,
  12: i32 cold_age_ms,
}

/** An upstream process said age_ms ago that it leaves. */
struct LeavingNotice {
  1: string service_name,
  2: string upstream,
  3: string address,
  4: i32 port,
  5: double started_ms,
  6: i32 age_ms,
}

/** An upstream process asked the sender for a pause. */
struct PauseNotice {
  1: string service_name,
  2: string upstream,
  3: string address,
  4: i32 port,
  5: double started_ms,
  6: i32 rest_ms,
}

/** A host asks the owner of a limited upstream for permits. */
struct PermitRequest {
  1: string service_name,
  2: string upstream,
  3: i32 count,
  4: i64 number,
}

/** The owner permits requests to a limited upstream. */
struct PermitGrant {
  1: string service_name,
  2: string upstream,
  3: i32 count,
  4: i64 number,
}

/** A host returns permits that it did not use. */
struct PermitReturn {
  1: string service_name,
  2: string upstream,
  3: i32 count,
}

/** A host asks the owner of a client account's quota for permits. */
struct QuotaRequest {
  1: string account,
  2: i64 number,
  3: i32 members,
  4: i32 count,
  5: i32 ahead,
  6: i32 used,
}

/** The owner permits the request, or tells when there will be a token for it. */
struct QuotaAnswer {
  1: string account,
  2: i64 number,
  3: bool granted,
  4: i32 wait_ms,
  5: bool settling,
  6: i32 ahead,
}

/** A host returns a permit for a request that has certainly not run. */
struct QuotaReturn {
  1: string account,
}

struct LoadReport {
  1: string service_name,
  2: list<LoadSample> samples,
  3: bool relay,
}

/**
 * Requests that a host has just sent to upstreams, or whose answers have ended, and
 * how urgently others wait there; urgency is 0 when none does.
 */
struct PlacementNotes {
  1: string service_name,
  2: list<string> begun_upstreams,
  3: list<i32> begun_tokens,
  4: list<string> ended_upstreams,
  5: list<i32> ended_tokens,
  6: double urgency,
}

/** A host asks a peer to open a connection to an upstream process and to relay it. */
struct RelayRequest {
  1: string service_name,
  2: string upstream,
  3: string address,
  4: i32 port,
  5: double started_ms,
}

/** The answer of the peer; `refusal` is empty if the connection is open. */
struct RelayAnswer {
  1: string refusal,
}
