//! Converts a deployment to the desired state. Each service gets one route, selected by the
//! first segment of a request's path.

use place::desired::{DesiredState, RouteSpec, ServiceSpec, SplitPart};

use crate::deployment::{Deployment, Service};

impl Deployment {
    /// The desired state for this deployment, with the given version.
    pub fn desired_state(&self, version: u64) -> DesiredState {
        let mut services = Vec::new();
        for service in self.services.values() {
            for (part, _) in &service.split {
                services.push(server_spec(part, service));
            }
        }
        DesiredState {
            version,
            routes: self.services.values().map(route_spec).collect(),
            services,
            teams: self.teams.values().cloned().collect(),
            limits: self.limits,
        }
    }
}

fn route_spec(service: &Service) -> RouteSpec {
    let parts = service.split.iter().map(|(part, weight)| SplitPart {
        service: part.clone(),
        weight: *weight,
    });
    let regions = service.regions.iter().map(ToString::to_string);
    RouteSpec {
        name: service.id.to_string(),
        host: service.host.clone(),
        prefix: format!("/{}/", service.id),
        kind: service.kind,
        timeout: Some(service.deadline),
        objective: service.objective.latency,
        priority: service.priority,
        parts: parts.collect(),
        max_attempts: service.max_attempts,
        sticky: service.sticky,
        home_regions: regions.collect(),
        is_public: service.is_public,
    }
}

fn server_spec(part: &str, service: &Service) -> ServiceSpec {
    ServiceSpec {
        name: part.to_owned(),
        health_path: service.servers.health_path.clone(),
        max_connections: service.servers.connections,
        warmup: service.servers.warm_up,
        cold_rate: service.servers.cold_rate,
    }
}
