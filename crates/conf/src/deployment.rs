//! The deployment that a checked set of files describes.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::error::{Error, Result};
use crate::overlay::MergedSections;
use crate::section::CheckedSection;

base::common! {
    /// Whether a request may be run twice.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Repeat {
        /// Running it again changes nothing.
        Idempotent,
        /// It must run at most once.
        AtMostOnce,
    }

    /// What good service means for one service.
    pub struct Objective {
        /// Time within which an answer is good.
        pub latency: Duration,
        /// Share of answers that must be good.
        pub latency_goal: f64,
        /// Share of requests that must be answered.
        pub availability_goal: f64,
        /// Share of the capacity that should stay free.
        pub headroom_goal: f64,
    }

    /// A service that callers ask for.
    pub struct Service {
        /// Its name.
        pub id: ServiceId,
        /// Whether requests may be run twice.
        pub repeat: Repeat,
        /// Longest time of a request.
        pub deadline: Duration,
        /// Expected time on a backend server until measured.
        pub service_time: Duration,
        /// Largest request body in bytes.
        pub max_body: u64,
        /// Most requests that wait at one instance.
        pub queue: usize,
        /// Its objectives.
        pub objective: Objective,
    }

    /// A region and its failure domains.
    pub struct Region {
        /// Its name.
        pub id: RegionId,
        /// Its failure domains.
        pub domains: Vec<FailureDomainId>,
        /// Seats that share its capacity.
        pub seats: u16,
        /// Requests that may use its link at once.
        pub link_limit: u32,
        /// Client blocks in CIDR form.
        pub client_blocks: Vec<String>,
    }

    /// Backend servers of one service in one failure domain.
    pub struct Pool {
        /// The service.
        pub service: ServiceId,
        /// The failure domain.
        pub domain: FailureDomainId,
        /// The servers' addresses.
        pub servers: Vec<BackendServerId>,
        /// Slots of one server.
        pub slots: u16,
        /// Connections that one server takes.
        pub connections: u32,
        /// Time over which a new server is brought to its full share.
        pub warm_up: Duration,
    }

    /// Something that is to get no new work.
    #[derive(Eq, PartialOrd, Ord)]
    #[serde(rename_all = "kebab-case")]
    pub enum DrainTarget {
        /// One backend server.
        Server(BackendServerId),
        /// One instance.
        Instance(InstanceId),
        /// A failure domain.
        Domain(FailureDomainId),
        /// A region.
        Region(RegionId),
    }

    /// The whole deployment.
    pub struct Deployment {
        /// Its name.
        pub name: String,
        /// Most that a region's share of foreign or leaving traffic may rise per window.
        pub shift_cap: f64,
        /// The shift cap's window.
        pub shift_window: Duration,
        /// How long callers keep a look-up's answer.
        pub lookup_ttl: Duration,
        /// Length of a seat's lease.
        pub lease: Duration,
        /// Most retries as a share of first tries.
        pub retry_share: f64,
        /// Regions by name.
        pub regions: BTreeMap<RegionId, Region>,
        /// Services by name.
        pub services: BTreeMap<ServiceId, Service>,
        /// Pools, by service and domain.
        pub pools: Vec<Pool>,
        /// What is being drained.
        pub drains: BTreeSet<DrainTarget>,
    }
}

impl DrainTarget {
    /// Makes a target from the words that `lhctl drain` and `[drain]` use.
    pub fn parse(kind: &str, name: &str) -> Option<Self> {
        match kind {
            "server" => Some(Self::Server(BackendServerId::new(name))),
            "instance" => Some(Self::Instance(InstanceId::new(name))),
            "domain" => Some(Self::Domain(FailureDomainId::new(name))),
            "region" => Some(Self::Region(RegionId::new(name))),
            _ => None,
        }
    }
}

