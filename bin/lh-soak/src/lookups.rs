//! Callers of teams with quotas, which ask by look-up which entries to use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use rand::seq::IndexedRandom as _;
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use crate::callers::{self, CallerConnection, RequestDraft};
use crate::config::region_and_domain;
use crate::fleet;
use crate::history::{RunEvent, RunRecorder};
use crate::world::World;

/// Number of teams that such callers belong to.
pub(crate) const TEAM_COUNT: usize = 12;
/// Requests per second of each team.
const TEAM_RATE: f64 = 15.0;
/// Quota of such a team, as a multiple of its usual rate.
const QUOTA_FACTOR: f64 = 1.6;
/// Number of callers of each team.
const CALLERS_PER_TEAM: usize = 9;
/// Number of entries that a caller asks before it gives up for a while.
const LOOKUP_TRIES: usize = 3;
/// Time within which a look-up must be answered.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which callers use an answer.
const LOOKUP_TTL: Duration = Duration::from_secs(1);
/// Pause after a request that found no entry.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Answer to a look-up.
#[derive(Debug, Deserialize)]
struct LookupAnswer {
    addresses: Vec<SocketAddr>,
}

/// Name, key, rate and burst of the team number `team`.
pub(crate) fn team_quota(team: usize) -> (String, String, f64, f64) {
    let rate = TEAM_RATE * QUOTA_FACTOR;
    (format!("caller-{team}"), key_of(team), rate, rate / 2.0)
}

fn key_of(team: usize) -> String {
    format!("key-of-team-{team}")
}

/// Starts the callers of all teams.
pub(crate) fn start_callers(world: &World) -> Vec<tokio::task::JoinHandle<()>> {
    let entries = world.entries.len();
    let lookups: Vec<SocketAddr> = (0..entries)
        .map(|index| world.entry(index).lookup_address())
        .collect();
    let lookups: Arc<[SocketAddr]> = lookups.into();
    let mut tasks = Vec::new();
    for number in 0..TEAM_COUNT * CALLERS_PER_TEAM {
        let caller = TeamCaller {
            number,
            lookups: Arc::clone(&lookups),
            recorder: world.recorder.clone(),
            named: Vec::new(),
            valid_until: Instant::now(),
        };
        tasks.push(tokio::spawn(caller.run()));
    }
    tasks
}

struct TeamCaller {
    number: usize,
    /// Addresses for look-ups of all entries.
    lookups: Arc<[SocketAddr]>,
    recorder: RunRecorder,
    /// The entries named by the last answer.
    named: Vec<SocketAddr>,
    valid_until: Instant,
}

impl TeamCaller {
    async fn run(mut self) {
        let interval = Duration::from_secs_f64(CALLERS_PER_TEAM as f64 / TEAM_RATE);
        sleep(interval.mul_f64(rand::random())).await;
        let mut used: Option<(SocketAddr, CallerConnection)> = None;
        for count in 0_u64.. {
            sleep(interval).await;
            self.look_up().await;
            used = used.filter(|(address, _)| self.named.contains(address));
            let address = match &used {
                Some((address, _)) => Some(*address),
                None => self.named.choose(&mut rand::rng()).copied(),
            };
            let Some(address) = address else {
                let request = format!("0-team-{}-{count}", self.number);
                self.recorder.record(RunEvent::Unconnected { request });
                sleep(RETRY_DELAY).await;
                continue;
            };
            let (_, connection) =
                used.get_or_insert_with(|| (address, CallerConnection::new(address)));
            let entry = fleet::entry_at(address.ip()).unwrap_or_default();
            let request = format!("{entry}-team-{}-{count}", self.number);
            let key = key_of(self.number % TEAM_COUNT);
            let draft = RequestDraft {
                method: Method::GET,
                path: "/keyed/x",
                id: &request,
                object: self.number as u64 + count,
                key: Some(&key),
            };
            let response = connection.exchange(draft).await;
            let is_lost = !matches!(response, Some((status, _)) if status != 0);
            self.recorder.record(match response {
                Some((status, body)) => callers::answered(request, status, body),
                None => RunEvent::Unconnected { request },
            });
            if is_lost {
                used = None;
            }
        }
    }

    /// Asks for entries if the last answer has expired. Keeps it if there is no new one.
    async fn look_up(&mut self) {
        if Instant::now() < self.valid_until {
            return;
        }
        let (region, domain) = region_and_domain(self.number);
        let path = format!("/resolve?name=board.example&region={region}&zone={domain}");
        for _ in 0..LOOKUP_TRIES {
            let Some(address) = self.lookups.choose(&mut rand::rng()) else {
                return;
            };
            let response = timeout(LOOKUP_TIMEOUT, callers::get(*address, &path)).await;
            let Ok(Some((200, body))) = response else {
                continue;
            };
            let Ok(answer) = serde_json::from_slice::<LookupAnswer>(&body) else {
                continue;
            };
            self.named = answer.addresses;
            self.valid_until = Instant::now() + LOOKUP_TTL;
            return;
        }
    }
}
