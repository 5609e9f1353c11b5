//! Schema of a deployment's base and overlays.

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
            doc: "Settings of the whole deployment. Only the base may have this section.",
            keys: &[
                key("name", ValueKind::Name, None, "Name of the deployment."),
                key(
                    "max_header",
                    size(1_024, 1 << 20),
                    Some("16KB"),
                    "Largest size of a request's line and headers.",
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
                    "Time within which a request's headers must be received.",
                ),
                key(
                    "idle_timeout",
                    duration(100, HOUR_MS),
                    Some("15s"),
                    "Longest time that a caller's connection may stay idle.",
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
                    "Address blocks of the clients whose home region this is, in CIDR notation, separated by commas.",
                ),
            ],
        },
        SectionSpec {
            kind: "service",
            form: "service NAME",
            names: 1,
            doc: "A service. Callers select it with the first segment of a request's path.",
            keys: &[
                key(
                    "repeat",
                    ValueKind::Choice(&["idempotent", "at-most-once", "upload", "download"]),
                    None,
                    "Whether a request may be executed twice. An upload has a large body and is executed at most once; a download has a large answer and may be executed again.",
                ),
                key(
                    "host",
                    ValueKind::Text,
                    Some("*"),
                    "Host name in requests for the service; `*` matches any.",
                ),
                key(
                    "deadline",
                    duration(10, HOUR_MS),
                    Some("2s"),
                    "Longest time for a request; also applies if the caller sets no deadline.",
                ),
                key(
                    "service_time",
                    duration(1, HOUR_MS),
                    Some("30ms"),
                    "Expected processing time on a backend server. Planned and generated load is based on it.",
                ),
                key(
                    "priority",
                    count(0, 100),
                    Some("1"),
                    "Priority among the services; 0 is the most urgent.",
                ),
                key(
                    "max_attempts",
                    count(1, 10),
                    Some("2"),
                    "Largest number of backend servers that one request may be sent to.",
                ),
                key(
                    "sticky",
                    ValueKind::Choice(&["yes", "no"]),
                    Some("yes"),
                    "Whether servers are faster for objects that they handled recently.",
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
                    "Whether requests are accepted without a key if the deployment has teams.",
                ),
                key(
                    "split",
                    ValueKind::Weights,
                    Some(""),
                    "Pools that share its requests, each with its weight, as `NAME WEIGHT`; empty selects the pools with the service's name.",
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
                    "Requests per second that a cold server can handle, from all instances together.",
                ),
                key(
                    "connections",
                    count(1, 1_000_000),
                    Some("300"),
                    "Largest number of connections that one server accepts.",
                ),
                key(
                    "health_path",
                    ValueKind::Text,
                    Some("/health"),
                    "Path of the health check of its servers.",
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
                    "Share of answers that must meet the latency objective.",
                ),
                key(
                    "availability_goal",
                    percent(50.0, 99.999),
                    Some("99.9%"),
                    "Share of requests that must get an answer other than an error made by laurelhill.",
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
            doc: "A team whose members authenticate with keys. If there is a team, requests need a key unless their service is public.",
            keys: &[
                key(
                    "keys",
                    ValueKind::KeyDigests,
                    Some(""),
                    "Digests of its keys. `lhctl team rotate` generates a key and writes its digest here.",
                ),
                key(
                    "priority",
                    count(0, 100),
                    Some(""),
                    "Priority of its requests, which overrides that of the service; 0 is the most urgent, empty applies the service's priority.",
                ),
                key(
                    "rate",
                    number(0.0, 1e9),
                    Some("0"),
                    "Requests per second that it may send, over all instances together; 0 sets no limit.",
                ),
                key(
                    "burst",
                    number(0.0, 1e9),
                    Some("0"),
                    "Requests that it may send at once in addition to its rate.",
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
            doc: "Planned backend servers of a failure domain, for capacity checks and for stand-in servers; running servers register themselves. NAME is a service or a part of its split.",
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
                    "Requests that one server runs concurrently.",
                ),
            ],
        },
    ],
};