impl Deployment {
    /// Builds the deployment from merged sections and checks that they fit together.
    pub(crate) fn new(sections: &MergedSections) -> Result<Self> {
        for section in sections.values() {
            section.require_keys(section.file())?;
        }
        let head = sections.get("deployment").ok_or_else(|| {
            Error::MissingSection(crate::BASE_FILE.to_owned(), "deployment".to_owned())
        })?;
        let mut deployment = Self {
            name: head.text("name")?.to_owned(),
            shift_cap: head.share("shift_cap")?,
            shift_window: head.duration("shift_window")?,
            lookup_ttl: head.duration("lookup_ttl")?,
            lease: head.duration("lease")?,
            retry_share: head.share("retry_share")?,
            regions: BTreeMap::new(),
            services: BTreeMap::new(),
            pools: Vec::new(),
            drains: BTreeSet::new(),
        };
        // Pools refer to regions and services, drains to all of them.
        let of_kind = |kind: &'static str| sections.values().filter(move |s| s.kind() == kind);
        for section in of_kind("region") {
            deployment.add_region(section)?;
        }
        for section in of_kind("service") {
            deployment.add_service(section)?;
        }
        for section in of_kind("pool") {
            deployment.add_pool(section)?;
        }
        for section in of_kind("drain") {
            deployment.add_drain(section)?;
        }
        deployment.check_whole()?;
        Ok(deployment)
    }

    fn add_region(&mut self, section: &CheckedSection) -> Result<()> {
        let id = RegionId::new(&section.names()[0]);
        let region = Region {
            id: id.clone(),
            domains: section
                .list("domains")?
                .into_iter()
                .map(FailureDomainId::new)
                .collect(),
            seats: section.count("seats")?,
            link_limit: section.count("link_limit")?,
            client_blocks: section
                .list("client_blocks")?
                .into_iter()
                .map(str::to_owned)
                .collect(),
        };
        if u32::from(region.seats) > region.link_limit {
            return Err(Error::Inconsistent(format!(
                "{}: [{}] has more seats than link_limit; a seat would get no part of the link",
                section.file(),
                section.header()
            )));
        }
        self.regions.insert(id, region);
        Ok(())
    }

    fn add_service(&mut self, section: &CheckedSection) -> Result<()> {
        let id = ServiceId::new(&section.names()[0]);
        let repeat = match section.text("repeat")? {
            "idempotent" => Repeat::Idempotent,
            _ => Repeat::AtMostOnce,
        };
        let service = Service {
            id: id.clone(),
            repeat,
            deadline: section.duration("deadline")?,
            service_time: section.duration("service_time")?,
            max_body: section.size("max_body")?,
            queue: section.count("queue")?,
            objective: Objective {
                latency: section.duration("latency_objective")?,
                latency_goal: section.share("latency_goal")?,
                availability_goal: section.share("availability_goal")?,
                headroom_goal: section.share("headroom_goal")?,
            },
        };
        if service.service_time > service.deadline {
            return Err(Error::Inconsistent(format!(
                "{}: [{}] expects a service_time beyond its deadline; every request would be refused",
                section.file(),
                section.header()
            )));
        }
        self.services.insert(id, service);
        Ok(())
    }

    fn add_pool(&mut self, section: &CheckedSection) -> Result<()> {
        let service = ServiceId::new(&section.names()[0]);
        let domain = FailureDomainId::new(&section.names()[1]);
        if !self.services.contains_key(&service) {
            return Err(dangling(section, "service", service.as_str()));
        }
        if self.region_of(&domain).is_none() {
            return Err(dangling(section, "failure domain", domain.as_str()));
        }
        self.pools.push(Pool {
            service,
            domain,
            servers: section
                .list("servers")?
                .into_iter()
                .map(BackendServerId::new)
                .collect(),
            slots: section.count("slots")?,
            connections: section.count("connections")?,
            warm_up: section.duration("warm_up")?,
        });
        Ok(())
    }

