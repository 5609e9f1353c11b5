//! The other entries: who is live, who takes callers, which state they hold.
//!
//! Each entry sends every other a beat; nobody votes. An entry that falls silent
//! is left out of answers to callers and of the division of shared rates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::front::FrontEntry;
use crate::load::LoadWord;
use crate::rank::{pair_weight, stable_hash};

/// An entry counts as live for this long after its last beat: several beats,
/// since datagrams get lost.
pub const LIVE_FOR: Duration = Duration::from_millis(2600);
/// Beats name others for this long after a run was heard for the first time: five
/// beats, within which all hear of it.
const NAMED_FOR: Duration = Duration::from_millis(3000);
/// Else one beat in so many names others. Naming them always made three
/// quarters of a beat, and beats a quarter of the bytes between regions: 0.19 GB
/// instead of 0.143 on a calm day of 83 entries.
const NAMED_EVERY: u64 = 8;
/// Others named in a beat; all find all within a few beats.
const NAMED_MOST: usize = 24;
/// A silent entry is asked again for this long before it is forgotten.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);

base::common! {
    /// One datagram between entries.
    #[derive(Eq)]
    pub enum PeerMessage {
        /// Who is there, a few times a second at most.
        Beat(Box<PeerBeat>),
        /// Where the sender's requests are, more often.
        Load(LoadBeat),
    }

    /// An entry's requests at servers.
    #[derive(Eq)]
    pub struct LoadBeat {
        /// Hash of the entry's name.
        pub entry: u64,
        /// What it has sent.
        pub word: LoadWord,
    }

    /// What an entry tells the others, several times in a lease.
    #[derive(Eq)]
    pub struct PeerBeat {
        /// The instance's name.
        pub node: String,
        /// One run of its process; a later run has a higher number.
        pub incarnation: u64,
        /// Its failure domain.
        pub domain: String,
        /// Its region.
        pub region: String,
        /// Where it takes callers.
        pub front: SocketAddr,
        /// Where it takes beats.
        pub gossip: SocketAddr,
        /// Where it tells what it read from the store.
        pub view: SocketAddr,
        /// Whether the store answered it lately.
        pub reads: bool,
        /// Whether it takes callers now.
        pub ready: bool,
        /// Whether its process is about to end.
        pub leaving: bool,
        /// Requests a second that it can carry.
        pub capacity: u32,
        /// Requests a second that it gets.
        pub rate: u32,
        /// Version of the desired state in force there.
        pub version: u64,
        /// Its stamp for tickets; empty where no caller uses tickets.
        pub stamp: String,
        /// Gossip addresses of entries that it hears.
        pub known: Vec<SocketAddr>,
    }
}

#[derive(Debug, Clone)]
struct PeerRecord {
    beat: PeerBeat,
    heard: Instant,
}

impl PeerBeat {
    /// The entry as one that takes callers.
    pub fn as_front(&self) -> FrontEntry<'_> {
        FrontEntry {
            node: &self.node,
            domain: &self.domain,
            region: &self.region,
            capacity: self.capacity,
            rate: f64::from(self.rate),
        }
    }
}

/// The entry that looks for one to follow.
#[derive(Debug, Clone, Copy)]
pub struct FollowerSeat<'a> {
    /// Its name.
    pub node: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Whether the store answers it.
    pub reads: bool,
}

/// All other entries that were heard.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<String, PeerRecord>,
    candidates: HashMap<SocketAddr, Instant>,
    /// When a run was heard for the first time, last.
    newest: Option<Instant>,
}

impl PeerTable {
    /// An address at which an entry may be heard.
    pub fn add_candidate(&mut self, now: Instant, address: SocketAddr) {
        self.candidates.insert(address, now);
    }

    /// Takes in a beat; a beat of an earlier run changes nothing.
    pub fn on_beat(&mut self, now: Instant, beat: PeerBeat) {
        for address in &beat.known {
            self.candidates.entry(*address).or_insert(now);
        }
        self.candidates.insert(beat.gossip, now);
        let known = self.peers.get(&beat.node);
        if known.is_some_and(|peer| peer.beat.incarnation > beat.incarnation) {
            return;
        }
        if known.is_none_or(|peer| peer.beat.incarnation < beat.incarnation) {
            self.newest = Some(now);
        }
        let record = PeerRecord { beat, heard: now };
        self.peers.insert(record.beat.node.clone(), record);
    }

