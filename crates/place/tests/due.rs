//! Timing of a member's periodic tasks.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::fleet::candidate::LeadCandidate;
use place::fleet::member::MemberConfig;
use place::fleet::message::{PeerMessage, RegionDigest};
use place::fleet::pull::PullScope;
use place::fleet::reading::ReadOutcome;
use place::fleet::store_progress::StoreProgress;
use place::prelude::*;

const DRAIN: Duration = Duration::from_millis(3000);

fn member(now: Instant) -> FleetMember {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let candidate = LeadCandidate {
        node: "n1".to_owned(),
        domain: "a1".to_owned(),
        peer_address: address,
        view_address: address,
        capacity: 100,
        has_store_access: true,
        leads: false,
    };
    let config = MemberConfig {
        incarnation: 1,
        candidate,
        region: "a".to_owned(),
        caller_address: address,
        regions: vec!["a".to_owned()],
        seeds: Vec::new(),
        drain: DRAIN,
    };
    FleetMember::new(now, config)
}

/// Guards against a due time that moves with each call: an entry whose loop was woken by
/// other datagrams more often than its search interval never searched for a lead.
#[test]
fn frequently_woken_entry_searches_in_time() {
    const WOKEN_EVERY: Duration = Duration::from_millis(5);
    const LATE_MOST: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let mut member = member(start);
    let mut actions = Vec::new();
    member.on_event(start, FleetEvent::Tick, &mut actions);
    let (mut now, mut looked_at) = (start, start);
    for _ in 0..1000 {
        now += WOKEN_EVERY;
        if now >= member.due(now) {
            member.on_event(now, FleetEvent::Tick, &mut actions);
            looked_at = now;
        }
        assert!(
            now - looked_at <= LATE_MOST,
            "no periodic tasks since {looked_at:?}"
        );
    }
    let reads = actions
        .iter()
        .any(|action| matches!(action, FleetAction::ReadRegistry(_)));
    assert!(reads, "the entry must read the store itself");
}

/// An entry that starts asks each live lead once which servers have departed, beginning
/// with the lead that has run longest.
#[test]
fn starting_entry_asks_each_lead_for_departures() {
    assert_eq!(leads_asked_for_departures(&[]), [22, 21]);
}

/// An entry that the store didn't answer for a time asks again: a server that left meanwhile may be
/// listed by an earlier heartbeat, and the entry's own reads don't show that it had left.
#[test]
fn entry_asks_for_departures_after_reads_failed() {
    let failed = [(20, ReadOutcome::Failed), (25, ReadOutcome::Failed)];
    assert_eq!(leads_asked_for_departures(&failed), [22, 21]);
    let answered = [(35, ReadOutcome::Unchanged), (45, ReadOutcome::Changed)];
    let outcomes = [&failed[..], &answered].concat();
    assert_eq!(leads_asked_for_departures(&outcomes), [22, 21, 22, 21]);
    assert_eq!(leads_asked_for_departures(&answered), [22, 21]);
}

/// Ports of the leads that an entry asks for departures, in their order. Its reads of the registry
/// end as in `outcomes`, by steps of 100 ms.
fn leads_asked_for_departures(outcomes: &[(u64, ReadOutcome)]) -> Vec<u16> {
    let start = Instant::now();
    let mut member = member(start);
    let known = StoreProgress {
        registry: 1024,
        registry_read: StorePosition::new(0, 1),
        registry_at: Some(start),
        ..StoreProgress::default()
    };
    let mut actions = Vec::new();
    let mut asked = Vec::new();
    for step in 0..60_u64 {
        let now = start + Duration::from_millis(100 * step);
        for (port, incarnation) in [(21, 7), (22, 3)] {
            let digest = digest_of(port, incarnation);
            member.on_event(now, FleetEvent::Message(digest), &mut actions);
        }
        member.on_event(now, FleetEvent::StoreProgress(known), &mut actions);
        for (_, outcome) in outcomes.iter().filter(|(at, _)| *at == step) {
            member.on_event(now, FleetEvent::RegistryRead(*outcome), &mut actions);
        }
        for action in actions.drain(..) {
            let FleetAction::Pull(target) = action else {
                continue;
            };
            assert_eq!(target.scope, PullScope::Departures);
            asked.push(target.view_address.port());
            member.on_event(
                now,
                FleetEvent::PullFinished(target.view_address, true),
                &mut Vec::new(),
            );
        }
    }
    asked
}

/// A digest of a lead of the same region that knows nothing of the store.
fn digest_of(port: u16, incarnation: u64) -> PeerMessage {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    PeerMessage::Digest(Box::new(RegionDigest {
        incarnation,
        candidate: LeadCandidate {
            node: format!("lead-{port}"),
            domain: "a1".to_owned(),
            peer_address: address,
            view_address: address,
            capacity: 1000,
            has_store_access: true,
            leads: true,
        },
        region: "a".to_owned(),
        leaving: false,
        store: StoreProgress::default().to_report(Instant::now()),
        regions: Vec::new(),
    }))
}
