//! Finds the route of a request by its host and the longest matching path prefix.

use std::collections::HashMap;
use std::rc::Rc;

use crate::desired::{DesiredState, RouteSpec};

/// Host of routes for all hosts without routes of their own.
pub const ANY_HOST: &str = "*";

/// The routes of a desired state, indexed by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    hosts: HashMap<String, Vec<Rc<RouteSpec>>>,
}

impl RouteTable {
    /// Indexes the routes of `desired`.
    pub fn new(desired: &DesiredState) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<RouteSpec>>> = HashMap::new();
        for route in &desired.routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.push(Rc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version: desired.version,
            hosts,
        }
    }

    /// Returns the version of the desired state that the table was built from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of `path` on `host`. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteSpec>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))
            .or_else(|| self.hosts.get(ANY_HOST))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns all routes in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<RouteSpec>> {
        self.hosts.values().flatten()
    }
}
