// Messages between entries. Regenerate with scripts/generate.
namespace cpp skylark.peer.wire

struct contact {
    1: i32 peer_ip
    2: i32 peer_port
    3: i32 callers_port
    4: i32 control_port
    5: i64 zone
    6: i32 callers_ip
    7: i32 control_ip
    8: i32 capacity
}

struct member_record {
    1: i64 id
    2: i64 incarnation
    3: contact reach
}

struct silence {
    1: i64 id
    2: i64 incarnation
    3: i64 age_us
}

struct load_digest {
    1: i64 upstream
    2: i64 incarnation
    3: i32 state
    4: i32 used
    5: i32 slots
    6: i32 queue
    7: i64 age_us
}

struct version_counts {
    1: i64 responses
    2: i64 failures
    3: i64 slow
    4: i64 timed
    5: i64 time_us
}

struct route_exposure {
    1: i32 route
    2: version_counts target
    3: version_counts earlier
}

struct exposure {
    1: i64 order
    2: i64 sequence
    3: i64 elapsed_us
    4: bool bad
    5: bool earlier_closed
    6: i64 earlier_in_progress
    7: i64 requests
    8: i64 target_requests
    9: i64 bad_upstreams
    10: list<route_exposure> routes
}

struct member_report {
    1: i64 id
    2: i64 incarnation
    3: i64 age_us
    4: i32 state
    5: i64 revision
    6: i32 requests
    7: bool missed
    8: bool store_lost
    9: i64 era
    10: i64 version
    11: optional list<exposure> exposures
    12: i64 sequence
}

struct instance {
    1: string id
    2: i32 role
    3: i32 ip
    4: i32 port
    5: string serves
    6: string zone
    7: bool leaving
    8: i64 incarnation
    9: i64 cold_us
    10: optional i64 gone_in_us
    11: i64 sequence
    12: optional string version
}

struct instance_name {
    1: i32 role
    2: string id
}

struct instance_changes {
    1: i64 base
    2: i64 index
    3: list<instance> present
    4: list<instance_name> removed
    5: i64 base_era
    6: i64 index_era
}

struct heartbeat {
    1: member_record sender
    2: i32 state
    3: i64 sequence
    4: i64 acknowledged
    5: i64 acknowledged_incarnation
    6: i64 view_hash
    7: i64 settled_hash
    8: i64 config_revision
    9: i64 instances_index
    10: i64 confirmed_age_us
    11: i32 requests
    12: list<silence> silent
    13: list<member_record> members
    14: list<load_digest> loads
    15: i64 clock
    16: i32 wants
    17: list<member_report> reports
    18: bool store_lost
    19: i64 config_era
    20: i64 config_version
    21: i64 instances_era
    22: optional list<exposure> exposures
    23: optional list<exposure> exposure_sums
}

// Tokens of rate limits. The first byte tells such a datagram from a heartbeat,
// whose first field is a structure. The fields have numbers of their own, so a
// decoder of heartbeats finds no sender and takes it for a bad datagram.
struct allowance {
    101: i32 kind
    102: i64 team
    103: i64 sender
    104: i64 sequence
    105: optional i32 count
    106: optional i32 ahead
    107: optional i32 returned
    108: optional bool owner_silent
    109: optional bool alone
    110: optional bool yielded
    111: optional i64 owner
    112: optional i64 room_in_us
    113: optional i64 quiet_us
    114: optional bool vouched
}
