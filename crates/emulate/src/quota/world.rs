//! Plays a way, event by event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use place::placing::load::{is_sent_to_other_regions, load_interval};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use team::spec::{TeamQuota, TeamSpec};

use crate::quota::play::{QuotaChange, QuotaPlay};
use crate::quota::report::{QuotaReport, TeamLog, TrueBucket, span};
use crate::quota::ways::{EntryQuota, REGIONS};

/// One way within a region and between two, in microseconds.
const NEAR: u64 = 1_000;
const FAR: u64 = 36_000;
/// Entries run for so long before callers come.
const LEAD: f64 = 3.0;
/// How often a refused caller comes back.
const RETURNS: u32 = 1;
/// Time after which an entry that has started knows the others.
const MET_AFTER: f64 = 0.3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request {
        team: usize,
        refusals: u32,
        again: bool,
    },
    Speak {
        entry: usize,
        round: u32,
        run: u64,
    },
    Heard {
        to: usize,
        from: usize,
        word: usize,
        run: u64,
    },
    Change {
        index: usize,
    },
    Back,
    Met {
        run: u64,
    },
}

struct World<'a, W: EntryQuota, F> {
    play: &'a QuotaPlay,
    build: F,
    origin: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    rng: ChaCha8Rng,
    entries: Vec<W>,
    run: u64,
    is_away: bool,
    specs: Vec<TeamSpec>,
    homes: Vec<Option<usize>>,
    logs: Vec<TeamLog>,
    buckets: Vec<TrueBucket>,
    words: Vec<W::Word>,
    sent: u64,
    bytes: u64,
}

/// Plays `play`, with entries that `build` makes: when, which entry, and which run.
pub fn play_quota<W, F>(play: &QuotaPlay, build: F) -> QuotaReport
where
    W: EntryQuota,
    F: Fn(Instant, usize, u64) -> W,
{
    let mut world = World::new(play, build);
    world.run();
    world.report()
}

fn hash(entry: usize) -> u64 {
    entry as u64 + 1
}

impl<'a, W: EntryQuota, F: Fn(Instant, usize, u64) -> W> World<'a, W, F> {
    fn new(play: &'a QuotaPlay, build: F) -> Self {
        let specs: Vec<TeamSpec> = play.teams.iter().map(|team| team.spec.clone()).collect();
        let quota = |spec: &TeamSpec| {
            spec.quota.unwrap_or(TeamQuota {
                rate: 1e9,
                burst: 1e9,
            })
        };
        let mut world = Self {
            play,
            build,
            origin: Instant::now(),
            now: 0,
            events: BinaryHeap::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(play.seed),
            entries: Vec::new(),
            run: 1,
            is_away: false,
            homes: play.teams.iter().map(|team| team.at).collect(),
            logs: specs
                .iter()
                .map(|spec| TeamLog {
                    quotas: vec![(0.0, quota(spec))],
                    ..TeamLog::default()
                })
                .collect(),
            buckets: specs
                .iter()
                .map(|spec| TrueBucket::new(quota(spec)))
                .collect(),
            specs,
            words: Vec::new(),
            sent: 0,
            bytes: 0,
        };
        world.start();
        for team in 0..world.specs.len() {
            world.plan_request(LEAD, team);
        }
        for (index, change) in play.changes.iter().enumerate() {
            let at = match change {
                QuotaChange::Restart { at, .. }
                | QuotaChange::Set { at, .. }
                | QuotaChange::Move { at, .. } => *at,
                QuotaChange::Hot { .. } | QuotaChange::Cut { .. } => continue,
            };
            world.push(micros(LEAD + at), Event::Change { index });
        }
        world
    }

    fn start(&mut self) {
        let now = self.instant();
        self.entries.clear();
        for entry in 0..self.play.entries {
            let mut quota = (self.build)(now, entry, self.run);
            quota.set_teams(now, &self.specs);
            self.entries.push(quota);
            let first = self.now + self.rng.random_range(0..80_000);
            let run = self.run;
            self.push(
                first,
                Event::Speak {
                    entry,
                    round: 0,
                    run,
                },
            );
        }
        self.push(self.now + micros(MET_AFTER), Event::Met { run: self.run });
    }

