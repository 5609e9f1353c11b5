//! Exchange of reports on requests that crash servers, and their quarantine.

use std::time::{Duration, Instant};

use crate::crash::fingerprint::RequestFingerprint;
use crate::crash::message::{CrashMessage, CrashReport, RequestStatus, StoredQuarantine};
use crate::fleet::member::{FleetAction, FleetChange, FleetMember, HEARTBEAT_INTERVAL};
use crate::fleet::message::PeerMessage;

impl FleetMember {
    /// Returns how much longer the request is rejected; `None` if it is not quarantined.
    pub fn quarantine_left(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
    ) -> Option<Duration> {
        self.quarantine.quarantine_left(now, fingerprint)
    }

    /// Whether any request may be suspected or quarantined.
    pub fn has_statuses(&self) -> bool {
        !self.quarantine.is_empty()
    }

    /// Whether successful answers must be checked against suspected requests. If not,
    /// callers of this can skip computing fingerprints.
    pub fn has_suspects(&self, now: Instant) -> bool {
        self.has_statuses() || self.ledger.has_recent_reports(now)
    }

    /// Whether a successful answer to this request must be reported.
    pub fn suspects(&self, fingerprint: RequestFingerprint) -> bool {
        self.quarantine.contains(fingerprint) || self.ledger.is_suspect(fingerprint)
    }

