//! Decides whether a request is admitted, and for which team.
//!
//! An entry accepts or denies a key only while its copy of the operator's settings is recent:
//! an entry that is cut off from changes would continue to accept revoked keys, and would deny
//! keys that have been added meanwhile.

use std::rc::Rc;
use std::time::Duration;

use crate::index::TeamIndex;
use crate::key::KeyDigest;
use crate::spec::TeamSpec;

/// Subtracted from each bound to allow for clock drift between machines.
const CLOCK_MARGIN: Duration = Duration::from_millis(150);

/// The key that a request presents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyClaim {
    /// No key.
    None,
    /// A value that can't be parsed as one key.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

/// Maximum age of the settings on which an entry may act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccessBounds {
    /// Time after which a revoked key must no longer be accepted; `None` if entries that are
    /// cut off keep the settings they have.
    pub revoke: Option<Duration>,
    /// Time after which an added key must be known.
    pub learn: Duration,
}

/// The result of the access check.
#[derive(Debug, Clone, PartialEq)]
pub enum Access {
    /// The request needs no key.
    Open,
    /// The request belongs to the team.
    Team(Rc<TeamSpec>),
    /// No team has its key, or it has no key.
    Denied,
    /// No team had its key in settings that are too old to deny it.
    Unsure,
    /// A team had its key in settings that are too old to accept it.
    Stale,
}

impl AccessBounds {
    /// Whether keys may be accepted on settings of this age; `None` is an unknown age.
    pub fn may_serve(&self, age: Option<Duration>) -> bool {
        let Some(revoke) = self.revoke else {
            return true;
        };
        age.is_some_and(|age| age + CLOCK_MARGIN < revoke)
    }

    /// Decides whether a request with `claim` is admitted, on a public route or not, by
    /// settings that are `age` old.
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
