//! What entries send each other in datagrams.

use std::net::SocketAddr;

use crate::crash::word::CrashWord;
use crate::fleet::front::FrontEntry;
use crate::fleet::known::StoreWord;
use crate::fleet::list::ListVersion;
use crate::fleet::seat::LeadSeat;
use crate::placing::load::LoadWord;
use rollout::report::RolloutReport;
use team::quota::QuotaReport;

base::common! {
    /// One datagram between entries.
    #[derive(Eq)]
    pub enum PeerMessage {
        /// That an entry is there; to the leads of its region.
        Beat(Box<EntryBeat>),
        /// What a lead knows; to the entries of its region and to other leads.
        Digest(Box<RegionDigest>),
        /// Whom to send beats to; to an entry that looks for its leads.
        Hint(LeadHint),
        /// Where the sender's requests are; among the entries that get requests.
        Load(LoadBeat),
        /// Requests under which servers ended; from an entry to its leads, among leads,
        /// and from leads to the entries of their region.
        Crash(CrashWord),
        /// How requests fare in rollouts; among the entries that get requests, and to leads.
        Rollout(RolloutBeat),
    }

    /// An entry's requests at servers.
    #[derive(Eq)]
    pub struct LoadBeat {
        /// Hash of the entry's name.
        pub entry: u64,
        /// What it has sent.
        pub word: LoadWord,
        /// What it let in of teams that have quotas, where there are such.
        pub quota: Option<QuotaReport>,
    }

    /// An entry's counts in rollouts.
    #[derive(Eq)]
    pub struct RolloutBeat {
        /// Hash of the entry's name.
        pub entry: u64,
        /// What it counted.
        pub word: RolloutReport,
    }

    /// What an entry says of itself.
    #[derive(Eq)]
    pub struct EntryBeat {
        /// One run of its process; a later run has a higher number.
        pub incarnation: u64,
        /// The entry as one that may lead its region.
        pub seat: LeadSeat,
        /// Its region.
        pub region: String,
        /// Where it takes callers.
        pub front: SocketAddr,
        /// Requests a second that it gets.
        pub rate: u32,
        /// Whether it takes callers now.
        pub ready: bool,
        /// Whether its process is about to end.
        pub leaving: bool,
        /// Whether it hears no lead of its region.
        pub seeks: bool,
        /// Its stamp for tickets; empty where no caller uses tickets.
        pub stamp: String,
    }

    /// What a lead knows, as versions: who is behind asks it for the rest.
    #[derive(Eq)]
    pub struct RegionDigest {
        /// One run of the sender's process.
        pub incarnation: u64,
        /// The sender.
        pub seat: LeadSeat,
        /// Its region.
        pub region: String,
        /// Whether its process is about to end.
        pub leaving: bool,
        /// What it knows of the store.
        pub store: StoreWord,
        /// What it knows of all regions, its own among them.
        pub regions: Vec<RegionWord>,
    }

    /// What a lead knows of a region's entries.
    #[derive(Eq)]
    pub struct RegionWord {
        /// The region.
        pub region: String,
        /// Milliseconds since a lead of the region was heard.
        pub age: u32,
        /// Live entries there.
        pub live: u32,
        /// The newest list of its entries that get requests.
        pub list: ListVersion,
        /// Its leads, for the own region its substitutes as well; empty for other
        /// regions where the digest goes to entries that don't lead.
        pub seats: Vec<LeadSeat>,
    }

    /// Entries of a region that lead it or would be the first to.
    #[derive(Eq)]
    pub struct LeadHint {
        /// The region.
        pub region: String,
        /// The entries, best first.
        pub seats: Vec<LeadSeat>,
    }
}

impl EntryBeat {
    /// The entry as one that takes callers.
    pub fn as_front(&self) -> FrontEntry<'_> {
        FrontEntry {
            node: &self.seat.node,
            domain: &self.seat.domain,
            region: &self.region,
            capacity: self.seat.capacity,
            rate: f64::from(self.rate),
        }
    }
}