    fn run(&mut self) {
        let ends = micros(LEAD + self.play.seconds);
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
            Event::Request {
                team,
                refusals,
                again,
            } => {
                if !again {
                    self.plan_request(self.seconds(), team);
                }
                self.on_request(team, refusals);
            }
            Event::Speak { entry, round, run } if run == self.run && !self.is_away => {
                self.speak(entry, round);
            }
            Event::Heard {
                to,
                from,
                word,
                run,
            } => {
                if run == self.run && !self.is_away {
                    let (now, word) = (self.instant(), self.words[word].clone());
                    self.entries[to].on_word(now, hash(from), &word);
                }
            }
            Event::Change { index } => self.change(self.play.changes[index]),
            Event::Back => {
                self.is_away = false;
                self.start();
            }
            Event::Met { run } if run == self.run && !self.is_away => {
                let now = self.instant();
                for entry in 0..self.entries.len() {
                    let others: Vec<u64> = (0..self.play.entries)
                        .filter(|other| *other != entry)
                        .map(hash)
                        .collect();
                    self.entries[entry].set_entries(now, &others);
                }
            }
            Event::Speak { .. } | Event::Met { .. } => {}
        }
    }

    fn on_request(&mut self, team: usize, refusals: u32) {
        let at = self.seconds();
        if self.is_away {
            return;
        }
        let is_owed = self.buckets[team].take(at);
        self.logs[team].owed += u32::from(is_owed);
        let entry = match self.homes[team] {
            Some(entry) => entry,
            None => self.rng.random_range(0..self.play.entries),
        };
        let now = self.instant();
        match self.entries[entry].admit(now, &self.specs[team].name) {
            Ok(()) => self.logs[team].let_in.push(at),
            Err(wait) => {
                self.logs[team].refused += u32::from(is_owed);
                if refusals < RETURNS {
                    let again = Event::Request {
                        team,
                        refusals: refusals + 1,
                        again: true,
                    };
                    let back = self.now + wait.as_micros() as u64 + 1;
                    self.push(back, again);
                }
            }
        }
    }

    fn speak(&mut self, entry: usize, round: u32) {
        let now = self.instant();
        let near = self.play.entries.div_ceil(REGIONS).saturating_sub(1) as u32;
        let far = self.play.entries as u32 - near - 1;
        let (word, bytes) = self.entries[entry].word(now);
        let tells_far = is_sent_to_other_regions(round, near, far);
        self.words.push(word);
        let index = self.words.len() - 1;
        for to in 0..self.play.entries {
            let is_far = to % REGIONS != entry % REGIONS;
            let is_told = to != entry && (tells_far || !is_far);
            if !is_told || !self.entries[entry].is_told(hash(to), &self.words[index]) {
                continue;
            }
            self.sent += 1;
            self.bytes += bytes as u64;
            let is_lost = self.rng.random_bool(self.play.loses);
            if is_lost || self.is_cut(entry) || self.is_cut(to) {
                continue;
            }
            let delay = if is_far { FAR } else { NEAR };
            let (from, word, run) = (entry, index, self.run);
            self.push(
                self.now + delay,
                Event::Heard {
                    to,
                    from,
                    word,
                    run,
                },
            );
        }
        let pause = load_interval(near).as_micros() as u64;
        let run = self.run;
        self.push(
            self.now + pause,
            Event::Speak {
                entry,
                round: round + 1,
                run,
            },
        );
    }

    fn change(&mut self, change: QuotaChange) {
        let at = self.seconds();
        match change {
            QuotaChange::Restart { away, .. } => {
                self.is_away = true;
                self.run += 1;
                self.push(self.now + micros(away), Event::Back);
            }
            QuotaChange::Set { team, rate, .. } => {
                let quota = TeamQuota { rate, burst: rate };
                self.specs[team].quota = Some(quota);
                self.buckets[team].quota = quota;
                self.logs[team].quotas.push((at, quota));
                let now = self.instant();
                for entry in &mut self.entries {
                    entry.set_teams(now, &self.specs);
                }
            }
            QuotaChange::Move { team, to, .. } => self.homes[team] = Some(to),
            QuotaChange::Hot { .. } | QuotaChange::Cut { .. } => {}
        }
    }

    fn plan_request(&mut self, from: f64, team: usize) {
        let rate = self.play.teams[team].usual * self.times(from - LEAD, team);
        let chance: f64 = self.rng.random_range(1e-9..1.0);
        let at = from - chance.ln() / rate;
        let (refusals, again) = (0, false);
        self.push(
            micros(at),
            Event::Request {
                team,
                refusals,
                again,
            },
        );
    }

    fn times(&self, at: f64, team: usize) -> f64 {
        for change in &self.play.changes {
            if let QuotaChange::Hot {
                team: hot,
                times,
                from,
                until,
            } = change
                && *hot == team
                && (*from..*until).contains(&at)
            {
                return *times;
            }
        }
        1.0
    }

    fn is_cut(&self, entry: usize) -> bool {
        let at = self.seconds() - LEAD;
        let cuts = self.play.changes.iter();
        cuts.into_iter().any(|change| {
            matches!(change, QuotaChange::Cut { count, from, until }
                if entry < *count && (*from..*until).contains(&at))
        })
    }

    fn is_hot(&self, team: usize) -> bool {
        let changes = self.play.changes.iter();
        changes.into_iter().any(|change| match change {
            QuotaChange::Hot { team: hot, .. } | QuotaChange::Set { team: hot, .. } => *hot == team,
            _ => false,
        })
    }

    fn report(&self) -> QuotaReport {
        let mut report = QuotaReport::default();
        let (mut calm, mut hot) = ((0, 0), (0, 0));
        let mut let_in = 0;
        for (team, log) in self.logs.iter().enumerate() {
            report.worst = report.worst.max(log.worst(&self.play.bounds));
            let sums = if self.is_hot(team) {
                &mut hot
            } else {
                &mut calm
            };
            sums.0 += log.refused;
            sums.1 += log.owed;
            let_in += if self.is_hot(team) {
                log.let_in.len()
            } else {
                0
            };
        }
        let share = |(refused, owed): (u32, u32)| f64::from(refused) / f64::from(owed.max(1));
        let entry_seconds = self.play.entries as f64 * (LEAD + self.play.seconds);
        report.calm_refused = share(calm);
        report.hot_refused = share(hot);
        report.hot_served = let_in as f64 / f64::from(hot.1.max(1));
        report.words = self.sent as f64 / entry_seconds;
        report.bytes = self.bytes as f64 / entry_seconds;
        report
    }

    fn push(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn seconds(&self) -> f64 {
        self.now as f64 / 1e6
    }

    fn instant(&self) -> Instant {
        self.origin + span(self.seconds())
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
