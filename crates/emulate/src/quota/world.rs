//! Simulates a quota strategy event by event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use place::placing::load::{is_sent_to_other_regions, load_interval};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use team::spec::{TeamQuota, TeamSpec};

use crate::quota::outcome::{QuotaOutcome, ReferenceBucket, TeamLog, duration_from_secs};
use crate::quota::scenario::{QuotaChange, QuotaScenario};
use crate::quota::strategies::{QuotaStrategy, REGIONS};

/// One-way network delays within a region and between regions.
const IN_REGION_DELAY_US: u64 = 1_000;
const CROSS_REGION_DELAY_US: u64 = 36_000;
/// Entries run for this long before the load starts.
const WARMUP_SECS: f64 = 3.0;
/// How often a caller retries a refused request.
const MAX_RETRIES: u32 = 1;
/// Time after its start until an entry knows the others.
const DISCOVERY_DELAY_SECS: f64 = 0.3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RequestArrives {
        team: usize,
        refusals: u32,
        is_retry: bool,
    },
    SendMessage {
        entry: usize,
        round: u32,
        run: u64,
    },
    ReceiveMessage {
        to: usize,
        from: usize,
        message: usize,
        run: u64,
    },
    ApplyChange {
        index: usize,
    },
    RestartDone,
    EntriesDiscovered {
        run: u64,
    },
}

struct QuotaSimulation<'a, W: QuotaStrategy, F> {
    scenario: &'a QuotaScenario,
    build: F,
    origin: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    entries: Vec<W>,
    run: u64,
    is_down: bool,
    specs: Vec<TeamSpec>,
    pinned_entries: Vec<Option<usize>>,
    logs: Vec<TeamLog>,
    buckets: Vec<ReferenceBucket>,
    messages: Vec<W::Message>,
    messages_sent: u64,
    bytes: u64,
}

/// Simulates `scenario`. `build` creates the strategy of an entry from the time, the entry's index
/// and its run.
pub fn simulate_quotas<W, F>(scenario: &QuotaScenario, build: F) -> QuotaOutcome
where
    W: QuotaStrategy,
    F: Fn(Instant, usize, u64) -> W,
{
    let mut simulation = QuotaSimulation::new(scenario, build);
    simulation.run();
    simulation.outcome()
}

fn entry_id(entry: usize) -> u64 {
    entry as u64 + 1
}

impl<'a, W: QuotaStrategy, F: Fn(Instant, usize, u64) -> W> QuotaSimulation<'a, W, F> {
    fn new(scenario: &'a QuotaScenario, build: F) -> Self {
        let specs: Vec<TeamSpec> = scenario
            .teams
            .iter()
            .map(|team| team.spec.clone())
            .collect();
        let quota = |spec: &TeamSpec| {
            spec.quota.unwrap_or(TeamQuota {
                rate: 1e9,
                burst: 1e9,
            })
        };
        let mut simulation = Self {
            scenario,
            build,
            origin: Instant::now(),
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            entries: Vec::new(),
            run: 1,
            is_down: false,
            pinned_entries: scenario.teams.iter().map(|team| team.entry).collect(),
            logs: specs
                .iter()
                .map(|spec| TeamLog {
                    quotas: vec![(0.0, quota(spec))],
                    ..TeamLog::default()
                })
                .collect(),
            buckets: specs
                .iter()
                .map(|spec| ReferenceBucket::new(quota(spec)))
                .collect(),
            specs,
            messages: Vec::new(),
            messages_sent: 0,
            bytes: 0,
        };
        simulation.start();
        for team in 0..simulation.specs.len() {
            simulation.schedule_request(WARMUP_SECS, team);
        }
        for (index, change) in scenario.changes.iter().enumerate() {
            let at = match change {
                QuotaChange::Restart { at, .. }
                | QuotaChange::SetQuota { at, .. }
                | QuotaChange::MoveCallers { at, .. } => *at,
                QuotaChange::Hot { .. } | QuotaChange::Partition { .. } => continue,
            };
            simulation.schedule(micros(WARMUP_SECS + at), Event::ApplyChange { index });
        }
        simulation
    }

