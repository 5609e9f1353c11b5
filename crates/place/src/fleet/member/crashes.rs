//! What an entry makes of requests under which servers ended, and whom it tells.

use std::time::{Duration, Instant};

use crate::crash::print::RequestFingerprint;
use crate::crash::word::{CrashMessage, CrashReport, RequestStatus, StoredQuarantine};
use crate::fleet::member::{BEAT_EVERY, FleetAction, FleetMember, FleetNote};
use crate::fleet::message::PeerMessage;

impl FleetMember {
    /// How much longer the request is refused; `None` where it isn't.
    pub fn quarantine_left(&self, now: Instant, print: RequestFingerprint) -> Option<Duration> {
        self.quarantine.quarantine_left(now, print)
    }

    /// Whether any request may be in quarantine.
    pub fn has_statuses(&self) -> bool {
        !self.quarantine.is_empty()
    }

    /// Whether good answers are to be compared with the suspects now. Callers need make no
    /// prints otherwise.
    pub fn has_suspects(&self, now: Instant) -> bool {
        self.has_statuses() || self.ledger.has_recent_reports(now)
    }

    /// Whether a good answer to the request is news.
    pub fn suspects(&self, print: RequestFingerprint) -> bool {
        self.quarantine.contains(print) || self.ledger.is_suspect(print)
    }

