//! Sections and keys of a deployment's base and overlays.

use super::{FileSpec, HOUR_MS, SectionSpec, count, duration, key, number, percent, size};
use crate::value::ValueKind;

/// Base and overlays of a deployment.
pub const DEPLOYMENT: FileSpec = FileSpec {
    title: "Deployment: base and overlays",
    sections: &[
        SectionSpec {
            kind: "deployment",
            form: "deployment",
            names: 0,
            doc: "What holds for the whole deployment. Only the base may have it.",
            keys: &[
                key("name", ValueKind::Name, None, "Name of the deployment."),
                key(
                    "max_header",
                    size(1_024, 1 << 20),
                    Some("16KB"),
                    "Largest request head.",
                ),
                key(
                    "max_body",
                    size(0, 1 << 40),
                    Some("64MB"),
                    "Largest request body.",
                ),
                key(
                    "header_timeout",
                    duration(100, 600_000),
                    Some("5s"),
                    "Longest time in which a request head must be complete.",
                ),
                key(
                    "idle_timeout",
                    duration(100, HOUR_MS),
                    Some("15s"),
                    "Longest time for which a caller's connection may stay idle.",
                ),
            ],
        },
        SectionSpec {
            kind: "region",
            form: "region NAME",
            names: 1,
            doc: "A region and its failure domains.",
            keys: &[
                key("domains", ValueKind::Names, None, "Its failure domains."),
                key(
                    "client_blocks",
                    ValueKind::Text,
                    Some(""),
                    "Address blocks of the clients whose home the region is, as CIDR, separated by commas.",
                ),
            ],
        },
        SectionSpec {
            kind: "service",
            form: "service NAME",
            names: 1,
            doc: "A service that callers ask for, by the first part of a request's path.",
            keys: &[
                key(
                    "repeat",
                    ValueKind::Choice(&["idempotent", "at-most-once", "upload", "download"]),
                    None,
                    "Whether a request may be run twice; an upload is a large body that runs at most once, a download a large answer that may run again.",
                ),
                key(
                    "host",
                    ValueKind::Text,
                    Some("*"),
                    "Host that callers ask for; `*` stands for any.",
                ),
                key(
                    "deadline",
                    duration(10, HOUR_MS),
                    Some("2s"),
                    "Longest time for a request, and its time where the caller gives none.",
                ),
                key(
                    "service_time",
                    duration(1, HOUR_MS),
                    Some("30ms"),
                    "Expected time on a backend server; load that is planned or played goes by it.",
                ),
                key(
                    "priority",
                    count(0, 100),
                    Some("1"),
                    "Rank among the services; 0 is the most urgent.",
                ),
                key(
                    "max_attempts",
                    count(1, 10),
                    Some("2"),
                    "Most backend servers that one request may be sent to.",
                ),
                key(
                    "sticky",
                    ValueKind::Choice(&["yes", "no"]),
                    Some("yes"),
                    "Whether servers are faster for objects that they handled lately.",
                ),
                key(
                    "regions",
                    ValueKind::NamesOrNone,
                    Some(""),
                    "Regions that may serve it; empty allows all.",
                ),
                key(
                    "public",
                    ValueKind::Choice(&["yes", "no"]),
                    Some("no"),
                    "Whether requests need no key where the deployment has teams.",
                ),
                key(
                    "split",
                    ValueKind::Weights,
                    Some(""),
                    "Pools that share its requests, each with its weight, as `NAME WEIGHT`; empty stands for the pools of its own name.",
                ),
                key(
                    "warm_up",
                    duration(0, HOUR_MS),
                    Some("3s"),
                    "How long a server stays cold after its start.",
                ),
                key(
                    "cold_rate",
                    number(0.0, 1e6),
                    Some("5"),
                    "Requests a second that a cold server bears from all instances together.",
                ),
                key(
                    "connections",
                    count(1, 1_000_000),
                    Some("300"),
                    "Connections that one server takes.",
                ),
                key(
                    "health_path",
                    ValueKind::Text,
                    Some("/health"),
                    "Path of its servers' health check.",
                ),
                key(
                    "latency_objective",
                    duration(1, HOUR_MS),
                    Some("300ms"),
                    "Time within which an answer counts as good.",
                ),
                key(
                    "latency_goal",
                    percent(50.0, 99.999),
                    Some("99%"),
                    "Share of answers that must be good.",
                ),
                key(
                    "availability_goal",
                    percent(50.0, 99.999),
                    Some("99.9%"),
                    "Share of requests that must get an answer that isn't an error of ours.",
                ),
                key(
                    "headroom_goal",
                    percent(0.0, 100.0),
                    Some("15%"),
                    "Share of the capacity that should stay free.",
                ),
            ],
        },
        SectionSpec {
            kind: "team",
            form: "team NAME",
            names: 1,
            doc: "A team whose members ask with keys. Where there is one, a request needs a key, unless its service is public.",
            keys: &[
                key(
                    "keys",
                    ValueKind::KeyDigests,
                    Some(""),
                    "Digests of its keys; `lhctl team rotate` makes a key and writes its digest here.",
                ),
                key(
                    "priority",
                    count(0, 100),
                    Some(""),
                    "Rank of its requests, which goes before that of their services; 0 is the most urgent, empty leaves it to the service.",
                ),
                key(
                    "rate",
                    number(0.0, 1e9),
                    Some("0"),
                    "Requests a second that it may ask for, over all instances together; 0 sets no bound.",
                ),
                key(
                    "burst",
                    number(0.0, 1e9),
                    Some("0"),
                    "Requests on top, at once.",
                ),
                key(
                    "regions",
                    ValueKind::NamesOrNone,
                    Some(""),
                    "Regions that may serve it, together with those of the service; empty allows all.",
                ),
            ],
        },
        SectionSpec {
            kind: "pool",
            form: "pool NAME DOMAIN",
            names: 2,
            doc: "Backend servers that a site is to have, for checks of its capacity and for stand-ins; the running ones register themselves. NAME is a service, or a part of its split.",
            keys: &[
                key(
                    "servers",
                    ValueKind::Addresses,
                    None,
                    "Addresses of the servers.",
                ),
                key(
                    "slots",
                    count(1, 10_000),
                    None,
                    "Requests that one server runs at once.",
                ),
            ],
        },
    ],
};
