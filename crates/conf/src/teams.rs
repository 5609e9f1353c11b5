//! Teams of a deployment: `[team NAME]`.

use std::collections::BTreeMap;

use team::key::KeyDigest;
use team::spec::{TeamQuota, TeamSpec};

use crate::deployment::{Deployment, undefined_name_error};
use crate::error::{Error, Result};
use crate::section::CheckedSection;

impl Deployment {
    pub(crate) fn add_team(&mut self, section: &CheckedSection) -> Result<()> {
        let team = team(section)?;
        for region in &team.home_regions {
            if !self.regions.keys().any(|known| known.as_str() == region) {
                return Err(undefined_name_error(section, "region", region));
            }
        }
        self.check_shared_regions(section, &team)?;
        self.teams.insert(team.name.clone(), team);
        Ok(())
    }

    /// A team and a service that no region may serve together would be refused for good.
    fn check_shared_regions(&self, section: &CheckedSection, team: &TeamSpec) -> Result<()> {
        for service in self.services.values() {
            let homes = service.regions.iter().map(|region| region.as_str());
            let mut shared_regions =
                homes.filter(|home| team.home_regions.iter().any(|own| own == home));
            let is_bound = !service.regions.is_empty() && !team.home_regions.is_empty();
            if is_bound && shared_regions.next().is_none() {
                return Err(Error::Inconsistent(format!(
                    "{}: [{}] and [service {}] have no region in common; their requests could run nowhere",
                    section.file(),
                    section.header(),
                    service.id
                )));
            }
        }
        Ok(())
    }

    /// Whose a key is must be certain.
    pub(crate) fn check_keys(&self) -> Result<()> {
        let mut holders: BTreeMap<KeyDigest, &str> = BTreeMap::new();
        for team in self.teams.values() {
            for key in &team.keys {
                if let Some(other) = holders.insert(*key, &team.name) {
                    return Err(Error::Inconsistent(format!(
                        "the key {key} stands in [team {other}] and [team {}]; keep one",
                        team.name
                    )));
                }
            }
        }
        Ok(())
    }
}

fn team(section: &CheckedSection) -> Result<TeamSpec> {
    let regions = section.list("regions")?;
    let keys = section.list("keys")?.into_iter().map(KeyDigest::parse);
    let priority = section.text("priority")?;
    Ok(TeamSpec {
        name: section.names()[0].clone(),
        // What the kind of the key has checked.
        keys: keys.filter_map(std::result::Result::ok).collect(),
        priority: priority.parse().ok(),
        quota: TeamQuota::new(section.number("rate")?, section.number("burst")?),
        home_regions: regions.into_iter().map(str::to_owned).collect(),
    })
}
