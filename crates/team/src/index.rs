//! Looks up teams by their keys.

use std::collections::HashMap;
use std::rc::Rc;

use crate::key::KeyDigest;
use crate::spec::TeamSpec;

/// The teams of one version of the settings, indexed by key.
#[derive(Debug, Default)]
pub struct TeamIndex {
    by_key: HashMap<KeyDigest, Rc<TeamSpec>>,
    teams: Vec<Rc<TeamSpec>>,
    shared: Vec<KeyDigest>,
}

impl TeamIndex {
    /// Indexes `teams`. A key that belongs to more than one team identifies none of them, since
    /// the owner of a request would be ambiguous.
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

    /// Whether there are no teams; requests then need no key.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns the team that owns `key`.
    pub fn find(&self, key: KeyDigest) -> Option<&Rc<TeamSpec>> {
        self.by_key.get(&key)
    }

    /// Returns all teams.
    pub fn teams(&self) -> &[Rc<TeamSpec>] {
        &self.teams
    }

    /// Returns the keys that more than one team has.
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
