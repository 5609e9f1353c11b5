//! Plans which connections an entry opens ahead of requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::catalog::{ServerCatalog, ServerCondition, ServerHandle};
use crate::connections::pause::{OpenFailures, UsedShare};
use crate::connections::usage::{RequestRate, ServerUsage, ServiceUsage};
use crate::placing::timing::millis;
use crate::server::ServerRecord;

/// A server is far if a round trip to it takes at least this share of the objective.
const MIN_TRIP_SHARE: f64 = 0.1;
/// Requests that a server must be expected to get while an idle connection stays open.
const MIN_EXPECTED_USES: f64 = 1.0;
/// The same for requests that arrive while another one uses the server's only connection.
const MIN_EXPECTED_OVERLAPS: f64 = 0.5;
/// The servers of a service are not examined if the requests expected while an idle connection
/// stays open are fewer than this part of them. In a large fleet examining all of them would take
/// more processor time than the connections save.
const MIN_USED_PART: f64 = 0.25;
/// Time for which the use of a server is remembered.
const MAX_USAGE_AGE: Duration = Duration::from_secs(60);

/// A connection to open.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedConnection {
    /// The server.
    pub handle: ServerHandle,
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// How long the server keeps the connection open without a request.
    pub keep_alive: Duration,
}

/// Plans connections from the requests that were sent recently.
#[derive(Debug, Default)]
pub struct ConnectionPlanner {
    services: HashMap<String, ServiceUsage>,
    servers: HashMap<ServerHandle, ServerUsage>,
    failures: HashMap<String, OpenFailures>,
    used_share: UsedShare,
}

impl ConnectionPlanner {
    /// Records that a request with `objective` is sent to the server of `record`.
    pub fn on_request(
        &mut self,
        now: Instant,
        (handle, record): (ServerHandle, &ServerRecord),
        objective: Duration,
    ) {
        let service = &record.entry.service;
        if !self.services.contains_key(service) {
            let usage = ServiceUsage::new(now, objective);
            self.services.insert(service.clone(), usage);
        }
        let Some(usage) = self.services.get_mut(service) else {
            return;
        };
        usage.objective = usage.objective.min(millis(objective));
        if !is_far(record, usage.objective) {
            return;
        }
        usage.rate.add(now);
        let server = self.servers.entry(handle).or_insert(ServerUsage {
            rate: RequestRate::new(now),
        });
        server.rate.add(now);
    }

    /// Records for how long the servers of `service` keep idle connections open.
    pub fn on_keep_alive(&mut self, service: &str, keep_alive: Duration) {
        if let Some(usage) = self.services.get_mut(service) {
            usage.keep_alive = Some(keep_alive);
        }
    }

    /// Records whether a connection to the server `handle` of `domain` could be opened ahead. A
    /// server that can't be reached gets none until requests are sent to it.
    pub fn on_opened(&mut self, now: Instant, handle: ServerHandle, domain: &str, opened: bool) {
        if opened {
            self.failures.remove(domain);
            return;
        }
        let rate = RequestRate::new(now);
        self.servers.insert(handle, ServerUsage { rate });
        match self.failures.get_mut(domain) {
            Some(failures) => failures.add(now),
            None => {
                self.failures
                    .insert(domain.to_owned(), OpenFailures::new(now));
            }
        }
    }

    /// Records whether a request used a connection that was opened ahead.
    pub fn on_closed(&mut self, now: Instant, used: bool) {
        self.used_share.add(now, used);
    }

    /// Returns the connections to open now, at most `room`. `idle_count` returns the number of
    /// idle connections to a server, and `may_use` whether it may get requests.
    pub fn plan(
        &mut self,
        now: Instant,
        catalog: &ServerCatalog,
        room: usize,
        idle_count: impl Fn(&str) -> usize,
        may_use: impl Fn(&ServerRecord) -> bool,
    ) -> Vec<PlannedConnection> {
        self.servers
            .retain(|_, usage| now.saturating_duration_since(usage.rate.latest()) < MAX_USAGE_AGE);
        let mut planned = Vec::new();
        if self.used_share.is_paused(now) {
            return planned;
        }
        for (service, usage) in &self.services {
            let Some(keep_alive) = usage.keep_alive else {
                continue;
            };
            let seconds = keep_alive.as_secs_f64();
            let expected_uses = usage.rate.per_second(now) * seconds;
            if expected_uses < MIN_USED_PART * catalog.server_count(service) as f64 {
                continue;
            }
            let is_usable = |record: &ServerRecord| {
                is_far(record, usage.objective)
                    && catalog.condition(now, record) == ServerCondition::Open
                    && may_use(record)
            };
            let servers = catalog.open_servers(service);
            let servers: Vec<_> = servers.filter(|(_, record)| is_usable(record)).collect();
            let usual_rate = usage.rate.per_second(now) / servers.len().max(1) as f64;
            if usual_rate * seconds < MIN_EXPECTED_USES {
                // Also keeps the number of connections to a server, over all entries, below that
                // of the requests that it gets while it keeps them open.
                continue;
            }
            for (handle, record) in servers {
                if planned.len() >= room {
                    return planned;
                }
                let domain = &record.entry.domain;
                let failures = self.failures.get(domain);
                if failures.is_some_and(|failures| failures.is_paused(now))
                    || idle_count(&record.entry.id) > 0
                {
                    continue;
                }
                let known = self.servers.get(&handle);
                let rate = known.map_or(usual_rate, |usage| usage.rate.per_second(now));
                if !is_wanted(rate, seconds, usage.objective, record) {
                    continue;
                }
                self.servers.entry(handle).or_insert(ServerUsage {
                    rate: RequestRate::with_rate(now, rate),
                });
                planned.push(PlannedConnection {
                    handle,
                    id: record.entry.id.clone(),
                    address: record.entry.address,
                    keep_alive,
                });
            }
        }
        planned
    }
}

/// Whether opening a connection to the server of `record` takes a noticeable part of
/// `objective`, in milliseconds.
fn is_far(record: &ServerRecord, objective: f64) -> bool {
    record.round_trip >= MIN_TRIP_SHARE * objective
}

/// Whether a server without an idle connection is expected to need one within `seconds`, if it
/// gets `rate` requests per second. A request is assumed to use a connection for `objective`
/// milliseconds.
fn is_wanted(rate: f64, seconds: f64, objective: f64, record: &ServerRecord) -> bool {
    if record.in_flight == 0 {
        return rate * seconds >= MIN_EXPECTED_USES;
    }
    let busy_share = rate * objective / 1000.0;
    rate * seconds * busy_share >= MIN_EXPECTED_OVERLAPS * f64::from(record.in_flight)
}
