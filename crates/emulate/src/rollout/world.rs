//! Entries that follow a rollout together, in virtual time: callers, servers of two versions,
//! words between entries and a store are played.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rollout::prelude::*;

use crate::rollout::history::{
    EXPOSURE_SHARE, EXPOSURE_SLACK, RolloutFault, RolloutHistory, RolloutOutcome,
};

const SERVICE: &str = "board";
/// Time after the last free bad answer from which on nothing may be sent to a bad version.
const ROLLBACK: Duration = Duration::from_secs(5);
/// Bad answers that a version may give before that time begins.
const BAD_ANSWERS: usize = 50;
const STEP: Duration = Duration::from_millis(10);
/// Time between two words of an entry: for each entry that gets requests, and at least.
const WORD_PAUSE: Duration = Duration::from_millis(12);
const WORD_LEAST: Duration = Duration::from_millis(80);
const WAY: Duration = Duration::from_millis(36);
const TEND_EVERY: Duration = Duration::from_millis(250);
/// Time until what a lead wrote is known to all entries.
const TOLD_AFTER: Duration = Duration::from_millis(400);
const EXPECTED: Duration = Duration::from_millis(600);

struct Running {
    entry: usize,
    token: Option<SendToken>,
    run: u64,
    ends: Duration,
    fails: bool,
    is_new: bool,
    bad: bool,
}

struct Letter {
    to: usize,
    from: usize,
    at: Duration,
    word: RolloutReport,
}

/// The entries, what is on its way between them, and what the store holds.
struct FleetWorld<S> {
    history: RolloutHistory,
    schedule: S,
    start: Instant,
    rng: ChaCha8Rng,
    books: Vec<RolloutController<S>>,
    runs: Vec<u64>,
    running: Vec<Running>,
    letters: VecDeque<Letter>,
    told: Vec<(Duration, RolloutRecord)>,
    stored: Option<RolloutRecord>,
    recent: VecDeque<bool>,
}

impl<S: ShareSchedule + Copy> FleetWorld<S> {
    fn new(history: RolloutHistory, schedule: S) -> Self {
        let start = Instant::now();
        let mut world = Self {
            history,
            schedule,
            start,
            rng: ChaCha8Rng::seed_from_u64(history.seed),
            books: Vec::new(),
            runs: vec![1; history.entries],
            running: Vec::new(),
            letters: VecDeque::new(),
            told: Vec::new(),
            stored: None,
            recent: VecDeque::new(),
        };
        for entry in 0..history.entries {
            let book = world.book(entry, Duration::ZERO);
            world.books.push(book);
        }
        world
    }

    fn book(&self, entry: usize, at: Duration) -> RolloutController<S> {
        let config = RolloutConfig {
            exposure_share: EXPOSURE_SHARE,
            exposure_slack: EXPOSURE_SLACK,
            run: self.runs[entry],
        };
        let now = self.start + at;
        let mut book = RolloutController::new(now, config, self.schedule);
        book.set_entries(self.history.entries, true);
        for version in ["v1", "v2"] {
            book.on_server(now, SERVICE, version, true);
        }
        book
    }

