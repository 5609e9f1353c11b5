//! Sections and keys of an instance's settings.

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
            doc: "Which instance this is.",
            keys: &[
                key(
                    "name",
                    ValueKind::Text,
                    None,
                    "The platform's name of the instance.",
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
            doc: "Where it is reached.",
            keys: &[
                key(
                    "callers",
                    ValueKind::Address,
                    None,
                    "Where callers send requests.",
                ),
                key(
                    "ready",
                    ValueKind::Address,
                    None,
                    "Where readiness is asked for.",
                ),
                key(
                    "lookup",
                    ValueKind::Address,
                    None,
                    "Where callers ask which instances to use, and operators for its state.",
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
                    "Ports for other instances: beats at the first, what was read from the store at the second.",
                ),
                key(
                    "peer_seeds",
                    ValueKind::Addresses,
                    Some(""),
                    "A few other instances; their ports are ignored.",
                ),
                key(
                    "domain_kilobyte",
                    number(0.0, 1e6),
                    Some("3"),
                    "What a kilobyte between failure domains costs, in milliseconds of latency that callers may lose for it.",
                ),
                key(
                    "region_kilobyte",
                    number(0.0, 1e6),
                    Some("6"),
                    "The same between regions.",
                ),
                key(
                    "once_records",
                    count(1, 100_000_000),
                    Some("50000"),
                    "Requests under tickets that are remembered at once; further ones are refused.",
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
                "Where it is reached.",
            )],
        },
        SectionSpec {
            kind: "bounds",
            form: "bounds",
            names: 0,
            doc: "Bounds that the platform sets. One that it leaves empty has its default.",
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
                    "Time within which a server that leaves must get no more requests: how often the registry is read follows from it.",
                ),
                key(
                    "connect",
                    duration(1, HOUR_MS),
                    Some("400ms"),
                    "Longest time in which a server accepts a connection: several round trips between regions. One that takes longer is unreachable.",
                ),
                key(
                    "retry_ratio",
                    number(0.0, 100.0),
                    Some("0.2"),
                    "Repeats allowed for each request, by all instances together.",
                ),
                key(
                    "retry_slack",
                    number(0.0, 1e9),
                    Some("0"),
                    "Repeats allowed besides, in a window.",
                ),
                key(
                    "retry_window",
                    duration(1, HOUR_MS),
                    Some("10s"),
                    "That window.",
                ),
                key(
                    "shift_cap",
                    number(0.0, 1.0),
                    Some("1"),
                    "Part of a region's requests that may change their region from one window to the next.",
                ),
                key(
                    "config_apply",
                    duration(1, HOUR_MS),
                    Some("2500ms"),
                    "Time within which a desired state must be in force everywhere. An instance that heard of none for so long denies nobody for an unknown key.",
                ),
                key(
                    "revoke",
                    duration(1, HOUR_MS),
                    Some("5s"),
                    "Time after which a key that was taken away must not be served anywhere.",
                ),
                key(
                    "revoke_cut_off",
                    ValueKind::Choice(&["true", "false"]),
                    Some("false"),
                    "Whether that holds for instances that hear nothing as well: they refuse requests with keys.",
                ),
                key(
                    "quota_window",
                    duration(1, HOUR_MS),
                    Some("5s"),
                    "Window in which a team's requests are summed up over all instances.",
                ),
                key(
                    "quota_excess",
                    number(0.0, 10.0),
                    Some("0.1"),
                    "Part of its quota by which a team may exceed it in a window.",
                ),
                key(
                    "quota_slack",
                    number(0.0, 1e9),
                    Some("20"),
                    "Requests by which it may exceed it besides.",
                ),
                key(
                    "exposure_share",
                    number(0.0, 1.0),
                    Some("0.1"),
                    "Part of a service's requests that a bad version may get during a rollout, from all instances.",
                ),
                key(
                    "exposure_slack",
                    number(0.0, 1e9),
                    Some("50"),
                    "Requests that it may get besides.",
                ),
                key(
                    "lookup_ttl_most",
                    duration(1, HOUR_MS),
                    Some("5s"),
                    "Longest time for which callers keep the answer to a look-up.",
                ),
                key(
                    "memory_mb",
                    count(1, 1 << 20),
                    Some("256"),
                    "Memory of the process; bodies may fill a quarter.",
                ),
                key(
                    "processor_share",
                    number(0.0, 1024.0),
                    Some("1"),
                    "Part of a processor core that the process gets.",
                ),
                key(
                    "processor_speed",
                    number(0.0, 1024.0),
                    Some("1"),
                    "How many times as fast as usual that core is.",
                ),
                key(
                    "link_megabits",
                    number(0.0, 1e6),
                    Some("1000"),
                    "What the instance's link carries a second. Callers are sent to the entries whose processor and link carry most.",
                ),
                key(
                    "descriptors",
                    count(1, 1 << 24),
                    Some("1024"),
                    "Descriptors of the process; callers may use half.",
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