    fn start(&mut self) {
        let now = self.instant();
        self.entries.clear();
        for entry in 0..self.scenario.entries {
            let mut quota = (self.build)(now, entry, self.run);
            quota.set_teams(now, &self.specs);
            self.entries.push(quota);
            let first = self.now + self.rng.random_range(0..80_000);
            let run = self.run;
            self.schedule(
                first,
                Event::SendMessage {
                    entry,
                    round: 0,
                    run,
                },
            );
        }
        self.schedule(
            self.now + micros(DISCOVERY_DELAY_SECS),
            Event::EntriesDiscovered { run: self.run },
        );
    }

    fn run(&mut self) {
        let ends = micros(WARMUP_SECS + self.scenario.seconds);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > ends {
                return;
            }
            self.now = at;
            self.on_event(event);
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::RequestArrives {
                team,
                refusals,
                is_retry,
            } => {
                if !is_retry {
                    self.schedule_request(self.seconds(), team);
                }
                self.on_request(team, refusals);
            }
            Event::SendMessage { entry, round, run } if run == self.run && !self.is_down => {
                self.send_messages(entry, round);
            }
            Event::ReceiveMessage {
                to,
                from,
                message,
                run,
            } => {
                if run == self.run && !self.is_down {
                    let (now, message) = (self.instant(), self.messages[message].clone());
                    self.entries[to].on_message(now, entry_id(from), &message);
                }
            }
            Event::ApplyChange { index } => self.apply_change(self.scenario.changes[index]),
            Event::RestartDone => {
                self.is_down = false;
                self.start();
            }
            Event::EntriesDiscovered { run } if run == self.run && !self.is_down => {
                let now = self.instant();
                for entry in 0..self.entries.len() {
                    let others: Vec<u64> = (0..self.scenario.entries)
                        .filter(|other| *other != entry)
                        .map(entry_id)
                        .collect();
                    self.entries[entry].set_entries(now, &others);
                }
            }
            Event::SendMessage { .. } | Event::EntriesDiscovered { .. } => {}
        }
    }

    fn on_request(&mut self, team: usize, refusals: u32) {
        let at = self.seconds();
        if self.is_down {
            return;
        }
        let is_within_quota = self.buckets[team].take(at);
        self.logs[team].within_quota += u32::from(is_within_quota);
        let entry = match self.pinned_entries[team] {
            Some(entry) => entry,
            None => self.rng.random_range(0..self.scenario.entries),
        };
        let now = self.instant();
        match self.entries[entry].admit(now, &self.specs[team].name) {
            Ok(()) => self.logs[team].admitted.push(at),
            Err(wait) => {
                self.logs[team].refused += u32::from(is_within_quota);
                if refusals < MAX_RETRIES {
                    let retry = Event::RequestArrives {
                        team,
                        refusals: refusals + 1,
                        is_retry: true,
                    };
                    let retry_at = self.now + wait.as_micros() as u64 + 1;
                    self.schedule(retry_at, retry);
                }
            }
        }
    }

    fn send_messages(&mut self, entry: usize, round: u32) {
        let now = self.instant();
        let near = self.scenario.entries.div_ceil(REGIONS).saturating_sub(1) as u32;
        let far = self.scenario.entries as u32 - near - 1;
        let (message, bytes) = self.entries[entry].next_message(now);
        let reaches_far = is_sent_to_other_regions(round, near, far);
        self.messages.push(message);
        let index = self.messages.len() - 1;
        for to in 0..self.scenario.entries {
            let is_far = to % REGIONS != entry % REGIONS;
            let is_recipient = to != entry && (reaches_far || !is_far);
            if !is_recipient
                || !self.entries[entry].is_recipient(entry_id(to), &self.messages[index])
            {
                continue;
            }
            self.messages_sent += 1;
            self.bytes += bytes as u64;
            let is_lost = self.rng.random_bool(self.scenario.loss);
            if is_lost || self.is_partitioned(entry) || self.is_partitioned(to) {
                continue;
            }
            let delay = if is_far {
                CROSS_REGION_DELAY_US
            } else {
                IN_REGION_DELAY_US
            };
            let (from, message, run) = (entry, index, self.run);
            self.schedule(
                self.now + delay,
                Event::ReceiveMessage {
                    to,
                    from,
                    message,
                    run,
                },
            );
        }
        let pause = load_interval(near).as_micros() as u64;
        let run = self.run;
        self.schedule(
            self.now + pause,
            Event::SendMessage {
                entry,
                round: round + 1,
                run,
            },
        );
    }

    fn apply_change(&mut self, change: QuotaChange) {
        let at = self.seconds();
        match change {
            QuotaChange::Restart { downtime, .. } => {
                self.is_down = true;
                self.run += 1;
                self.schedule(self.now + micros(downtime), Event::RestartDone);
            }
            QuotaChange::SetQuota { team, rate, .. } => {
                let quota = TeamQuota { rate, burst: rate };
                self.specs[team].quota = Some(quota);
                self.buckets[team].quota = quota;
                self.logs[team].quotas.push((at, quota));
                let now = self.instant();
                for entry in &mut self.entries {
                    entry.set_teams(now, &self.specs);
                }
            }
            QuotaChange::MoveCallers { team, to, .. } => self.pinned_entries[team] = Some(to),
            QuotaChange::Hot { .. } | QuotaChange::Partition { .. } => {}
        }
    }

    fn schedule_request(&mut self, from: f64, team: usize) {
        let rate = self.scenario.teams[team].base_rate * self.rate_factor(from - WARMUP_SECS, team);
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let at = from - draw.ln() / rate;
        let (refusals, is_retry) = (0, false);
        self.schedule(
            micros(at),
            Event::RequestArrives {
                team,
                refusals,
                is_retry,
            },
        );
    }

    fn rate_factor(&self, at: f64, team: usize) -> f64 {
        for change in &self.scenario.changes {
            if let QuotaChange::Hot {
                team: hot,
                factor,
                from,
                until,
            } = change
                && *hot == team
                && (*from..*until).contains(&at)
            {
                return *factor;
            }
        }
        1.0
    }

    fn is_partitioned(&self, entry: usize) -> bool {
        let at = self.seconds() - WARMUP_SECS;
        let changes = self.scenario.changes.iter();
        changes.into_iter().any(|change| {
            matches!(change, QuotaChange::Partition { count, from, until }
                if entry < *count && (*from..*until).contains(&at))
        })
    }

    fn is_hot(&self, team: usize) -> bool {
        let changes = self.scenario.changes.iter();
        changes.into_iter().any(|change| match change {
            QuotaChange::Hot { team: hot, .. } | QuotaChange::SetQuota { team: hot, .. } => {
                *hot == team
            }
            _ => false,
        })
    }

    fn outcome(&self) -> QuotaOutcome {
        let mut outcome = QuotaOutcome::default();
        let (mut calm, mut hot) = ((0, 0), (0, 0));
        let mut admitted = 0;
        for (team, log) in self.logs.iter().enumerate() {
            outcome.worst = outcome.worst.max(log.worst_share(&self.scenario.bounds));
            let sums = if self.is_hot(team) {
                &mut hot
            } else {
                &mut calm
            };
            sums.0 += log.refused;
            sums.1 += log.within_quota;
            admitted += if self.is_hot(team) {
                log.admitted.len()
            } else {
                0
            };
        }
        let share = |(refused, within_quota): (u32, u32)| {
            f64::from(refused) / f64::from(within_quota.max(1))
        };
        let entry_seconds = self.scenario.entries as f64 * (WARMUP_SECS + self.scenario.seconds);
        outcome.calm_refused = share(calm);
        outcome.hot_refused = share(hot);
        outcome.hot_served = admitted as f64 / f64::from(hot.1.max(1));
        outcome.messages = self.messages_sent as f64 / entry_seconds;
        outcome.bytes = self.bytes as f64 / entry_seconds;
        outcome
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn seconds(&self) -> f64 {
        self.now as f64 / 1e6
    }

    fn instant(&self) -> Instant {
        self.origin + duration_from_secs(self.seconds())
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