    /// Plays the history until a little after the deadline.
    fn play(mut self) -> RolloutOutcome {
        let mut outcome = RolloutOutcome::default();
        let order = RolloutOrder {
            service: SERVICE.to_owned(),
            version: "v2".to_owned(),
            duration: self.history.duration,
            revision: 7,
        };
        for entry in 0..self.history.entries {
            let now = self.start + WAY;
            self.books[entry].on_order(now, &order);
        }
        let mut at = Duration::ZERO;
        let pause = (WORD_PAUSE * self.history.entries as u32).max(WORD_LEAST);
        let (mut due, mut tend_at, mut word_at) = (0.0, WAY, pause);
        let mut seconds = (0, 0);
        while at < self.history.duration + Duration::from_secs(2) {
            due += self.history.rate * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let is_new = self.arrive(at, &mut outcome);
                seconds.0 += 1;
                seconds.1 += usize::from(is_new);
            }
            self.answer(at, &mut outcome);
            self.deliver(at);
            if at >= word_at {
                word_at += pause;
                self.speak(at);
            }
            let has_verdict = self
                .books
                .iter_mut()
                .fold(false, |any, book| any | book.take_verdict());
            if has_verdict {
                self.speak(at);
            }
            if at >= tend_at {
                tend_at = at + TEND_EVERY;
                self.tend(0, at, &mut outcome);
                self.tend(self.books.len() - 1, at, &mut outcome);
            }
            at += STEP;
            if at.subsec_millis() < STEP.subsec_millis() {
                outcome
                    .shares
                    .push(seconds.1 as f64 / f64::from(seconds.0.max(1)));
                seconds = (0, 0);
            }
        }
        outcome
    }

    fn is_cut_off(&self, entry: usize, at: Duration) -> bool {
        let cut = self.history.cut_off;
        cut.is_some_and(|(cut, since)| entry < cut && at >= since)
    }

    fn is_bad(&self, at: Duration, route: u64) -> bool {
        let load = self.recent.iter().filter(|is_new| **is_new).count() as f64;
        let share = load / self.recent.len().max(1) as f64;
        at >= self.history.fault_at
            && (!self.history.on_one_route || route == 1)
            && self.history.under_load.is_none_or(|least| share >= least)
    }

    fn arrive(&mut self, at: Duration, outcome: &mut RolloutOutcome) -> bool {
        let now = self.start + at;
        let entry = self.rng.random_range(0..self.history.entries);
        let cut = self.history.cut_off.filter(|_| self.is_cut_off(entry, at));
        let age = cut.map_or(Duration::from_millis(300), |(_, since)| at - since);
        let book = &mut self.books[entry];
        let choice = book.choose(now, SERVICE, false, Some(age));
        let is_over = self.stored.as_ref().map(|record| record.phase);
        let is_new = match choice {
            VersionChoice::New | VersionChoice::NewOnly => true,
            VersionChoice::Old => false,
            VersionChoice::NoRollout => is_over == Some(RolloutPhase::Completed),
        };
        let route = self.rng.random_range(1..=3);
        let server = self.rng.random_range(0..20);
        let send = VersionSend {
            service: SERVICE,
            version: if is_new { "v2" } else { "v1" },
            route,
            server,
            is_cold: false,
            expected: EXPECTED,
        };
        let token = book.on_sent(now, &send).map(|(token, _)| token);
        let bad = is_new && self.is_bad(at, route);
        let mut took = EXPECTED.mul_f64(self.rng.random_range(0.6..1.4));
        let mut fails = self.rng.random_bool(self.history.usual_failures);
        let mut shows = false;
        match self.history.fault {
            RolloutFault::Fails(part) if bad && self.rng.random_bool(part) => {
                (fails, shows) = (true, true);
            }
            RolloutFault::Slow(part, factor) if bad && self.rng.random_bool(part) => {
                took = took.mul_f64(factor);
                shows = true;
            }
            _ => {}
        }
        self.recent.push_back(is_new);
        if self.recent.len() > 200 {
            self.recent.pop_front();
        }
        if at <= self.history.duration && !self.is_cut_off(entry, at) {
            outcome.all += 1;
            outcome.exposed += usize::from(is_new);
        }
        let bound = outcome
            .bad_answers
            .get(BAD_ANSWERS - 1)
            .map(|at| *at + ROLLBACK);
        let is_late = bound.is_some_and(|bound| at > bound);
        if is_new && is_late && !self.is_cut_off(entry, at) {
            outcome.late += 1;
        }
        self.running.push(Running {
            entry,
            token,
            run: self.runs[entry],
            ends: at + took,
            fails,
            is_new,
            bad: shows,
        });
        is_new
    }

    fn answer(&mut self, at: Duration, outcome: &mut RolloutOutcome) {
        let now = self.start + at;
        let running = std::mem::take(&mut self.running);
        let (done, left) = running
            .into_iter()
            .partition(|run: &Running| run.ends <= at);
        self.running = left;
        let done: Vec<Running> = done;
        for run in done {
            if run.bad {
                outcome.bad_answers.push(at);
            }
            let result = if run.fails {
                SendOutcome::Failed
            } else {
                SendOutcome::Answered
            };
            if let Some(token) = run.token.filter(|_| run.run == self.runs[run.entry]) {
                self.books[run.entry].on_outcome(now, token, result);
            }
        }
        for book in &mut self.books {
            book.check_overdue(now);
        }
        if let Some((entry, when)) = self.history.restarted
            && at >= when
            && self.runs[entry] == 1
        {
            self.runs[entry] = 2;
            self.books[entry] = self.book(entry, at);
            if let Some(record) = self.stored.clone() {
                let begun = self.start + Duration::from_millis(record.begun);
                self.books[entry].on_record(now, &record, Some(begun), true);
            }
        }
    }

    fn speak(&mut self, at: Duration) {
        let now = self.start + at;
        for from in 0..self.books.len() {
            let Some(word) = self.books[from].report(now) else {
                continue;
            };
            if self.is_cut_off(from, at) {
                continue;
            }
            for to in 0..self.books.len() {
                let is_lost = self.rng.random_bool(self.history.loss);
                if to == from || is_lost || self.is_cut_off(to, at) {
                    continue;
                }
                let at = at + WAY;
                let word = word.clone();
                self.letters.push_back(Letter { to, from, at, word });
            }
        }
    }

    fn deliver(&mut self, at: Duration) {
        let now = self.start + at;
        while self.letters.front().is_some_and(|letter| letter.at <= at) {
            let Some(letter) = self.letters.pop_front() else {
                return;
            };
            self.books[letter.to].on_report(now, letter.from as u64, &letter.word);
        }
        let due: Vec<RolloutRecord> = {
            let ready = self.told.iter().filter(|(when, _)| *when <= at);
            ready.map(|(_, record)| record.clone()).collect()
        };
        self.told.retain(|(when, _)| *when > at);
        for record in due {
            let begun = self.start + Duration::from_millis(record.begun);
            for entry in 0..self.books.len() {
                if !self.is_cut_off(entry, at) {
                    self.books[entry].on_record(now, &record, Some(begun), true);
                }
            }
        }
    }

    /// The entry `lead` looks whether the store should say something else.
    fn tend(&mut self, lead: usize, at: Duration, outcome: &mut RolloutOutcome) {
        let away = self.history.store_away;
        if away.is_some_and(|(from, to)| at >= from && at < to) {
            return;
        }
        let now = self.start + at;
        let sight = ServerCounts { new: 20, old: 20 };
        let store_now = at.as_millis() as u64;
        let Some(record) = self.books[lead].next_record(now, SERVICE, sight, store_now) else {
            return;
        };
        let stored = self.stored.clone();
        if let Some(stored) = stored.filter(|stored| !record.is_newer(stored)) {
            let begun = self.start + Duration::from_millis(stored.begun);
            self.books[lead].on_record(now, &stored, Some(begun), true);
            return;
        }
        if record.phase == RolloutPhase::Completed {
            outcome.cut = self.running.iter().filter(|run| !run.is_new).count();
        }
        if record.phase.is_final() && outcome.ended.is_none() {
            outcome.ended = Some(at);
        }
        outcome.phase = Some(record.phase);
        self.stored = Some(record.clone());
        let begun = self.start + Duration::from_millis(record.begun);
        self.books[lead].on_record(now, &record, Some(begun), true);
        self.told.push((at + TOLD_AFTER, record));
    }
}

/// Plays `history` with `schedule`.
pub fn play_rollout<S: ShareSchedule + Copy>(
    history: RolloutHistory,
    schedule: S,
) -> RolloutOutcome {
    FleetWorld::new(history, schedule).play()
}
