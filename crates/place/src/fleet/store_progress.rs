//! How current an entry's knowledge of the store is.

use std::time::{Duration, Instant};

use crate::fleet::clock::StoreTime;
use crate::fleet::content_hash::ContentHash;
use crate::fleet::log::log_version;
use crate::fleet::position::StorePosition;

base::common! {
    /// How current the sender's knowledge of the store is. Ages are relative to the time of
    /// sending.
    #[derive(Copy, Eq, Default)]
    pub struct StoreProgressReport {
        /// Version of the sender's registry log.
        pub registry: u64,
        /// Hash of the content at that version.
        pub content: ContentHash,
        /// The store's position at the latest read of the registry.
        pub registry_read: StorePosition,
        /// Milliseconds since that read began; `u32::MAX` before the first.
        pub registry_age: u32,
        /// The store's position when the operator's rows last changed.
        pub operator: StorePosition,
        /// The store's position when the records of rollouts last changed.
        pub rollouts: StorePosition,
        /// The store's position at the latest answer about the operator's rows.
        pub operator_read: StorePosition,
        /// Milliseconds since that answer; `u32::MAX` before the first.
        pub operator_age: u32,
        /// The store's time when it last confirmed that nothing newer than that had been set.
        pub proved: StoreTime,
        /// Version of the desired state in force.
        pub desired: u64,
    }
}

impl StoreProgressReport {
    /// Returns the report with its ages increased by `span`, for a report that was received
    /// that long before it is processed.
    #[must_use]
    pub fn delayed_by(mut self, span: Duration) -> Self {
        for age in [&mut self.registry_age, &mut self.operator_age] {
            *age = age.saturating_add(millis(span));
        }
        self
    }
}

/// How current this entry's knowledge of the store is, with times of its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreProgress {
    /// Version of the registry log.
    pub registry: u64,
    /// Hash of the content at that version.
    pub content: ContentHash,
    /// The store's position at the latest read of the registry.
    pub registry_read: StorePosition,
    /// The store's position up to which every registration, with its sequence number, is known.
    /// Confirmation by content doesn't raise it, because content leaves sequence numbers out.
    pub registry_listed: StorePosition,
    /// When that read began.
    pub registry_at: Option<Instant>,
    /// The store's position when the operator's rows last changed: every change up to there is
    /// applied.
    pub operator: StorePosition,
    /// The store's position when the records of rollouts last changed: every change up to there
    /// is applied. It tells nothing of the operator's rows.
    pub rollouts: StorePosition,
    /// The store's position at the latest answer about the operator's rows, from which their feed
    /// continues.
    pub operator_read: StorePosition,
    /// When that answer arrived.
    pub operator_at: Option<Instant>,
    /// The store's time when it last confirmed to any entry that nothing newer than that had
    /// been set.
    pub proved: StoreTime,
    /// Version of the desired state in force.
    pub desired: u64,
}

impl StoreProgress {
    /// Converts another entry's report to times of this entry's clock. It doesn't tell which
    /// registrations are known; only copies of the registry do.
    pub fn from_report(now: Instant, report: &StoreProgressReport) -> Self {
        let at = |age: u32| {
            let span = Duration::from_millis(u64::from(age));
            (age < u32::MAX).then(|| now.checked_sub(span)).flatten()
        };
        Self {
            registry: report.registry,
            content: report.content,
            registry_read: report.registry_read,
            registry_listed: StorePosition::default(),
            registry_at: at(report.registry_age),
            operator: report.operator,
            rollouts: report.rollouts,
            operator_read: report.operator_read,
            operator_at: at(report.operator_age),
            proved: report.proved,
            desired: report.desired,
        }
    }

    /// Converts the progress to a report for other entries.
    pub fn to_report(&self, now: Instant) -> StoreProgressReport {
        let age = |at: Option<Instant>| {
            at.map_or(u32::MAX, |at| millis(now.saturating_duration_since(at)))
        };
        StoreProgressReport {
            registry: self.registry,
            content: self.content,
            registry_read: self.registry_read,
            registry_age: age(self.registry_at),
            operator: self.operator,
            rollouts: self.rollouts,
            operator_read: self.operator_read,
            operator_age: age(self.operator_at),
            proved: self.proved,
            desired: self.desired,
        }
    }

