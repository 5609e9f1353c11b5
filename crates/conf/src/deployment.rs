//! The deployment described by a validated set of files.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use place::desired::{RequestKind, RequestLimits};
use team::spec::TeamSpec;

use crate::error::{Error, Result};
use crate::overlay::MergedSections;
use crate::section::CheckedSection;
use crate::value::{parse_weight, split_list};

base::common! {
    /// Service level objectives of a service.
    pub struct Objective {
        /// Longest latency of a good answer.
        pub latency: Duration,
        /// Share of answers that must meet the latency objective.
        pub latency_goal: f64,
        /// Share of requests that must be answered successfully.
        pub availability_goal: f64,
        /// Share of the capacity that should stay free.
        pub headroom_goal: f64,
    }

    /// Properties common to all backend servers of a service.
    pub struct ServerProfile {
        /// Expected processing time of a request.
        pub service_time: Duration,
        /// How long a server stays cold after its start.
        pub warm_up: Duration,
        /// Requests per second that a cold server can handle.
        pub cold_rate: f64,
        /// Most connections that a server accepts.
        pub connections: u32,
        /// Path of the health check.
        pub health_path: String,
    }

    /// A service that callers request.
    pub struct Service {
        /// The service's name.
        pub id: ServiceId,
        /// Whether its requests may be repeated, and whether their bodies are large.
        pub kind: RequestKind,
        /// Host name in requests for the service.
        pub host: String,
        /// Longest time for a request.
        pub deadline: Duration,
        /// Priority among the services; 0 is the most urgent.
        pub priority: u32,
        /// Most servers that one request may be sent to.
        pub max_attempts: u32,
        /// Whether servers are faster for objects that they handled recently.
        pub sticky: bool,
        /// Regions that may serve it; empty allows all.
        pub regions: Vec<RegionId>,
        /// Whether requests are accepted without a key if the deployment has teams.
        pub is_public: bool,
        /// Pools that share its requests, with weights; at least one.
        pub split: Vec<(String, u32)>,
        /// Properties of its servers.
        pub servers: ServerProfile,
        /// Its service level objectives.
        pub objective: Objective,
    }

    /// A region and its failure domains.
    pub struct Region {
        /// The region's name.
        pub id: RegionId,
        /// Its failure domains.
        pub domains: Vec<FailureDomainId>,
        /// Address blocks of the region's clients, in CIDR notation.
        pub client_blocks: Vec<String>,
    }

    /// Planned backend servers in a failure domain for one part of a service.
    pub struct Pool {
        /// The part: the name of a service, or a part of its split.
        pub part: String,
        /// The failure domain.
        pub domain: FailureDomainId,
        /// Addresses of the servers.
        pub servers: Vec<BackendServerId>,
        /// Requests that one server runs concurrently.
        pub slots: u32,
    }

    /// A complete deployment.
    pub struct Deployment {
        /// The deployment's name.
        pub name: String,
        /// Limits for requests of callers.
        pub limits: RequestLimits,
        /// Regions by name.
        pub regions: BTreeMap<RegionId, Region>,
        /// Services by name.
        pub services: BTreeMap<ServiceId, Service>,
        /// Teams by name. If empty, requests need no key.
        pub teams: BTreeMap<String, TeamSpec>,
        /// Pools, ordered by part and failure domain.
        pub pools: Vec<Pool>,
    }
}

impl Deployment {
    /// Builds the deployment from merged sections and checks that they are consistent.
    pub(crate) fn new(sections: &MergedSections) -> Result<Self> {
        for section in sections.values() {
            section.require_keys(section.file())?;
        }
        let deployment_section = sections.get("deployment").ok_or_else(|| {
            Error::MissingSection(crate::BASE_FILE.to_owned(), "deployment".to_owned())
        })?;
        let mut deployment = Self {
            name: deployment_section.text("name")?.to_owned(),
            limits: parse_limits(deployment_section)?,
            regions: BTreeMap::new(),
            services: BTreeMap::new(),
            teams: BTreeMap::new(),
            pools: Vec::new(),
        };
        // The order matters: services refer to regions, teams to both, pools to services and
        // failure domains.
        let of_kind = |kind: &'static str| sections.values().filter(move |s| s.kind() == kind);
        for section in of_kind("region") {
            let region = parse_region(section)?;
            deployment.regions.insert(region.id.clone(), region);
        }
        for section in of_kind("service") {
            deployment.add_service(section)?;
        }
        for section in of_kind("team") {
            deployment.add_team(section)?;
        }
        for section in of_kind("pool") {
            deployment.add_pool(section)?;
        }
        deployment.check_uniqueness()?;
        deployment.check_keys()?;
        Ok(deployment)
    }

    fn add_service(&mut self, section: &CheckedSection) -> Result<()> {
        let service = parse_service(section)?;
        for region in &service.regions {
            if !self.regions.contains_key(region) {
                return Err(undefined_name_error(section, "region", region.as_str()));
            }
        }
        if service.servers.service_time > service.deadline {
            return Err(Error::Inconsistent(format!(
                "{}: [{}] has a service_time longer than its deadline; all requests would be refused",
                section.file(),
                section.header()
            )));
        }
        self.services.insert(service.id.clone(), service);
        Ok(())
    }

