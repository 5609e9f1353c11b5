//! Teams of a deployment, from sections `[team NAME]`.

use std::collections::BTreeMap;

use team::key::KeyDigest;
use team::spec::{TeamQuota, TeamSpec};

use crate::deployment::{Deployment, undefined_name_error};
use crate::error::{Error, Result};
use crate::section::CheckedSection;

impl Deployment {
    pub(crate) fn add_team(&mut self, section: &CheckedSection) -> Result<()> {
        let team = parse_team(section)?;
        for region in &team.home_regions {
            if !self.regions.keys().any(|known| known.as_str() == region) {
                return Err(undefined_name_error(section, "region", region));
            }
        }
        self.check_shared_regions(section, &team)?;
        self.teams.insert(team.name.clone(), team);
        Ok(())
    }

    /// Checks that the team shares a region with each service. Otherwise its requests to the
    /// service would always be refused.
    fn check_shared_regions(&self, section: &CheckedSection, team: &TeamSpec) -> Result<()> {
        for service in self.services.values() {
            let service_regions = service.regions.iter().map(|region| region.as_str());
            let mut shared_regions =
                service_regions.filter(|home| team.home_regions.iter().any(|own| own == home));
            let are_both_restricted = !service.regions.is_empty() && !team.home_regions.is_empty();
            if are_both_restricted && shared_regions.next().is_none() {
                return Err(Error::Inconsistent(format!(
                    "{}: [{}] and [service {}] have no region in common; their requests would always be refused",
                    section.file(),
                    section.header(),
                    service.id
                )));
            }
        }
        Ok(())
    }

    /// Checks that no key belongs to two teams, so that a key identifies its team.
    pub(crate) fn check_keys(&self) -> Result<()> {
        let mut holders: BTreeMap<KeyDigest, &str> = BTreeMap::new();
        for team in self.teams.values() {
            for key in &team.keys {
                if let Some(other) = holders.insert(*key, &team.name) {
                    return Err(Error::Inconsistent(format!(
                        "the key {key} is listed in [team {other}] and [team {}]; keep one",
                        team.name
                    )));
                }
            }
        }
        Ok(())
    }
}

fn parse_team(section: &CheckedSection) -> Result<TeamSpec> {
    let regions = section.list("regions")?;
    let keys = section.list("keys")?.into_iter().map(KeyDigest::parse);
    let priority = section.text("priority")?;
    Ok(TeamSpec {
        name: section.names()[0].clone(),
        // Invalid digests were already rejected when the section was validated.
        keys: keys.filter_map(std::result::Result::ok).collect(),
        priority: priority.parse().ok(),
        quota: TeamQuota::new(section.number("rate")?, section.number("burst")?),
        home_regions: regions.into_iter().map(str::to_owned).collect(),
    })
}
