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

/** Slots: a holder asks the broker of a service for the right to use a slot. */
struct SlotRequest {
  1: string service_name,
  2: i64 sequence,
  3: double wait_ms,
  4: list<string> avoid,
}

struct SlotGrant {
  1: string service_name,
  2: i64 sequence,
  3: string upstream,
  4: i64 token,
  5: double linger_ms,
  6: bool refused,
}

/** `result` and `latency_ms` report the attempt that used the token. */
struct SlotReturn {
  1: string service_name,
  2: string upstream,
  3: i64 token,
  4: string result,
  5: double latency_ms,
  6: i32 uses,
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
}
