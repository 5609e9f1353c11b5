//! Datagrams exchanged between entries.

use std::net::SocketAddr;

use rollout::report::RolloutReport;
use team::quota::QuotaReport;

use crate::crash::message::CrashMessage;
use crate::fleet::advertise::ServingEntry;
use crate::fleet::candidate::LeadCandidate;
use crate::fleet::list::ListVersion;
use crate::fleet::store_progress::StoreProgressReport;
use crate::placing::load::LoadReport;
use crate::returns::message::ReturnMessage;
use crate::shares::message::ShareReport;
use crate::statement::message::StatementReport;

base::common! {
    /// A datagram between entries.
    #[derive(Eq)]
    pub enum PeerMessage {
        /// Liveness and state of an entry. Sent to the leads of its region.
        Heartbeat(Box<EntryHeartbeat>),
        /// Versions of the data that a lead holds. Sent to the entries of its region and
        /// to other leads.
        Digest(Box<RegionDigest>),
        /// Addresses of leads. Sent to an entry that is searching for its leads.
        Hint(LeadHint),
        /// The sender's requests by server. Sent among entries that receive requests.
        Load(LoadMessage),
        /// Requests that were in progress at servers that crashed. Sent by an entry to
        /// its leads, among leads, and by leads to the entries of their region.
        Crash(CrashMessage),
        /// Request outcomes during rollouts. Sent among entries that receive requests,
        /// and to leads.
        Rollout(RolloutMessage),
        /// What servers said of themselves. Sent among entries that receive requests.
        Statements(StatementMessage),
        /// Refused callers that are expected back. Sent among entries that receive requests.
        Returns(ReturnMessage),
        /// Requests and placements by region. Sent among entries that receive requests.
        Shares(ShareMessage),
    }

    /// An entry's requests and placements.
    #[derive(Eq)]
    pub struct ShareMessage {
        /// Hash of the entry's name.
        pub entry: u64,
        /// The counts.
        pub report: ShareReport,
    }

    /// Statements of servers as known to an entry.
    #[derive(Eq)]
    pub struct StatementMessage {
        /// Hash of the entry's name.
        pub entry: u64,
        /// The statements.
        pub report: StatementReport,
    }

    /// An entry's requests by server.
    #[derive(Eq)]
    pub struct LoadMessage {
        /// Hash of the entry's name.
        pub entry: u64,
        /// Requests the entry has sent.
        pub report: LoadReport,
        /// Admitted requests of teams with quotas, if there are any such teams.
        pub quota: Option<QuotaReport>,
    }

    /// An entry's request counts in rollouts.
    #[derive(Eq)]
    pub struct RolloutMessage {
        /// Hash of the entry's name.
        pub entry: u64,
        /// The counts.
        pub report: RolloutReport,
    }

    /// The state an entry reports about itself.
    #[derive(Eq)]
    pub struct EntryHeartbeat {
        /// Process incarnation; increases with every restart.
        pub incarnation: u64,
        /// The entry as a lead candidate.
        pub candidate: LeadCandidate,
        /// The entry's region.
        pub region: String,
        /// Address on which it accepts callers.
        pub caller_address: SocketAddr,
        /// Requests per second it receives.
        pub rate: u32,
        /// Whether it currently accepts callers.
        pub ready: bool,
        /// Whether its process is shutting down.
        pub leaving: bool,
        /// Whether it receives digests from no lead of its region.
        pub is_searching: bool,
        /// Its stamp for tickets; empty if no caller uses tickets.
        pub stamp: String,
    }

    /// Versions of the data a lead holds. A receiver that is behind pulls the data from
    /// the lead.
    #[derive(Eq)]
    pub struct RegionDigest {
        /// Process incarnation of the sender.
        pub incarnation: u64,
        /// The sender.
        pub candidate: LeadCandidate,
        /// The sender's region.
        pub region: String,
        /// Whether its process is shutting down.
        pub leaving: bool,
        /// Its state of the store.
        pub store: StoreProgressReport,
        /// Its state of all regions, including its own.
        pub regions: Vec<RegionSummary>,
    }

    /// A lead's view of a region's entries.
    #[derive(Eq)]
    pub struct RegionSummary {
        /// The region.
        pub region: String,
        /// Milliseconds since the last message of a lead of the region.
        pub age_ms: u32,
        /// Number of live entries in the region.
        pub live_entries: u32,
        /// Version of the newest list of entries that receive requests.
        pub list: ListVersion,
        /// Whether that list holds since the region's leads were last silent: they have published
        /// or checked it. Leads that have just started may know one from before.
        pub is_list_current: bool,
        /// The region's leads, and for the sender's own region also the substitutes.
        /// Empty for other regions in digests sent to entries that are not leads.
        pub candidates: Vec<LeadCandidate>,
    }

    /// Candidates that lead a region or are first in line to.
    #[derive(Eq)]
    pub struct LeadHint {
        /// The region.
        pub region: String,
        /// The candidates, best first.
        pub candidates: Vec<LeadCandidate>,
    }
}

impl EntryHeartbeat {
    /// Returns the entry as a target for callers.
    pub fn as_serving(&self) -> ServingEntry<'_> {
        ServingEntry {
            node: &self.candidate.node,
            domain: &self.candidate.domain,
            region: &self.region,
            capacity: self.candidate.capacity,
            rate: f64::from(self.rate),
        }
    }
}