    /// The requests in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.quarantine.quarantined()
    }

    pub(super) fn on_crashed(&mut self, now: Instant, reports: &[CrashReport]) {
        for report in reports {
            if self.ledger.on_report(now, *report) {
                self.outbox.on_report(now, *report);
            }
        }
    }

    pub(super) fn on_cleared(
        &mut self,
        now: Instant,
        print: RequestFingerprint,
        actions: &mut Vec<FleetAction>,
    ) {
        let was_held = self.quarantine.contains(print);
        self.outbox.on_cleared(now, print, was_held);
        self.clear(now, print, actions);
    }

    /// Takes in what another entry says; what is news to a lead goes to the other leads.
    pub(super) fn on_crash_word(
        &mut self,
        now: Instant,
        word: &CrashMessage,
        actions: &mut Vec<FleetAction>,
    ) {
        let mut news = CrashMessage::default();
        for cleared in &word.cleared {
            let at = ago(now, cleared.age);
            if self.clear(at, cleared.print, actions) {
                news.cleared.push(*cleared);
            }
        }
        for report in &word.reports {
            if self.ledger.on_report(now, *report) {
                news.reports.push(*report);
            }
        }
        for word in &word.statuses {
            let since = ago(now, word.age);
            if self.quarantine.raise(word.print, word.status, since) {
                self.on_raised(now, word.print, word.status, actions);
            }
        }
        if self.leading.is_some() && !news.is_empty() {
            let leads = self.far_leads(now);
            let leads = self.others(leads);
            actions.push(FleetAction::Send(leads, PeerMessage::Crash(news)));
        }
    }

    /// Takes in what the store keeps, so that a quarantine outlives all entries and an
    /// operator can lift it; the first lead of a region mends rows that are missing or over.
    pub(super) fn on_kept(
        &mut self,
        now: Instant,
        rows: &[StoredQuarantine],
        actions: &mut Vec<FleetAction>,
    ) {
        for row in rows {
            let since = now.checked_sub(row.age).unwrap_or(now);
            if row.lifted {
                self.clear(now, row.print, actions);
            } else if self
                .quarantine
                .raise(row.print, RequestStatus::Quarantined, since)
            {
                actions.push(FleetAction::Note(FleetNote::Quarantined(row.print)));
                self.statuses_due = now;
            }
        }
        self.quarantine.drop_expired(now);
        if self.leading.is_some() && self.is_first(now) {
            self.mend_rows(now, rows, actions);
        }
    }

    fn mend_rows(&self, now: Instant, rows: &[StoredQuarantine], actions: &mut Vec<FleetAction>) {
        let prints = rows.iter().map(|row| row.print);
        let is_over = |print: &RequestFingerprint| self.quarantine_left(now, *print).is_none();
        drop_rows(prints.filter(is_over).collect(), actions);
        let is_kept = |print| rows.iter().any(|row| row.print == print);
        let quarantines = self.quarantines(now);
        let missing = quarantines.filter(|(print, _)| !is_kept(*print));
        keep(missing.collect(), actions);
    }

    /// When something about such requests is to be told or reviewed.
    pub(super) fn crashes_due(&self) -> Option<Instant> {
        let tells = self.leading.is_some() && self.has_statuses();
        let statuses = tells.then_some(self.statuses_due);
        let dues = [self.outbox.due(), self.ledger.review_due(), statuses];
        dues.into_iter().flatten().min()
    }

    pub(super) fn review_crashes(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        self.quarantine.drop_expired(now);
        self.tell_reports(now, actions);
        if self.ledger.review_due().is_some_and(|due| now >= due) {
            self.review_ledger(now, actions);
        }
        if self.leading.is_some() && now >= self.statuses_due {
            self.tell_statuses(now, actions);
        }
    }

    /// Tells the leads what this entry saw itself.
    fn tell_reports(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let word = self.outbox.take_due(now);
        if word.is_empty() {
            return;
        }
        let leads = if self.leading.is_some() {
            self.far_leads(now)
        } else {
            self.near_leads(now)
        };
        let leads = self.others(leads);
        actions.push(FleetAction::Send(leads, PeerMessage::Crash(word)));
    }

    /// Looks for the cause. An entry that hears a lead leaves it to that one, which knows
    /// what others saw: by what one entry saw, a request that was often caught beside the
    /// cause would seem to be it.
    fn review_ledger(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if self.leading.is_none() && self.hears_lead(now) {
            self.ledger.cancel_review();
            return;
        }
        let news = self.ledger.review(now, &mut self.quarantine);
        for (print, status) in &news {
            self.on_raised(now, *print, *status, actions);
            self.statuses_due = now;
        }
    }

    /// Tells the entries of the region and the other leads what is held of requests.
    fn tell_statuses(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        self.statuses_due = now + BEAT_EVERY;
        let word = CrashMessage {
            reports: Vec::new(),
            cleared: self.quarantine.cleared_requests(now),
            statuses: self.quarantine.status_messages(now),
        };
        if word.is_empty() {
            return;
        }
        let mut targets = self.far_leads(now);
        targets.extend(self.roster.addresses(now, &self.config.region));
        let targets = self.others(targets);
        actions.push(FleetAction::Send(targets, PeerMessage::Crash(word)));
    }

    /// The request was answered well at `at`; whether that is news.
    fn clear(
        &mut self,
        at: Instant,
        print: RequestFingerprint,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        let was_held = self.quarantine.contains(print);
        let was_suspect = self.ledger.clear(print);
        let is_news = self.quarantine.clear(print, at);
        if was_held && !self.quarantine.contains(print) {
            actions.push(FleetAction::Note(FleetNote::Cleared(print)));
            if self.leading.is_some() && self.is_first(at) {
                drop_rows(vec![print], actions);
            }
            self.statuses_due = at;
        }
        is_news || was_suspect
    }

    /// The requests in quarantine, and how long ago they were put there.
    fn quarantines(&self, now: Instant) -> impl Iterator<Item = (RequestFingerprint, Duration)> {
        let quarantines = self.quarantine.quarantines();
        quarantines.map(move |(print, since)| (print, now.saturating_duration_since(since)))
    }

    /// A request is treated more strictly from now on.
    fn on_raised(
        &mut self,
        now: Instant,
        print: RequestFingerprint,
        status: RequestStatus,
        actions: &mut Vec<FleetAction>,
    ) {
        if status == RequestStatus::Suspect {
            actions.push(FleetAction::Note(FleetNote::Suspected(print)));
            return;
        }
        actions.push(FleetAction::Note(FleetNote::Quarantined(print)));
        if self.leading.is_some() && self.is_first(now) {
            keep(vec![(print, Duration::ZERO)], actions);
        }
    }
}

fn keep(quarantines: Vec<(RequestFingerprint, Duration)>, actions: &mut Vec<FleetAction>) {
    if !quarantines.is_empty() {
        actions.push(FleetAction::KeepQuarantines(quarantines));
    }
}

fn drop_rows(prints: Vec<RequestFingerprint>, actions: &mut Vec<FleetAction>) {
    if !prints.is_empty() {
        actions.push(FleetAction::DropQuarantines(prints));
    }
}

fn ago(now: Instant, millis: u32) -> Instant {
    let span = Duration::from_millis(u64::from(millis));
    now.checked_sub(span).unwrap_or(now)
}
