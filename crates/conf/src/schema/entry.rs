//! Schema of an instance's settings.

use super::{FileSpec, HOUR_MS, SectionSpec, count, duration, key, number};
use crate::value::ValueKind;

/// Settings of `lh-entry`.
pub const ENTRY: FileSpec = FileSpec {
    title: "lh-entry",
    sections: &[
        SectionSpec {
            kind: "instance",
            form: "instance",
            names: 0,
            doc: "Identity of the instance.",
            keys: &[
                key(
                    "name",
                    ValueKind::Text,
                    None,
                    "Name of the instance on the platform.",
                ),
                key("region", ValueKind::Text, None, "Its region."),
                key("domain", ValueKind::Text, None, "Its failure domain."),
                key(
                    "address",
                    ValueKind::Ip,
                    None,
                    "Its address, for other instances and for metrics.",
                ),
            ],
        },
        SectionSpec {
            kind: "entry",
            form: "entry",
            names: 0,
            doc: "Addresses and parameters of the entry.",
            keys: &[
                key(
                    "callers",
                    ValueKind::Address,
                    None,
                    "Address for requests of callers.",
                ),
                key(
                    "ready",
                    ValueKind::Address,
                    None,
                    "Address of the readiness check.",
                ),
                key(
                    "lookup",
                    ValueKind::Address,
                    None,
                    "Address where callers look up which instances to use, and where operators query its state.",
                ),
                key(
                    "metrics_port",
                    count(1, 65_535),
                    Some("9464"),
                    "Port of the metrics.",
                ),
                key(
                    "peer_ports",
                    ValueKind::Ports,
                    None,
                    "Ports for other instances: heartbeats on the first, data read from the store on the second.",
                ),
                key(
                    "peer_seeds",
                    ValueKind::Addresses,
                    Some(""),
                    "Addresses of a few other instances; ports are ignored.",
                ),
                key(
                    "domain_kilobyte",
                    number(0.0, 1e6),
                    Some("3"),
                    "Cost of sending a kilobyte between failure domains, in milliseconds of latency that callers may lose to avoid it.",
                ),
                key(
                    "region_kilobyte",
                    number(0.0, 1e6),
                    Some("6"),
                    "Cost of sending a kilobyte between regions, in the same unit.",
                ),
                key(
                    "once_records",
                    count(1, 100_000_000),
                    Some("50000"),
                    "Largest number of requests with tickets that are remembered at a time; further ones are refused.",
                ),
                key(
                    "pipelined_requests",
                    count(1, 64),
                    Some("1"),
                    "Number of requests of one connection that are served at the same time, where callers send further ones before the first is answered. Only requests that may be repeated are started before their turn.",
                ),
                key(
                    "connections_ahead",
                    ValueKind::Choice(&["yes", "no"]),
                    Some("no"),
                    "Whether connections to far servers are opened ahead of the requests that are expected there.",
                ),
                key(
                    "plan_returns",
                    ValueKind::Choice(&["yes", "no"]),
                    Some("no"),
                    "Whether instances tell each other which callers they refused, and prefer these when they return.",
                ),
                key(
                    "region_shares",
                    ValueKind::Choice(&["yes", "no"]),
                    Some("no"),
                    "Whether the callers of each region get like shares of a service's room where it is short.",
                ),
                key(
                    "connect_from_address",
                    ValueKind::Choice(&["yes", "no"]),
                    Some("no"),
                    "Whether connections to servers and to other instances leave from the instance's address, on machines with several.",
                ),
            ],
        },
        SectionSpec {
            kind: "store",
            form: "store",
            names: 0,
            doc: "The platform's store.",
            keys: &[key(
                "address",
                ValueKind::Address,
                None,
                "Address of the store.",
            )],
        },
        SectionSpec {
            kind: "bounds",
            form: "bounds",
            names: 0,
            doc: "Limits set by the platform. Those that it leaves empty have their defaults.",
            keys: &[
                key(
                    "grace",
                    duration(1, HOUR_MS),
                    Some("6s"),
                    "Time from SIGTERM to SIGKILL.",
                ),
                key(
                    "drain",
                    duration(100, HOUR_MS),
                    Some("2500ms"),
                    "Time after which a server that is leaving must receive no more requests. Determines how often the registry is read.",
                ),
                key(
                    "connect",
                    duration(1, HOUR_MS),
                    Some("400ms"),
                    "Timeout for connecting to a server; allows several round trips between regions. A server that takes longer is unreachable.",
                ),
                key(
                    "retry_ratio",
                    number(0.0, 100.0),
                    Some("0.2"),
                    "Retries allowed for each request, over all instances together.",
                ),
                key(
                    "retry_slack",
                    number(0.0, 1e9),
                    Some("0"),
                    "Retries allowed in addition in each window.",
                ),
                key(
                    "retry_window",
                    duration(1, HOUR_MS),
                    Some("10s"),
                    "Length of that window.",
                ),
                key(
                    "shift_cap",
                    number(0.0, 1.0),
                    Some("1"),
                    "Largest fraction of a region's requests that may move to another region from one window to the next.",
                ),
                key(
                    "config_apply",
                    duration(1, HOUR_MS),
                    Some("2500ms"),
                    "Time within which a desired state must be in force everywhere. An instance that has not heard of a desired state for this long rejects no request for an unknown key.",
                ),
                key(
                    "revoke",
                    duration(1, HOUR_MS),
                    Some("5s"),
                    "Time after which a revoked key must not be accepted anywhere.",
                ),
                key(
                    "revoke_cut_off",
                    ValueKind::Choice(&["true", "false"]),
                    Some("false"),
                    "Whether this also holds for instances that are cut off; they then refuse requests with keys.",
                ),
                key(
                    "quota_window",
                    duration(1, HOUR_MS),
                    Some("5s"),
                    "Window over which a team's requests are summed across all instances.",
                ),
                key(
                    "quota_excess",
                    number(0.0, 10.0),
                    Some("0.1"),
                    "Fraction of its quota by which a team may exceed it in a window.",
                ),
                key(
                    "quota_slack",
                    number(0.0, 1e9),
                    Some("20"),
                    "Requests by which a team may exceed its quota in addition.",
                ),
                key(
                    "exposure_share",
                    number(0.0, 1.0),
                    Some("0.1"),
                    "Fraction of a service's requests that a bad version may receive during a rollout, over all instances.",
                ),
                key(
                    "exposure_slack",
                    number(0.0, 1e9),
                    Some("50"),
                    "Requests that it may receive in addition.",
                ),
                key(
                    "lookup_ttl_most",
                    duration(1, HOUR_MS),
                    Some("5s"),
                    "Longest time for which callers may cache the answer to a look-up.",
                ),
                key(
                    "memory_mb",
                    count(1, 1 << 20),
                    Some("256"),
                    "Memory limit of the process; bodies may use a quarter of it.",
                ),
                key(
                    "processor_share",
                    number(0.0, 1024.0),
                    Some("1"),
                    "Share of a processor core that the process may use.",
                ),
                key(
                    "processor_speed",
                    number(0.0, 1024.0),
                    Some("1"),
                    "Speed of that core relative to a usual one.",
                ),
                key(
                    "link_megabits",
                    number(0.0, 1e6),
                    Some("1000"),
                    "Bandwidth of the instance's network link, in megabits per second. Callers are directed to the entries with the most processor and link capacity.",
                ),
                key(
                    "descriptors",
                    count(1, 1 << 24),
                    Some("1024"),
                    "Limit on file descriptors of the process; callers may use half of them.",
                ),
            ],
        },
        SectionSpec {
            kind: "place",
            form: "place DOMAIN",
            names: 1,
            doc: "A failure domain of the deployment.",
            keys: &[key("region", ValueKind::Text, None, "Its region.")],
        },
    ],
};