    /// Returns the quarantined requests.
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
        fingerprint: RequestFingerprint,
        actions: &mut Vec<FleetAction>,
    ) {
        let was_held = self.quarantine.contains(fingerprint);
        self.outbox.on_cleared(now, fingerprint, was_held);
        self.clear(now, fingerprint, actions);
    }

    /// Applies a message from another entry. A lead forwards new facts to the other
    /// leads.
    pub(super) fn on_crash_message(
        &mut self,
        now: Instant,
        message: &CrashMessage,
        actions: &mut Vec<FleetAction>,
    ) {
        let mut new_facts = CrashMessage::default();
        for cleared in &message.cleared {
            let at = instant_before(now, cleared.age);
            if self.clear(at, cleared.print, actions) {
                new_facts.cleared.push(*cleared);
            }
        }
        for report in &message.reports {
            if self.ledger.on_report(now, *report) {
                new_facts.reports.push(*report);
            }
        }
        for report in &message.statuses {
            let since = instant_before(now, report.age);
            if self.quarantine.raise(report.print, report.status, since) {
                self.on_status_raised(now, report.print, report.status, actions);
            }
        }
        if self.lead_since.is_some() && !new_facts.is_empty() {
            let leads = self.peer_leads(now);
            let leads = self.unique_peers(leads);
            actions.push(FleetAction::Send(leads, PeerMessage::Crash(new_facts)));
        }
    }

    /// Applies the quarantined requests stored in the store. The store keeps them so that
    /// a quarantine survives a loss of all entries and an operator can lift it. The
    /// reader of a region adds missing rows and deletes lapsed ones.
    pub(super) fn on_quarantine_rows(
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
                actions.push(FleetAction::Log(FleetChange::Quarantined(row.print)));
                self.statuses_due = now;
            }
        }
        self.quarantine.drop_expired(now);
        if self.lead_since.is_some() && self.is_reader(now) {
            self.repair_quarantine_rows(now, rows, actions);
        }
    }

    fn repair_quarantine_rows(
        &self,
        now: Instant,
        rows: &[StoredQuarantine],
        actions: &mut Vec<FleetAction>,
    ) {
        let fingerprints = rows.iter().map(|row| row.print);
        let has_lapsed =
            |fingerprint: &RequestFingerprint| self.quarantine_left(now, *fingerprint).is_none();
        delete_quarantine_rows(fingerprints.filter(has_lapsed).collect(), actions);
        let is_stored = |fingerprint| rows.iter().any(|row| row.print == fingerprint);
        let quarantines = self.quarantines(now);
        let missing = quarantines.filter(|(fingerprint, _)| !is_stored(*fingerprint));
        write_quarantine_rows(missing.collect(), actions);
    }

    /// Returns when reports or statuses must be sent, or crash reports evaluated.
    pub(super) fn crashes_due(&self) -> Option<Instant> {
        let is_sending = self.lead_since.is_some() && self.has_statuses();
        let statuses = is_sending.then_some(self.statuses_due);
        let times = [self.outbox.due(), self.ledger.review_due(), statuses];
        times.into_iter().flatten().min()
    }

    pub(super) fn process_crashes(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        self.quarantine.drop_expired(now);
        self.send_reports(now, actions);
        if self.ledger.review_due().is_some_and(|due| now >= due) {
            self.review_ledger(now, actions);
        }
        if self.lead_since.is_some() && now >= self.statuses_due {
            self.send_statuses(now, actions);
        }
    }

    /// Sends this entry's own reports to the leads.
    fn send_reports(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let message = self.outbox.take_due(now);
        if message.is_empty() {
            return;
        }
        let leads = if self.lead_since.is_some() {
            self.peer_leads(now)
        } else {
            self.own_region_leads(now)
        };
        let leads = self.unique_peers(leads);
        actions.push(FleetAction::Send(leads, PeerMessage::Crash(message)));
    }

    /// Determines which requests cause crashes. An entry with a lead leaves this to the
    /// lead, which has reports from all entries: judging by its own reports alone, an
    /// entry could blame a request that was merely often in progress alongside the cause.
    fn review_ledger(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if self.lead_since.is_none() && self.has_live_lead(now) {
            self.ledger.cancel_review();
            return;
        }
        let new_facts = self.ledger.review(now, &mut self.quarantine);
        for (fingerprint, status) in &new_facts {
            self.on_status_raised(now, *fingerprint, *status, actions);
            self.statuses_due = now;
        }
    }

    /// Sends the statuses of suspected and quarantined requests to the entries of the
    /// region and to the other leads.
    fn send_statuses(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        self.statuses_due = now + HEARTBEAT_INTERVAL;
        let message = CrashMessage {
            reports: Vec::new(),
            cleared: self.quarantine.cleared_requests(now),
            statuses: self.quarantine.status_reports(now),
        };
        if message.is_empty() {
            return;
        }
        let mut targets = self.peer_leads(now);
        targets.extend(self.roster.addresses(now, &self.config.region));
        let targets = self.unique_peers(targets);
        actions.push(FleetAction::Send(targets, PeerMessage::Crash(message)));
    }

    /// Records that the request was answered successfully at `at`; returns whether this
    /// is new.
    fn clear(
        &mut self,
        at: Instant,
        fingerprint: RequestFingerprint,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        let was_held = self.quarantine.contains(fingerprint);
        let was_suspect = self.ledger.clear(fingerprint);
        let is_changed = self.quarantine.clear(fingerprint, at);
        if was_held && !self.quarantine.contains(fingerprint) {
            actions.push(FleetAction::Log(FleetChange::Cleared(fingerprint)));
            if self.lead_since.is_some() && self.is_reader(at) {
                delete_quarantine_rows(vec![fingerprint], actions);
            }
            self.statuses_due = at;
        }
        is_changed || was_suspect
    }

    /// Returns the quarantined requests with the age of their quarantine.
    fn quarantines(&self, now: Instant) -> impl Iterator<Item = (RequestFingerprint, Duration)> {
        let quarantines = self.quarantine.quarantines();
        quarantines
            .map(move |(fingerprint, since)| (fingerprint, now.saturating_duration_since(since)))
    }

    /// Handles a request that became suspected or quarantined.
    fn on_status_raised(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        status: RequestStatus,
        actions: &mut Vec<FleetAction>,
    ) {
        if status == RequestStatus::Suspect {
            actions.push(FleetAction::Log(FleetChange::Suspected(fingerprint)));
            return;
        }
        actions.push(FleetAction::Log(FleetChange::Quarantined(fingerprint)));
        if self.lead_since.is_some() && self.is_reader(now) {
            write_quarantine_rows(vec![(fingerprint, Duration::ZERO)], actions);
        }
    }
}

fn write_quarantine_rows(
    quarantines: Vec<(RequestFingerprint, Duration)>,
    actions: &mut Vec<FleetAction>,
) {
    if !quarantines.is_empty() {
        actions.push(FleetAction::WriteQuarantineRows(quarantines));
    }
}

fn delete_quarantine_rows(fingerprints: Vec<RequestFingerprint>, actions: &mut Vec<FleetAction>) {
    if !fingerprints.is_empty() {
        actions.push(FleetAction::DeleteQuarantineRows(fingerprints));
    }
}

fn instant_before(now: Instant, millis: u32) -> Instant {
    let span = Duration::from_millis(u64::from(millis));
    now.checked_sub(span).unwrap_or(now)
}
