//! Numbers in headers that are too large to add to a time must not end an entry.

mod world;

use hyper::header::{HeaderName, HeaderValue};
use platform_standin::{Behavior, RouteFixture, desired_state};
use world::{BOARD, EntryProcess, World, exchange, request};

const NUMBERS: [&str; 8] = [
    "1e22",
    "1.8e22",
    "1e21",
    "1e300",
    "18446744073709551615",
    "9223372036854775807",
    "18446744073709551616",
    "1e999",
];

async fn assert_runs(entry: &mut EntryProcess, after: &str) {
    assert!(entry.is_running(), "the entry ended after {after}");
    let answer = entry
        .send("GET", "/board/x", &format!("after-{after}"))
        .await;
    assert_eq!(answer.status, 200, "{after}: {answer:?}");
}

/// A caller states any deadline, on the platform's and on the product's own interface, on routes
/// with and without a time-out.
#[tokio::test]
async fn deadlines_of_callers_end_no_entry() {
    let world = World::new(2).await;
    let open = RouteFixture {
        name: "open",
        prefix: "/open/",
        ..BOARD
    };
    let mut state = desired_state(6, &[BOARD, open]);
    let routes = state["resources"].as_array_mut().unwrap();
    for route in routes {
        if route["metadata"]["name"] == "open" {
            route["spec"].as_object_mut().unwrap().remove("timeout");
        }
    }
    world.store.put("op", "config", &state);
    let store = world.store.address();
    let mut entry = EntryProcess::start_with_settings(store, "n1", "plan_returns = yes\n");
    entry.wait_ready().await;
    for (count, number) in NUMBERS.iter().enumerate() {
        for path in ["/board/x", "/open/x"] {
            for header in ["deadline-ms", "laurelhill-deadline-ms"] {
                let mut request = request("GET", path, &format!("{count}-{header}"));
                let name = HeaderName::from_static(header);
                let value = HeaderValue::from_static(number);
                request.headers_mut().insert(name, value);
                let mut sender = entry.connect().await;
                let answer = exchange(&mut sender, request).await;
                let what = format!("{header}: {number} on {path}");
                assert!(answer.is_some(), "no answer to {what}");
                assert_runs(&mut entry, &what).await;
            }
        }
    }
}

/// A server states any time in the headers of its answers.
#[tokio::test]
async fn times_that_servers_state_end_no_entry() {
    let world = World::new(1).await;
    let mut entry = EntryProcess::ready(&world, "n1").await;
    let backend = &world.backends[0];
    for number in NUMBERS {
        let keep_alive = format!("timeout={number}");
        let headers = [
            ("Keep-Alive", keep_alive.as_str()),
            ("Retry-After", number),
            ("Cold-Ms", number),
            ("Server-Load", number),
        ];
        backend.set_extra_headers(&headers);
        for status in [200, 503] {
            let behavior = match status {
                200 => Behavior::Run(std::time::Duration::ZERO),
                status => Behavior::Status(status),
            };
            backend.set_behavior(behavior);
            let id = format!("{number}-{status}");
            let mut sender = entry.connect().await;
            let answer = exchange(&mut sender, request("GET", "/board/x", &id)).await;
            assert!(answer.is_some(), "no answer to {id}");
            assert!(entry.is_running(), "the entry ended after {id}");
        }
    }
}