    fn add_pool(&mut self, section: &CheckedSection) -> Result<()> {
        let part = section.names()[0].clone();
        let domain = FailureDomainId::new(&section.names()[1]);
        if self.service_of(&part).is_none() {
            return Err(undefined_name_error(section, "service", &part));
        }
        if self.region_of(&domain).is_none() {
            return Err(undefined_name_error(
                section,
                "failure domain",
                domain.as_str(),
            ));
        }
        let servers = section.list("servers")?;
        self.pools.push(Pool {
            part,
            domain,
            servers: servers.into_iter().map(BackendServerId::new).collect(),
            slots: section.count("slots")?,
        });
        Ok(())
    }

    /// Checks that no failure domain is in two regions and no server in two pools.
    fn check_uniqueness(&self) -> Result<()> {
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
        for server in self.pools.iter().flat_map(|pool| &pool.servers) {
            if !servers.insert(server) {
                return Err(Error::Inconsistent(format!(
                    "backend server '{server}' is listed in two pools, or twice in one; keep one"
                )));
            }
        }
        Ok(())
    }

    /// The region that contains a failure domain.
    pub fn region_of(&self, domain: &FailureDomainId) -> Option<&Region> {
        let mut regions = self.regions.values();
        regions.find(|region| region.domains.contains(domain))
    }

    /// The service that has `part` in its split.
    pub fn service_of(&self, part: &str) -> Option<&Service> {
        let mut services = self.services.values();
        services.find(|service| service.split.iter().any(|(name, _)| name == part))
    }

    /// Total slots planned for a service in a region.
    pub fn capacity(&self, region: &str, service: &str) -> u32 {
        let mut slots = 0;
        for pool in &self.pools {
            let here = self
                .region_of(&pool.domain)
                .is_some_and(|found| found.id.as_str() == region);
            let of_service = self
                .service_of(&pool.part)
                .is_some_and(|found| found.id.as_str() == service);
            if here && of_service {
                let servers = u32::try_from(pool.servers.len()).unwrap_or(u32::MAX);
                slots += pool.slots * servers;
            }
        }
        slots
    }
}

fn parse_limits(deployment_section: &CheckedSection) -> Result<RequestLimits> {
    let bytes = |key| -> Result<usize> {
        Ok(usize::try_from(deployment_section.size(key)?).unwrap_or(usize::MAX))
    };
    Ok(RequestLimits {
        header_bytes: bytes("max_header")?,
        body_bytes: bytes("max_body")?,
        header_timeout: deployment_section.duration("header_timeout")?,
        idle_timeout: deployment_section.duration("idle_timeout")?,
    })
}

fn parse_region(section: &CheckedSection) -> Result<Region> {
    let domains = section.list("domains")?;
    let blocks = section.list("client_blocks")?;
    Ok(Region {
        id: RegionId::new(&section.names()[0]),
        domains: domains.into_iter().map(FailureDomainId::new).collect(),
        client_blocks: blocks.into_iter().map(str::to_owned).collect(),
    })
}

fn parse_service(section: &CheckedSection) -> Result<Service> {
    let id = ServiceId::new(&section.names()[0]);
    let kind = match section.text("repeat")? {
        "idempotent" => RequestKind::Idempotent,
        "upload" => RequestKind::Upload,
        "download" => RequestKind::Download,
        _ => RequestKind::AtMostOnce,
    };
    let mut split: Vec<(String, u32)> = split_list(section.text("split")?)
        .filter_map(parse_weight)
        .map(|(name, weight)| (name.to_owned(), weight))
        .collect();
    if split.is_empty() {
        split.push((id.to_string(), 1));
    }
    Ok(Service {
        id,
        kind,
        host: section.text("host")?.to_owned(),
        deadline: section.duration("deadline")?,
        priority: section.count("priority")?,
        max_attempts: section.count("max_attempts")?,
        sticky: section.text("sticky")? == "yes",
        regions: section
            .list("regions")?
            .into_iter()
            .map(RegionId::new)
            .collect(),
        is_public: section.text("public")? == "yes",
        split,
        servers: ServerProfile {
            service_time: section.duration("service_time")?,
            warm_up: section.duration("warm_up")?,
            cold_rate: section.number("cold_rate")?,
            connections: section.count("connections")?,
            health_path: section.text("health_path")?.to_owned(),
        },
        objective: Objective {
            latency: section.duration("latency_objective")?,
            latency_goal: section.share("latency_goal")?,
            availability_goal: section.share("availability_goal")?,
            headroom_goal: section.share("headroom_goal")?,
        },
    })
}

pub(crate) fn undefined_name_error(section: &CheckedSection, what: &str, name: &str) -> Error {
    Error::Dangling(
        section.file().to_owned(),
        section.header().to_owned(),
        what.to_owned(),
        name.to_owned(),
    )
}
