//! The teams of one desired state, found by their keys.

use std::collections::HashMap;
use std::rc::Rc;

use crate::key::KeyDigest;
use crate::spec::TeamSpec;

/// Finds the team of a key.
#[derive(Debug, Default)]
pub struct TeamIndex {
    by_key: HashMap<KeyDigest, Rc<TeamSpec>>,
    teams: Vec<Rc<TeamSpec>>,
    shared: Vec<KeyDigest>,
}

impl TeamIndex {
    /// Indexes `teams`. A key that two teams hold names neither of them: whose request it
    /// is can't be told.
    pub fn new(teams: &[TeamSpec]) -> Self {
        let mut index = Self::default();
        for team in teams {
            let team = Rc::new(team.clone());
            for key in &team.keys {
                index.add(*key, &team);
            }
            index.teams.push(team);
        }
        for key in &index.shared {
            index.by_key.remove(key);
        }
        index
    }

    /// Whether no team is set: requests need no key then.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// The team that holds `key`.
    pub fn find(&self, key: KeyDigest) -> Option<&Rc<TeamSpec>> {
        self.by_key.get(&key)
    }

    /// All teams.
    pub fn teams(&self) -> &[Rc<TeamSpec>] {
        &self.teams
    }

    /// Keys that more than one team holds.
    pub fn shared_keys(&self) -> &[KeyDigest] {
        &self.shared
    }

    fn add(&mut self, key: KeyDigest, team: &Rc<TeamSpec>) {
        let known = self.by_key.insert(key, Rc::clone(team));
        if known.is_some_and(|known| known.name != team.name) {
            self.shared.push(key);
        }
    }
}
