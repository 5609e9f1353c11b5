//! Whether a request may enter, and as whose.
//!
//! An entry may act on a key only while it can show that the key held a short time ago: an
//! entry that the operator's changes don't reach would go on serving keys that were taken
//! away. What it doesn't know may in turn have been added meanwhile.

use std::rc::Rc;
use std::time::Duration;

use crate::index::TeamIndex;
use crate::key::KeyDigest;
use crate::spec::TeamSpec;

/// Kept off each bound, for clocks that don't run quite alike.
const CLOCK_MARGIN: Duration = Duration::from_millis(150);

/// What a request says of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyClaim {
    /// Nothing.
    None,
    /// What can't be read as one key.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

/// How old the knowledge may be on which an entry acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccessBounds {
    /// A key that was taken away must not be served this long after; `None` where entries
    /// that hear nothing go on with what they know.
    pub revoke: Option<Duration>,
    /// A key that was added must be known this long after.
    pub learn: Duration,
}

/// Whether a request may enter.
#[derive(Debug, Clone, PartialEq)]
pub enum Access {
    /// It needs no key.
    Open,
    /// It is the team's.
    Team(Rc<TeamSpec>),
    /// Nobody holds its key, or it has none.
    Denied,
    /// Nobody held its key when this entry heard last, which is too long ago to deny it.
    Unsure,
    /// Its key held when this entry heard last, which is too long ago to act on it.
    Stale,
}

impl AccessBounds {
    /// Whether an entry whose knowledge is of `age` ago may serve keys; `None` is never.
    pub fn may_serve(&self, age: Option<Duration>) -> bool {
        let Some(revoke) = self.revoke else {
            return true;
        };
        age.is_some_and(|age| age + CLOCK_MARGIN < revoke)
    }

    /// Whether a request with `claim` may enter, on a route that is public or not, where
    /// the teams are known as of `age` ago.
    pub fn decide(
        &self,
        index: &TeamIndex,
        claim: KeyClaim,
        is_public: bool,
        age: Option<Duration>,
    ) -> Access {
        if index.is_empty() {
            return Access::Open;
        }
        let team = match claim {
            KeyClaim::Key(key) => index.find(key),
            KeyClaim::None | KeyClaim::Malformed => None,
        };
        match team {
            Some(team) if self.may_serve(age) => Access::Team(Rc::clone(team)),
            _ if is_public => Access::Open,
            Some(_) => Access::Stale,
            None if claim == KeyClaim::Malformed => Access::Denied,
            None if age.is_some_and(|age| age + CLOCK_MARGIN < self.learn) => Access::Denied,
            None => Access::Unsure,
        }
    }
}
