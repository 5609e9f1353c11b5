//! Responses to callers' look-ups of entries, on the platform's and on the product's interface.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use once::Ticket;
use place::directory::{home_region_entries, ordered_entries};
use place::fleet::list::ListedEntry;
use platform::lookup::{self, CallerLocation};
use serde::Serialize;

use crate::state::InstanceState;

/// How long callers may use a response. Some use it three times as long, and all of them must
/// have left a stopping entry before it refuses requests.
const DEFAULT_LOOKUP_TTL: Duration = Duration::from_millis(1000);
/// Maximum number of entries in a response on the platform's interface; callers read no more.
const MAX_ENTRIES: usize = 64;
/// Path of a look-up on the product's own interface.
pub(crate) const ENTRIES_PATH: &str = "/v1/entries";

/// An entry that accepts callers.
struct AvailableEntry {
    instance: String,
    region: String,
    address: SocketAddr,
    stamp: String,
}

#[derive(Serialize)]
struct EntryAnswer<'a> {
    instance: &'a str,
    region: &'a str,
    address: SocketAddr,
    ticket: String,
}

#[derive(Serialize)]
struct EntriesAnswer<'a> {
    version: u64,
    ttl_ms: u64,
    entries: Vec<EntryAnswer<'a>>,
}

/// Result of a look-up on the product's own interface.
pub(crate) enum OwnLookup {
    /// The response document.
    Found(String),
    /// There is no such service.
    UnknownService,
    /// No entry accepts callers.
    NoEntry,
}

/// Returns the response on the platform's interface; `None` if no entry accepts callers.
pub(crate) fn answer_platform(state: &InstanceState, location: &CallerLocation) -> Option<String> {
    let entries = available_entries(state);
    let home_entries = home_region_entries(&entries, &location.region, |entry| &entry.region);
    let addresses: Vec<SocketAddr> = home_entries
        .into_iter()
        .take(MAX_ENTRIES)
        .map(|entry| entry.address)
        .collect();
    let ttl = ttl(state);
    (!addresses.is_empty()).then(|| lookup::encode_answer(&addresses, ttl))
}

/// Returns the response on the product's own interface to a caller at `from`.
pub(crate) fn answer_own(state: &InstanceState, query: &str, from: IpAddr) -> OwnLookup {
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(known, _)| *known == name);
        found.map(|(_, value)| value)
    };
    let service = parameter("service").unwrap_or("");
    let known = state
        .routes
        .borrow()
        .iter()
        .any(|route| route.name == service);
    if !known {
        return OwnLookup::UnknownService;
    }
    let homes = state.homes.borrow();
    let home = parameter("region").or_else(|| homes.find(from));
    let entries = available_entries(state);
    let nonce = rand::random();
    let chosen = ordered_entries(&entries, home, nonce, |entry| &entry.region);
    if chosen.is_empty() {
        return OwnLookup::NoEntry;
    }
    let answer = EntriesAnswer {
        version: state.version(),
        ttl_ms: ttl(state).as_millis() as u64,
        entries: chosen
            .into_iter()
            .map(|entry| EntryAnswer {
                instance: &entry.instance,
                region: &entry.region,
                address: entry.address,
                ticket: Ticket::issue(&entry.stamp, nonce),
            })
            .collect(),
    };
    match serde_json::to_string(&answer) {
        Ok(text) => OwnLookup::Found(text),
        Err(error) => {
            log::error!(error:%; "can't encode the response to a look-up");
            OwnLookup::NoEntry
        }
    }
}

fn ttl(state: &InstanceState) -> Duration {
    DEFAULT_LOOKUP_TTL.min(state.config.max_lookup_ttl)
}

/// Returns the entries that callers should use, from the lists of all regions. Without a list,
/// only an entry that has never heard from others names itself: otherwise an entry with a higher
/// capacity may turn up. If no entry is advertised, since none can reach the servers, all that
/// are listed are named: one of them may have a path again first.
fn available_entries(state: &InstanceState) -> Vec<AvailableEntry> {
    if state.fleet.is_isolated() && !state.fleet.is_listed() && state.is_ready() {
        return vec![own_entry(state, Instant::now())];
    }
    let mut entries = listed_entries(state, |entry| entry.named);
    if entries.is_empty() && state.is_cut_off() {
        entries = listed_entries(state, |_| true);
        if entries.is_empty() && state.is_ready() {
            entries.push(own_entry(state, Instant::now()));
        }
    }
    if entries.is_empty() && state.serves_public_only() {
        entries.push(own_entry(state, Instant::now()));
    }
    entries
}

fn listed_entries(
    state: &InstanceState,
    is_included: impl Fn(&ListedEntry) -> bool,
) -> Vec<AvailableEntry> {
    let mut entries = Vec::new();
    state.fleet.with_regions(|now, regions| {
        for (region, entry) in regions.listed(now).filter(|(_, entry)| is_included(entry)) {
            if entry.node == state.config.instance {
                if state.is_ready() {
                    entries.push(own_entry(state, now));
                }
                continue;
            }
            entries.push(AvailableEntry {
                instance: entry.node.clone(),
                region: region.to_owned(),
                address: entry.caller_address,
                stamp: entry.stamp.clone(),
            });
        }
    });
    entries
}

fn own_entry(state: &InstanceState, now: Instant) -> AvailableEntry {
    AvailableEntry {
        instance: state.config.instance.clone(),
        region: state.config.region.clone(),
        address: state.config.caller_address,
        stamp: state.tickets.stamp(now),
    }
}