    fn add_drain(&mut self, section: &CheckedSection) -> Result<()> {
        let [kind, name] = section.names() else {
            return Ok(());
        };
        let target = DrainTarget::parse(kind, name).ok_or_else(|| {
            Error::SectionName(
                section.file().to_owned(),
                section.header().to_owned(),
                "drain server|instance|domain|region NAME".to_owned(),
            )
        })?;
        if !self.knows(&target) {
            return Err(dangling(section, kind, name));
        }
        self.drains.insert(target);
        Ok(())
    }

    fn knows(&self, target: &DrainTarget) -> bool {
        match target {
            DrainTarget::Server(id) => self.pools.iter().any(|pool| pool.servers.contains(id)),
            DrainTarget::Domain(id) => self.region_of(id).is_some(),
            DrainTarget::Region(id) => self.regions.contains_key(id),
            DrainTarget::Instance(_) => true,
        }
    }

    fn check_whole(&self) -> Result<()> {
        let mut domains = BTreeMap::new();
        for region in self.regions.values() {
            for domain in &region.domains {
                if let Some(other) = domains.insert(domain, &region.id) {
                    return Err(Error::Inconsistent(format!(
                        "failure domain '{domain}' is in the regions '{other}' and '{}'; keep one",
                        region.id
                    )));
                }
            }
        }
        let mut servers = BTreeSet::new();
        for pool in &self.pools {
            for server in &pool.servers {
                if !servers.insert(server) {
                    return Err(Error::Inconsistent(format!(
                        "backend server {server} stands in two pools, or twice in [pool {} {}]",
                        pool.service, pool.domain
                    )));
                }
            }
        }
        Ok(())
    }

    /// The region that a failure domain belongs to.
    pub fn region_of(&self, domain: &FailureDomainId) -> Option<&Region> {
        self.regions
            .values()
            .find(|region| region.domains.contains(domain))
    }

    /// The pools of a region.
    pub fn pools_in<'a>(&'a self, region: &'a Region) -> impl Iterator<Item = &'a Pool> {
        self.pools
            .iter()
            .filter(|pool| region.domains.contains(&pool.domain))
    }

    /// Whether `server` of `pool` is to get no new work.
    pub fn is_drained(&self, pool: &Pool, server: &BackendServerId) -> bool {
        self.drains.iter().any(|target| match target {
            DrainTarget::Server(id) => id == server,
            DrainTarget::Domain(id) => *id == pool.domain,
            DrainTarget::Region(id) => self
                .region_of(&pool.domain)
                .is_some_and(|region| region.id == *id),
            DrainTarget::Instance(_) => false,
        })
    }

    /// Slots of a service in a region, drained servers left out.
    pub fn capacity(&self, region: &str, service: &str) -> u32 {
        let Some(region) = self.regions.get(region) else {
            return 0;
        };
        let mut slots = 0;
        for pool in self.pools_in(region) {
            if pool.service.as_str() != service {
                continue;
            }
            let live = pool.servers.iter().filter(|id| !self.is_drained(pool, id));
            slots += u32::from(pool.slots) * u32::try_from(live.count()).unwrap_or(u32::MAX);
        }
        slots
    }

    /// Why `self` can't take over from `before`, if it can't.
    ///
    /// # Errors
    /// [`Error::Inconsistent`] where seats of a live region would be divided anew.
    pub fn check_successor(&self, before: &Self) -> Result<()> {
        for (id, region) in &self.regions {
            let Some(old) = before.regions.get(id) else {
                continue;
            };
            if old.seats == region.seats {
                continue;
            }
            return Err(Error::Inconsistent(format!(
                "region '{id}' can't go from {} to {} seats while it is in use: instances that \
                 know different counts would divide the same slots twice; keep the count, or \
                 remove the region first",
                old.seats, region.seats
            )));
        }
        Ok(())
    }
}

fn dangling(section: &CheckedSection, what: &str, name: &str) -> Error {
    Error::Dangling(
        section.file().to_owned(),
        section.header().to_owned(),
        what.to_owned(),
        name.to_owned(),
    )
}