    /// The live entries, without those about to end.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &PeerBeat> {
        self.heard(now).filter(|beat| !beat.leaving)
    }

    /// All entries whose processes are heard, also those about to end.
    pub fn heard(&self, now: Instant) -> impl Iterator<Item = &PeerBeat> {
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.heard) < LIVE_FOR)
            .map(|peer| &peer.beat)
    }

    /// The live entry of the instance `node`, unless it is about to end.
    pub fn find(&self, now: Instant, node: &str) -> Option<&PeerBeat> {
        let peer = self.peers.get(node)?;
        let is_live = now.saturating_duration_since(peer.heard) < LIVE_FOR;
        (is_live && !peer.beat.leaving).then_some(&peer.beat)
    }

    /// The run `incarnation` of the instance `node`, if its process is heard.
    pub fn run(&self, now: Instant, node: &str, incarnation: u64) -> Option<&PeerBeat> {
        let mut heard = self.heard(now);
        heard.find(|beat| beat.node == node && beat.incarnation == incarnation)
    }

    /// Where an entry hears what the store holds: the same address for all of a
    /// region that hear of the same entries, so that few read. Where the store
    /// answers none of the region, they follow one of another region; without
    /// that, two of 300 days lost sight of an evacuation for 9 s. `None` if the
    /// entry is to read for itself.
    pub fn reader(&self, now: Instant, own: FollowerSeat<'_>) -> Option<SocketAddr> {
        let near = self.readers(now).filter(|beat| beat.region == own.region);
        let first = near.min_by_key(|beat| stable_hash(beat.node.as_bytes()));
        if let Some(nearest) = first {
            let before = !own.reads
                || stable_hash(nearest.node.as_bytes()) < stable_hash(own.node.as_bytes());
            return before.then_some(nearest.view);
        }
        if own.reads {
            return None;
        }
        let region = stable_hash(own.region.as_bytes());
        let far = self.readers(now);
        let chosen = far.max_by_key(|beat| pair_weight(region, stable_hash(beat.node.as_bytes())));
        chosen.map(|beat| beat.view)
    }

    /// Where an entry hears of the operator's changes besides its reader: at the second
    /// entry of its region that reads. `None` where it is one of the first two, which
    /// ask the store themselves.
    pub fn deputy(&self, now: Instant, own: FollowerSeat<'_>) -> Option<SocketAddr> {
        let hash = |node: &str| stable_hash(node.as_bytes());
        let near = self.readers(now).filter(|beat| beat.region == own.region);
        let mut order: Vec<(u64, Option<SocketAddr>)> = near
            .map(|beat| (hash(&beat.node), Some(beat.view)))
            .collect();
        if own.reads {
            order.push((hash(own.node), None));
        }
        order.sort_unstable();
        let first_two = order.get(..2)?;
        let is_one = first_two.iter().any(|(_, address)| address.is_none());
        if is_one { None } else { first_two[1].1 }
    }

    /// The live entries that the store answers.
    fn readers(&self, now: Instant) -> impl Iterator<Item = &PeerBeat> {
        self.live(now).filter(|beat| beat.reads)
    }

    /// Addresses to name in the beat number `turn` of a run, so that entries that don't
    /// know each other find each other.
    pub fn named(&self, now: Instant, turn: u64) -> Vec<SocketAddr> {
        let news = self
            .newest
            .is_some_and(|at| now.saturating_duration_since(at) < NAMED_FOR);
        if !news && !turn.is_multiple_of(NAMED_EVERY) {
            return Vec::new();
        }
        // Others each time, so that the beats together name all.
        let order = |beat: &&PeerBeat| pair_weight(turn, stable_hash(beat.node.as_bytes()));
        let mut heard: Vec<&PeerBeat> = self.heard(now).collect();
        heard.sort_unstable_by_key(order);
        heard.truncate(NAMED_MOST);
        heard.into_iter().map(|beat| beat.gossip).collect()
    }

    /// Addresses of the live entries.
    pub fn live_targets(&self, now: Instant) -> Vec<SocketAddr> {
        self.heard(now).map(|beat| beat.gossip).collect()
    }

    /// Addresses to send beats to; forgets those that were silent for long.
    pub fn targets(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.candidates
            .retain(|_, at| now.saturating_duration_since(*at) < REMEMBERED_FOR);
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.heard) < REMEMBERED_FOR);
        self.candidates.keys().copied().collect()
    }
}