    /// Handles that this entry was suspended for `span` while its clock stood still.
    pub fn on_suspended(&mut self, span: Duration) {
        for at in [&mut self.registry_at, &mut self.operator_at] {
            *at = at.and_then(|at| at.checked_sub(span));
        }
    }

    /// Returns whether both the registry and a desired state are known.
    pub fn is_complete(&self) -> bool {
        self.registry_at.is_some() && self.desired > 0
    }

    /// Returns whether `other` knows a newer version of the registry.
    pub fn is_behind_registry(&self, other: &Self) -> bool {
        other.registry_at.is_some()
            && (self.registry_at.is_none() || other.registry > self.registry)
    }

    /// Returns whether one of the two is wrong: each has read the store at or after the version
    /// that the other knows, yet their contents differ.
    pub fn contradicts(&self, other: &Self) -> bool {
        self.registry_at.is_some()
            && other.registry_at.is_some()
            && self.content != other.content
            && self.has_read(other.registry)
            && other.has_read(self.registry)
    }

    /// Returns whether this entry has read the store as of the log version `version` or later.
    fn has_read(&self, version: u64) -> bool {
        log_version(self.registry_read.next()) > version
    }

    /// Returns whether `other` knows a newer version of the operator's rows, or of how far the
    /// rollouts that they order have come.
    pub fn is_behind_operator(&self, other: &Self) -> bool {
        other.desired > self.desired
            || other.operator > self.operator
            || other.rollouts > self.rollouts
    }

    /// Returns whether an answer about the operator's rows as of `position` may be applied: all
    /// rows, or the changes since `after`. It may not if something newer is known, or if what is
    /// known was replaced by an older copy since the call, so that changes up to `after` may be
    /// lacking.
    pub fn continues_operator(
        &self,
        after: Option<StorePosition>,
        position: StorePosition,
    ) -> bool {
        position >= self.operator && after.is_none_or(|after| after <= self.operator_read)
    }

    /// Replaces what is known of the operator's rows with what `other` knows. If that is older,
    /// the confirmation of the current version doesn't apply to it.
    pub fn replace_operator(&mut self, other: &Self) {
        if other.operator < self.operator {
            self.proved = other.proved;
        }
        self.operator = other.operator;
        self.operator_read = other.operator_read;
        self.operator_at = other.operator_at;
    }

    /// Records that the rollouts that `other` knows were applied. A copy of everything
    /// (`is_whole`) counts even if it is older.
    pub fn adopt_rollouts(&mut self, other: &Self, is_whole: bool) {
        if is_whole || other.rollouts > self.rollouts {
            self.rollouts = other.rollouts;
        }
    }

    /// Adopts the freshness that `other` confirms for the operator's rows. This is valid when
    /// `other` is no newer: whatever `other` lacks was set after its last confirmation.
    pub fn confirm_operator(&mut self, other: &Self) {
        if self.is_behind_operator(other) {
            return;
        }
        self.operator_read = self.operator_read.max(other.operator_read);
        self.operator_at = self.operator_at.max(other.operator_at);
        self.proved = self.proved.max(other.proved);
    }

    /// Adopts the freshness that `other` confirms for the same knowledge. Returns whether the
    /// registry became fresher. Equal versions don't suffice for this: local changes of two
    /// entries may have the same version.
    pub fn confirm(&mut self, other: &Self) -> bool {
        self.confirm_operator(other);
        let is_same = self.content == other.content && !self.is_behind_registry(other);
        if !is_same || other.registry_at <= self.registry_at {
            return false;
        }
        self.registry_read = self.registry_read.max(other.registry_read);
        self.registry_at = other.registry_at;
        true
    }
}

/// Converts to whole milliseconds that fit into a report.
pub(crate) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX - 1)
}
