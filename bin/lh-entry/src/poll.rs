//! Asks this instance's lh-steer for plan and seats, several times a second.

use std::sync::Arc;

use base::prelude::*;
use kernel::StopSignal;
use mesh::{AskClient, LetterSender};
use relay::{GateHandle, RelayMetrics, RelaySnapshot, SnapshotCell, StampKey};
use steer::{PollAnswer, PollAsk};

use crate::config::Config;

/// Time between two asks.
const POLL_PERIOD: Duration = Duration::from_millis(200);
/// Age up to which an entry counts as heard.
const HEARD_AGE: Duration = Duration::from_secs(3);
/// Time between two stamps.
const STAMP_PERIOD: Duration = Duration::from_secs(5);
/// Validity of a stamp beyond the time for which look-up answers are kept.
const STAMP_MARGIN: Duration = Duration::from_secs(60);

/// Keeps the entry's plan and seats up to date.
pub(crate) struct PlanPoller {
    pub(crate) node: NodeId,
    pub(crate) config: Config,
    pub(crate) client: AskClient,
    pub(crate) gate: Arc<GateHandle>,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) stamps: StampKey,
    pub(crate) letters: LetterSender,
    pub(crate) metrics: Arc<RelayMetrics>,
    /// Sent when the entry stops taking new callers.
    pub(crate) leaving: StopSignal,
}

impl PlanPoller {
    /// Runs on a thread of its own until `stop`.
    pub(crate) fn run(&self, stop: &StopSignal) {
        let mut serial = 0;
        let mut answered = Instant::now();
        let mut stamp = (Instant::now(), self.new_stamp());
        while !stop.is_stopped() {
            if stamp.0.elapsed() >= STAMP_PERIOD {
                stamp = (Instant::now(), self.new_stamp());
            }
            let asked_at = Instant::now();
            match self
                .client
                .ask::<_, PollAnswer>(&self.question(serial, &stamp.1))
            {
                Ok(answer) => {
                    answered = asked_at;
                    serial = answer.serial;
                    self.apply(asked_at, answer);
                }
                Err(error) => log::debug!(error:% = error; "lh-steer gave no answer"),
            }
            let version = self.snapshots.get().map_or(0, |s| s.plan().version);
            self.metrics.show_plan(version, answered.elapsed());
            std::thread::sleep(POLL_PERIOD);
        }
    }

    fn new_stamp(&self) -> String {
        let ttl = self.snapshots.get().map_or(Duration::ZERO, |snapshot| {
            snapshot.plan().deployment.lookup_ttl
        });
        self.stamps.stamp(Instant::now() + ttl + STAMP_MARGIN)
    }

    fn question(&self, serial: u64, stamp: &str) -> PollAsk {
        let now = Instant::now();
        let tallies = self.gate.take_tallies();
        let seen = tallies
            .into_iter()
            .map(|(id, tally)| (id, tally.failed, tally.answered));
        let seen = seen.collect();
        self.gate.with_gate(|gate| PollAsk {
            node: self.node.clone(),
            relay: self.config.relay,
            lookup: self.config.lookup,
            mesh: self.config.mesh,
            stamp: stamp.to_owned(),
            serial,
            seats: gate.seats(),
            vacated: gate.vacated(),
            heard: gate.heard(now, HEARD_AGE),
            seen,
            leaving: self.leaving.is_stopped(),
            releasing: gate.is_stopping(),
        })
    }

    fn apply(&self, asked_at: Instant, answer: PollAnswer) {
        let now = Instant::now();
        if let Some(plan) = answer.plan {
            let snapshot = RelaySnapshot::new(plan);
            self.gate
                .with_gate(|gate| gate.apply_plan(now, snapshot.plan()));
            let known: Vec<_> = snapshot
                .mesh_addresses()
                .map(|(_, address)| address)
                .collect();
            self.letters.retain(|address| known.contains(address));
            if !self.snapshots.set(snapshot) {
                log::warn!("an older configuration was refused");
            }
        }
        self.gate.with_gate(|gate| {
            gate.apply_idle(asked_at, &answer.idle);
            if let Some(seats) = &answer.seats {
                gate.apply_seats(now, asked_at, seats);
            }
        });
    }
}
