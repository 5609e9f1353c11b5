//! Servers that say in their answers that they are leaving.

mod common;

use std::time::{Duration, Instant};

use common::{ms, placer, placer_config, reading, request, route, server};
use place::prelude::*;
use place::statement::message::StatementReport;
use place::statement::{ServerStatement, StatementChange};

const LEAVING: ServerStatement = ServerStatement {
    leaving: true,
    limit: place::statement::LimitStatement::Unlimited,
    rest: None,
};

fn two_servers() -> Vec<ServerEntry> {
    let rows = [server("p", "a1"), server("q", "a1")].into_iter();
    rows.map(|row| ServerEntry { slots: 400, ..row }).collect()
}

/// The answer to the next request says that its server leaves. Returns that server's id.
fn hear_leaving(now: Instant, placer: &mut RequestPlacer, route: &RouteSpec) -> String {
    let placement = placer.place(now, &request(route, Some(7))).unwrap();
    let changes = placer.on_statement(now, &placement, &LEAVING);
    assert_eq!(changes, [StatementChange::Leaving]);
    assert_eq!(placer.on_statement(now, &placement, &LEAVING), []);
    placement.id
}

/// Statements outlive all that may become of a row: heartbeats that say that the server is
/// ready, a lapse, a new listing, and an answer without the statement.
#[test]
fn row_and_later_answers_do_not_take_back_that_a_run_leaves() {
    let now = Instant::now();
    let browse = route("browse", "/");
    let mut placer = placer(now, &two_servers());
    let first = placer.place(now, &request(&browse, Some(7))).unwrap();
    let leaving = hear_leaving(now, &mut placer, &browse);
    placer.on_statement(now, &first, &ServerStatement::default());
    let listed = |seq: u64| -> Vec<ServerEntry> {
        let rows = two_servers().into_iter();
        rows.map(|row| ServerEntry { seq, ..row }).collect()
    };
    for (step, rows) in [(1, listed(2)), (30, Vec::new()), (60, listed(3))] {
        let at = now + Duration::from_secs(step);
        placer.catalog.apply_snapshot(at, &reading(at, &rows));
        for object in 0..20 {
            if let Ok(placement) = placer.place(at, &request(&browse, Some(object))) {
                assert_ne!(placement.id, leaving, "after {step} s");
            }
        }
    }
    let last = now + Duration::from_secs(60);
    assert!(placer.place(last, &request(&browse, Some(99))).is_ok());
}

/// A request that was placed before is not sent when its connection is open at last.
#[test]
fn request_placed_before_its_server_leaves_is_not_sent() {
    let now = Instant::now();
    let browse = route("browse", "/");
    let mut placer = placer(now, &two_servers());
    let mut waiting = placer.place(now, &request(&browse, Some(7))).unwrap();
    assert!(placer.may_send(now, &mut waiting));
    let leaving = hear_leaving(now, &mut placer, &browse);
    assert_eq!(waiting.id, leaving);
    assert!(!placer.may_send(now, &mut waiting));
}

/// The others receive a report, so that they needn't find out by requests. They don't pass it on.
#[test]
fn other_entries_learn_that_a_run_leaves() {
    let now = Instant::now();
    let browse = route("browse", "/");
    let mut informed = placer(now, &two_servers());
    let leaving = hear_leaving(now, &mut informed, &browse);
    let report = informed.own_statements(now + ms(80));
    assert_eq!(report.leaving.len(), 1);
    let mut other = RequestPlacer::new(PlacerConfig {
        own: 78,
        ..placer_config()
    });
    other.set_desired(&common::desired(1, vec![browse.clone()]));
    other
        .catalog
        .apply_snapshot(now, &reading(now, &two_servers()));
    let at = now + ms(100);
    other.on_peer_statements(at, 77, &report);
    for object in 0..20 {
        let placement = other.place(at, &request(&browse, Some(object))).unwrap();
        assert_ne!(placement.id, leaving);
    }
    assert_eq!(other.own_statements(at), StatementReport::default());
    let later = now + Duration::from_secs(60);
    assert_eq!(informed.own_statements(later), StatementReport::default());
}

/// Where all servers leave, requests are refused at once, until another server is listed.
#[test]
fn requests_are_refused_while_all_servers_leave() {
    let now = Instant::now();
    let browse = route("browse", "/");
    let mut placer = placer(now, &two_servers());
    hear_leaving(now, &mut placer, &browse);
    hear_leaving(now, &mut placer, &browse);
    let refusal = placer.place(now, &request(&browse, Some(7))).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoServer);
    let at = now + ms(500);
    let mut rows = two_servers();
    rows.push(server("r", "a2"));
    placer.catalog.apply_snapshot(at, &reading(at, &rows));
    assert_eq!(
        placer.place(at, &request(&browse, Some(7))).unwrap().id,
        "r"
    );
}
