//! An entry must tell the loss of its own path to the servers from failures of servers.

mod common;

use std::time::{Duration, Instant};

use common::ms;
use place::paths::{PathChange, ServerPaths};

const SERVICE: &str = "board";

/// Lets requests and probes miss `count` servers.
fn lose(now: Instant, paths: &mut ServerPaths, count: u64) {
    for run in 0..count {
        paths.on_missed(now, SERVICE, run, 10);
        paths.on_probed(now, SERVICE, run, 10, false);
    }
}

fn is_lost_after(missed: u64, responding: u64, servers: usize) -> bool {
    let now = Instant::now();
    let mut paths = ServerPaths::default();
    for run in 0..responding {
        paths.on_response(now, SERVICE, run, servers);
    }
    for run in 0..missed {
        paths.on_missed(now + ms(run), SERVICE, 1_000_000 + run, servers);
    }
    // Probes reach the same share of the other servers as requests.
    let others = servers as u64 - missed;
    let later = now + ms(1200);
    if !paths.take_due_probes(later).is_empty() {
        for probe in 0..3 {
            let is_reached = probe < others && (missed <= 1 || responding > 1);
            paths.on_probed(later, SERVICE, 2_000_000 + probe, servers, is_reached);
        }
    }
    paths.is_lost(SERVICE)
}

#[test]
fn one_missed_server_is_no_lost_path() {
    for servers in [10, 100, 1000] {
        assert!(!is_lost_after(1, 0, servers));
        assert!(!is_lost_after(1, 5, servers));
    }
}

#[test]
fn a_missed_failure_domain_among_responding_servers_is_no_lost_path() {
    for servers in [10, 100, 1000] {
        let share = servers as u64 / 3;
        assert!(!is_lost_after(share, servers as u64 - share, servers));
    }
}

#[test]
fn a_path_is_lost_after_three_servers_and_before_all() {
    for servers in [10, 100, 1000] {
        assert!(is_lost_after(3, 0, servers));
    }
    assert!(is_lost_after(1, 0, 1), "the service has no other server");
}

/// A request that crashes each server that runs it.
#[test]
fn many_missed_servers_are_no_lost_path_while_probes_reach_others() {
    let start = Instant::now();
    let mut paths = ServerPaths::default();
    for run in 0..30 {
        let now = start + ms(run * 100);
        paths.on_missed(now, SERVICE, run, 40);
        for _ in paths.take_due_probes(now) {
            paths.on_probed(now, SERVICE, 1000 + run, 40, true);
        }
        assert!(!paths.is_lost(SERVICE), "after {run}");
    }
}

#[test]
fn one_server_in_reach_among_many_missed_is_no_path() {
    for servers in [10, 100, 1000] {
        assert!(is_lost_after(servers as u64 - 1, 1, servers));
    }
}

#[test]
fn the_same_server_missed_many_times_is_no_lost_path() {
    let now = Instant::now();
    let mut paths = ServerPaths::default();
    for step in 0..20 {
        paths.on_missed(now + ms(step), SERVICE, 1, 10);
    }
    assert!(!paths.is_lost(SERVICE));
}

#[test]
fn old_misses_are_no_evidence() {
    let now = Instant::now();
    let mut paths = ServerPaths::default();
    for run in 0..20 {
        paths.on_missed(
            now + Duration::from_secs(2) * run,
            SERVICE,
            u64::from(run),
            20,
        );
    }
    assert!(!paths.is_lost(SERVICE));
}

#[test]
fn an_entry_is_cut_off_only_while_no_other_service_responds() {
    let now = Instant::now();
    let mut paths = ServerPaths::default();
    paths.on_response(now, "desk", 50, 10);
    lose(now, &mut paths, 3);
    assert!(paths.is_lost(SERVICE));
    assert!(!paths.is_cut_off(now), "the servers of a service failed");
    assert!(paths.is_cut_off(now + Duration::from_secs(4)));
}

#[test]
fn a_path_is_restored_by_two_servers_in_reach() {
    let now = Instant::now();
    let mut paths = ServerPaths::default();
    lose(now, &mut paths, 5);
    paths.on_probed(now + ms(500), SERVICE, 1, 10, true);
    assert!(
        paths.is_lost(SERVICE),
        "one server may be the only one in reach"
    );
    paths.on_probed(now + ms(600), SERVICE, 2, 10, true);
    assert!(!paths.is_lost(SERVICE));
    let changes = paths.take_changes();
    assert_eq!(changes.len(), 2);
    assert_eq!(
        changes[1],
        PathChange::Restored {
            service: SERVICE.to_owned(),
            after: ms(600)
        }
    );
}

#[test]
fn probes_become_rare_while_a_path_is_lost_and_end_with_it() {
    let start = Instant::now();
    let mut paths = ServerPaths::default();
    lose(start, &mut paths, 3);
    let rounds = |paths: &mut ServerPaths, from: u64, to: u64| {
        let times = (from..to).step_by(50);
        times
            .map(|at| paths.take_due_probes(start + ms(at)).len())
            .sum::<usize>()
    };
    let first = rounds(&mut paths, 0, 5_000);
    let later = rounds(&mut paths, 60_000, 65_000);
    assert!(first > later && later >= 4, "{first} rounds, later {later}");
    for run in 0..2 {
        paths.on_probed(start + ms(65_000), SERVICE, run, 10, true);
    }
    assert_eq!(rounds(&mut paths, 65_000, 70_000), 0);
}

#[test]
fn other_servers_are_probed_after_one_is_missed_and_none_responds() {
    let now = Instant::now();
    let mut paths = ServerPaths::default();
    paths.on_missed(now, SERVICE, 1, 10);
    assert_eq!(paths.take_due_probes(now).len(), 1);
    for run in 2..4 {
        paths.on_probed(now + ms(50), SERVICE, run, 10, false);
    }
    assert!(paths.is_lost(SERVICE));

    let mut paths = ServerPaths::default();
    paths.on_missed(now, SERVICE, 1, 10);
    paths.on_probed(now + ms(50), SERVICE, 2, 10, true);
    assert!(!paths.needs_probes(), "another server is in reach");

    let mut paths = ServerPaths::default();
    paths.on_response(now, SERVICE, 2, 10);
    paths.on_missed(now, SERVICE, 1, 10);
    assert!(!paths.needs_probes(), "another server responds");
}
