//! How much an entry knows of what the store holds.

use std::time::{Duration, Instant};

use crate::fleet::clock::StoreTime;
use crate::fleet::content_hash::ContentHash;
use crate::fleet::log::log_version;

base::common! {
    /// What an entry knows of the store, as it tells others.
    #[derive(Copy, Eq, Default)]
    pub struct StoreProgressMessage {
        /// The log's version of what is known of the registry.
        pub registry: u64,
        /// The mark of that.
        pub content: ContentHash,
        /// The store's version at the newest reading of the registry.
        pub registry_read: u64,
        /// Milliseconds since that reading began; `u32::MAX` before the first.
        pub registry_age: u32,
        /// The store's version when the operator's rows last changed.
        pub operator: u64,
        /// The store's version at its newest word on them.
        pub operator_read: u64,
        /// Milliseconds since that word; `u32::MAX` before the first.
        pub operator_age: u32,
        /// When the store showed last that nothing newer than that was set.
        pub proved: StoreTime,
        /// Version of the desired state in force.
        pub desired: u64,
    }
}

impl StoreProgressMessage {
    /// The word as it is told when it waited for `span` before it was read.
    #[must_use]
    pub fn delayed_by(mut self, span: Duration) -> Self {
        for age in [&mut self.registry_age, &mut self.operator_age] {
            *age = age.saturating_add(millis(span));
        }
        self
    }
}

/// The same as this entry keeps it, with times of its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreProgress {
    /// The log's version of what is known of the registry.
    pub registry: u64,
    /// The mark of that.
    pub content: ContentHash,
    /// The store's version at the newest reading of the registry.
    pub registry_read: u64,
    /// When that reading began.
    pub registry_at: Option<Instant>,
    /// The store's version when the operator's rows last changed.
    pub operator: u64,
    /// The store's version at its newest word on them.
    pub operator_read: u64,
    /// When that word came.
    pub operator_at: Option<Instant>,
    /// When the store showed last, to whichever entry, that nothing newer than that was set,
    /// by the store's own clock.
    pub proved: StoreTime,
    /// Version of the desired state in force.
    pub desired: u64,
}

impl StoreProgress {
    /// What another entry's `word` says, by this entry's clock.
    pub fn from_message(now: Instant, word: &StoreProgressMessage) -> Self {
        let at = |age: u32| {
            let span = Duration::from_millis(u64::from(age));
            (age < u32::MAX).then(|| now.checked_sub(span)).flatten()
        };
        Self {
            registry: word.registry,
            content: word.content,
            registry_read: word.registry_read,
            registry_at: at(word.registry_age),
            operator: word.operator,
            operator_read: word.operator_read,
            operator_at: at(word.operator_age),
            proved: word.proved,
            desired: word.desired,
        }
    }

    /// The word for other entries.
    pub fn to_message(&self, now: Instant) -> StoreProgressMessage {
        let age = |at: Option<Instant>| {
            at.map_or(u32::MAX, |at| millis(now.saturating_duration_since(at)))
        };
        StoreProgressMessage {
            registry: self.registry,
            content: self.content,
            registry_read: self.registry_read,
            registry_age: age(self.registry_at),
            operator: self.operator,
            operator_read: self.operator_read,
            operator_age: age(self.operator_at),
            proved: self.proved,
            desired: self.desired,
        }
    }

    /// This entry stood still for `span` without its clock moving.
    pub fn on_suspended(&mut self, span: Duration) {
        for at in [&mut self.registry_at, &mut self.operator_at] {
            *at = at.and_then(|at| at.checked_sub(span));
        }
    }

    /// Whether everything that the registry and the operator's rows are needed for is
    /// known.
    pub fn is_complete(&self) -> bool {
        self.registry_at.is_some() && self.desired > 0
    }

    /// Whether `other` knows more of the registry.
    pub fn is_behind_registry(&self, other: &Self) -> bool {
        other.registry_at.is_some()
            && (self.registry_at.is_none() || other.registry > self.registry)
    }

    /// Whether one of both is wrong: each has read the store beyond what the other knows,
    /// and they know different things.
    pub fn contradicts(&self, other: &Self) -> bool {
        self.registry_at.is_some()
            && other.registry_at.is_some()
            && self.content != other.content
            && self.has_read(other.registry)
            && other.has_read(self.registry)
    }

    /// Whether the store was read here as of the log's version `version` or later.
    fn has_read(&self, version: u64) -> bool {
        log_version(self.registry_read.saturating_add(1)) > version
    }

    /// Whether `other` knows more of the operator's rows.
    pub fn is_behind_operator(&self, other: &Self) -> bool {
        other.desired > self.desired || other.operator > self.operator
    }

    /// Takes what `other` knows of the operator's rows in place of what is known here. Where that
    /// is older, the proof of what was known says nothing of it.
    pub fn replace_operator(&mut self, other: &Self) {
        if other.operator < self.operator {
            self.proved = other.proved;
        }
        self.operator = other.operator;
        self.operator_read = other.operator_read;
        self.operator_at = other.operator_at;
    }

    /// Takes from `other` how fresh it is in what both know of the operator's rows: what
    /// `other` lacks was set later than what it knows.
    pub fn confirm_operator(&mut self, other: &Self) {
        if self.is_behind_operator(other) {
            return;
        }
        self.operator_read = self.operator_read.max(other.operator_read);
        self.operator_at = self.operator_at.max(other.operator_at);
        self.proved = self.proved.max(other.proved);
    }

    /// Takes from `other` how fresh it is in what both know alike; whether that made
    /// the registry fresher. Versions alone don't tell that: what each noticed by itself may
    /// bear the same one.
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

/// Whole milliseconds, short enough for a message.
pub(crate) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX - 1)
}
