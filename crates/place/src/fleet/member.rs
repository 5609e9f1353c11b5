//! One entry's part in the fleet: whom it hears, whether it leads its region, what it
//! tells, and when it asks the store.
//!
//! Events in, actions out; [`FleetMember::review`] reads top to bottom.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::follow::{FollowerPlace, PullState, PullTarget};
use crate::fleet::known::KnownStore;
use crate::fleet::leads::LeadTable;
use crate::fleet::list::{EntryList, ListVersion, list_entries};
use crate::fleet::message::{EntryBeat, LeadHint, PeerMessage, RegionDigest};
use crate::fleet::pace::ReadPace;
use crate::fleet::reading::{ReadOutcome, ReadRole, ReadingPlan};
use crate::fleet::regions::RegionBook;
use crate::fleet::roster::{BeatNews, EntryRoster};
use crate::fleet::seat::{self, LEADS, LeadSeat};
use crate::fleet::seek::LeadSearch;
use crate::rank::stable_hash;

/// Time between beats, and between digests of a lead: four in the time after which a
/// silent entry is taken as gone.
pub const BEAT_EVERY: Duration = Duration::from_millis(600);
/// Shortest time between two digests: what changes at once is told at once.
const DIGEST_PAUSE: Duration = Duration::from_millis(50);
/// A new lead lists its region's entries after two beats, unless no list is known: one
/// that lacks entries would send their callers away.
const ROSTER_WAIT: Duration = Duration::from_millis(1300);
/// The same where no list is known: callers that just arrive are told of somebody.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(50);
/// Shortest time between two lists.
const LIST_PAUSE: Duration = Duration::from_millis(50);
/// Time between two looks while something is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// The same for an entry that hears no lead: each part of a second without one costs
/// callers answers in time after a loss of all entries.
const SEARCH_EVERY: Duration = Duration::from_millis(50);
/// Time without a lead after which an entry asks for the operator's rows itself.
const LONE_WAIT: Duration = Duration::from_millis(400);
/// Entries that get no requests spread over this time more.
const LONE_SPREAD: Duration = Duration::from_millis(800);
/// Seats told to an entry that looks for its leads.
const HINTED: usize = 3;
/// Time between two looks of a lead at the store's rows of leads.
const ROWS_EVERY: Duration = Duration::from_secs(15);
/// The same for one that leads since lately, and how long that is: after a start without
/// seeds a region may have many.
const YOUNG_ROWS_EVERY: Duration = Duration::from_secs(4);
const YOUNG_FOR: Duration = Duration::from_secs(10);
/// A lead writes its row after this time, so that those of a fleet's first second
/// write none.
const ROW_WAIT: Duration = Duration::from_millis(1500);

/// What an entry must know of itself and its place.
#[derive(Debug, Clone)]
pub struct MemberConfig {
    /// This run of its process.
    pub incarnation: u64,
    /// The entry as one that may lead.
    pub seat: LeadSeat,
    /// Its region.
    pub region: String,
    /// Where it takes callers.
    pub front: SocketAddr,
    /// All regions.
    pub regions: Vec<String>,
    /// Where a few other entries take datagrams; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Time within which a leaving server must get no more requests.
    pub drain: Duration,
}

/// What changes in an entry and is told to others.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnState {
    /// Whether it takes callers now.
    pub ready: bool,
    /// Whether its process is about to end.
    pub leaving: bool,
    /// Requests a second that it gets.
    pub rate: u32,
    /// Its stamp for tickets; empty where no caller uses tickets.
    pub stamp: String,
}

/// What an entry hears or does.
#[derive(Debug)]
pub enum FleetEvent {
    /// Time has passed.
    Clock,
    /// A datagram came.
    Message(PeerMessage),
    /// Something of its own changed.
    Own(OwnState),
    /// It knows more of the store, by whatever way.
    Known(KnownStore),
    /// What came of a reading of the registry that this entry was to make.
    Read(ReadOutcome),
    /// The store has answered a watch of the operator's rows, or not.
    Watched(bool),
    /// Lists of entries were told.
    Lists(Vec<EntryList>),
    /// The lead at the address has answered a question, or not.
    Pulled(SocketAddr, bool),
    /// The store's rows of leads: regions and addresses.
    Rows(Vec<(String, SocketAddr)>),
}

/// What the entry is to do.
#[derive(Debug)]
pub enum FleetAction {
    /// Send a datagram.
    Send(Vec<SocketAddr>, PeerMessage),
    /// Ask a lead for what it knows more.
    Pull(PullTarget),
    /// Read the registry, and tell the outcome; the store may hold its answer back for
    /// this long until something changes.
    ReadRegistry(Duration),
    /// Watch the operator's rows from now on, or no longer.
    WatchOperator(bool),
    /// Look at the store's rows of leads.
    ReadRows,
    /// Write the region's row of leads.
    WriteRow(Vec<SocketAddr>),
    /// What is known of the registry is as fresh as of this time.
    Confirm(Instant),
    /// The entries that get requests have changed.
    ListsChanged,
    /// Something to be logged.
    Note(FleetNote),
}

/// What changed in the fleet, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetNote {
    /// This entry leads its region from now on, and why.
    Leads(&'static str),
    /// It leads no longer, for the entry that is named.
    Follows(String),
    /// Its region's reader and deputy.
    Leaders(Vec<String>),
    /// The region's leads are silent.
    LeadsLost,
    /// This entry told a new list with so many entries, so many of them named.
    Listed(usize, usize),
    /// What was known of the store was ahead of it and is asked for anew.
    Ahead,
}

/// One entry in the fleet.
#[derive(Debug)]
pub struct FleetMember {
    config: MemberConfig,
    hash: u64,
    started: Instant,
    own: OwnState,
    reads: bool,
    known: KnownStore,
    roster: EntryRoster,
    leads: LeadTable,
    regions: RegionBook,
    search: LeadSearch,
    pulls: PullState,
    readings: ReadingPlan,
    /// Since when it leads its region.
    leading: Option<Instant>,
    /// Leads and substitutes of the region as known now.
    seats: Vec<LeadSeat>,
    counted: Vec<String>,
    is_lone: bool,
    watches: bool,
    beat_due: Instant,
    digest_due: Instant,
    digest_at: Option<Instant>,
    list_due: Instant,
    seats_due: Instant,
    rows_due: Instant,
    row: Vec<SocketAddr>,
}

impl FleetMember {
    /// An entry that starts at `now` and knows nobody.
    pub fn new(now: Instant, config: MemberConfig) -> Self {
        let hash = stable_hash(config.seat.node.as_bytes());
        Self {
            hash,
            started: now,
            own: OwnState::default(),
            reads: true,
            known: KnownStore::default(),
            roster: EntryRoster::default(),
            leads: LeadTable::default(),
            regions: RegionBook::new(&config.region, &config.regions),
            search: LeadSearch::new(&config.seeds, hash),
            pulls: PullState::default(),
            readings: ReadingPlan::new(ReadPace::new(config.drain), hash),
            leading: None,
            seats: Vec::new(),
            counted: Vec::new(),
            is_lone: true,
            watches: false,
            beat_due: now,
            digest_due: now,
            digest_at: None,
            list_due: now,
            seats_due: now,
            rows_due: now,
            row: Vec::new(),
            config,
        }
    }

    /// Takes in `event`; what is to be done is added to `actions`.
    pub fn on_event(&mut self, now: Instant, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        match event {
            FleetEvent::Clock => {}
            FleetEvent::Message(message) => self.on_message(now, message, actions),
            FleetEvent::Own(own) => self.on_own(now, own),
            FleetEvent::Known(known) => self.on_known(now, known),
            FleetEvent::Read(outcome) => {
                self.reads = outcome != ReadOutcome::Failed;
                self.readings.on_read(now, outcome);
            }
            FleetEvent::Watched(done) => self.reads = done,
            FleetEvent::Lists(lists) => {
                let newer = lists
                    .into_iter()
                    .filter(|list| !list.region.is_empty())
                    .map(|list| self.regions.on_list(list));
                if newer.fold(false, |any, newer| any | newer) {
                    self.digest_due = now;
                    actions.push(FleetAction::ListsChanged);
                }
            }
            FleetEvent::Pulled(view, done) => self.pulls.on_pulled(now, view, done),
            FleetEvent::Rows(rows) => self.on_rows(now, &rows),
        }
        self.review(now, actions);
    }

    /// When to look again if nothing happens before.
    pub fn due(&self, now: Instant) -> Instant {
        let silent = self.leads.silent_at(&self.config.region);
        let waits = self.leading.is_some() || self.pulls.is_behind();
        match silent.filter(|at| !waits && *at > now) {
            Some(at) => self.beat_due.min(at).max(now),
            None if self.leading.is_none() => now + SEARCH_EVERY,
            None => now + LOOK_EVERY,
        }
    }

    /// What is known of all regions.
    pub fn regions(&self) -> &RegionBook {
        &self.regions
    }

    /// What this entry knows of the store.
    pub fn known(&self) -> &KnownStore {
        &self.known
    }

    /// Whether it leads its region.
    pub fn leads(&self) -> bool {
        self.leading.is_some()
    }

    /// Whether it is listed as one that gets requests.
    pub fn is_listed(&self) -> bool {
        let list = self.regions.list(&self.config.region);
        list.is_some_and(|list| list.find(&self.config.seat.node).is_some())
    }

    /// Whether it has heard of nobody since its start, so that callers are its own.
    pub fn is_lone(&self) -> bool {
        self.is_lone
    }

    fn hears_lead(&self, now: Instant) -> bool {
        let region = &self.config.region;
        self.leads.fresh_of(now, region).next().is_some()
    }

    /// This entry as one that leads or may lead.
    fn own_seat(&self) -> LeadSeat {
        LeadSeat {
            reads: self.reads,
            leads: self.leading.is_some(),
            ..self.config.seat.clone()
        }
    }

    fn on_message(&mut self, now: Instant, message: PeerMessage, actions: &mut Vec<FleetAction>) {
        match message {
            PeerMessage::Beat(beat) => self.on_beat(now, *beat, actions),
            PeerMessage::Digest(digest) => self.on_digest(now, &digest, actions),
            PeerMessage::Hint(hint) => self.on_hint(now, &hint),
            PeerMessage::Load(_) => {}
        }
    }

    fn on_beat(&mut self, now: Instant, beat: EntryBeat, actions: &mut Vec<FleetAction>) {
        if beat.seat.node == self.config.seat.node {
            return;
        }
        let (seeks, sender) = (beat.seeks, beat.seat.beat);
        let region = beat.region.clone();
        let is_near = region == self.config.region;
        let news = self.roster.on_beat(now, beat);
        if news == BeatNews::Outdated {
            return;
        }
        if is_near && self.leading.is_some() {
            if news == BeatNews::Changed {
                self.list_due = self.list_due.min(now + LIST_PAUSE);
            }
            if seeks {
                let digest = self.digest(now, false);
                actions.push(FleetAction::Send(vec![sender], digest));
            }
            return;
        }
        if seeks || is_near {
            self.hint(now, &region, sender, actions);
        }
    }

    /// Tells the entry at `sender`, which looks for leads of `region`, what is known.
    fn hint(&self, now: Instant, region: &str, sender: SocketAddr, actions: &mut Vec<FleetAction>) {
        let is_heard = self.regions.is_heard(now, region);
        let mut seats = if is_heard {
            self.regions.seats(region).to_vec()
        } else {
            let mut seats = self.roster.seats(now, region);
            if region == self.config.region {
                seats.push(self.own_seat());
            }
            seats
        };
        seats.sort_by_key(|seat| std::cmp::Reverse(seat.order()));
        seats.truncate(HINTED);
        let mut hints = vec![LeadHint {
            region: region.to_owned(),
            seats,
        }];
        if !is_heard && region != self.config.region && self.hears_lead(now) {
            // The leads of this region hear those of all others.
            hints.push(LeadHint {
                region: self.config.region.clone(),
                seats: self.seats.iter().take(LEADS).cloned().collect(),
            });
        }
        for hint in hints {
            actions.push(FleetAction::Send(vec![sender], PeerMessage::Hint(hint)));
        }
    }

    fn on_digest(&mut self, now: Instant, digest: &RegionDigest, actions: &mut Vec<FleetAction>) {
        if digest.seat.node == self.config.seat.node || !self.leads.on_digest(now, digest) {
            return;
        }
        for word in &digest.regions {
            if word.region == self.config.region && self.leading.is_some() {
                self.find_co_leads(now, &word.seats);
                continue;
            }
            self.regions.on_word(now, word);
        }
        let heard = KnownStore::heard(now, &digest.store);
        if self.known.confirm(&heard)
            && let Some(at) = self.known.registry_at
        {
            actions.push(FleetAction::Confirm(at));
        }
        let is_near = digest.region == self.config.region;
        if self.leading.is_none() && !(is_near && self.is_followed(&digest.seat.node)) {
            self.hint(now, &self.config.region, digest.seat.beat, actions);
        }
        if is_near || self.leading.is_some() {
            self.seats_due = now;
        }
    }

    /// Whether `node` leads the region as far as this entry knows, or nobody does.
    fn is_followed(&self, node: &str) -> bool {
        let mut leads = self.seats.iter().take(LEADS);
        self.seats.is_empty() || leads.any(|seat| seat.node == node)
    }

    /// Looks for leads of the own region that another region knows.
    fn find_co_leads(&mut self, now: Instant, seats: &[LeadSeat]) {
        for seat in seats.iter().take(LEADS) {
            let is_heard = self
                .leads
                .fresh_of(now, &self.config.region)
                .any(|lead| lead.seat.node == seat.node);
            if !is_heard && seat.node != self.config.seat.node {
                self.search.on_address(now, seat.beat);
            }
        }
    }

    fn on_hint(&mut self, now: Instant, hint: &LeadHint) {
        if hint.region != self.config.region {
            self.regions.on_hint(now, &hint.region, &hint.seats);
            if self.seats.is_empty() {
                for seat in &hint.seats {
                    self.search.on_address(now, seat.beat);
                }
            }
            return;
        }
        if self.hears_lead(now) && self.leading.is_none() {
            return;
        }
        let own = self.own_seat();
        let is_new = self.search.on_hint(now, &hint.seats, &own);
        if is_new {
            self.beat_due = now;
        }
    }

    fn on_own(&mut self, now: Instant, own: OwnState) {
        let is_urgent = own.ready != self.own.ready || own.leaving != self.own.leaving;
        self.own = own;
        if is_urgent {
            self.beat_due = now;
            self.list_due = self.list_due.min(now);
            self.digest_due = self.digest_due.min(now);
        }
    }

    fn on_known(&mut self, now: Instant, known: KnownStore) {
        let is_news = (known.registry, known.operator, known.desired)
            != (self.known.registry, self.known.operator, self.known.desired);
        let is_read = known.registry_at > self.known.registry_at;
        self.known = known;
        if is_news || is_read {
            self.digest_due = self.digest_due.min(now);
        }
    }

    fn on_rows(&mut self, now: Instant, rows: &[(String, SocketAddr)]) {
        let own = self.config.seat.beat;
        for (region, address) in rows {
            let is_needed = *region == self.config.region || !self.regions.is_heard(now, region);
            if is_needed && *address != own {
                self.search.on_address(now, *address);
            }
        }
        let listed = rows
            .iter()
            .filter(|(region, _)| *region == self.config.region);
        self.row = listed.map(|(_, address)| *address).collect();
        let mut others = self.row.iter().filter(|address| **address != own);
        let is_known = |address: &&SocketAddr| {
            let mut seats = self.seats.iter().take(LEADS);
            seats.any(|seat| seat.beat == **address)
        };
        if !others.all(|address| is_known(&address)) {
            // Somebody else leads the region as well.
            self.rows_due = self.rows_due.min(now + YOUNG_ROWS_EVERY);
        }
    }

    fn review(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if now >= self.seats_due {
            self.seats_due = now + SEARCH_EVERY;
            self.leads.forget(now);
            self.review_role(now, actions);
            self.review_regions(now, actions);
        }
        self.review_list(now, actions);
        self.review_beat(now, actions);
        self.review_digest(now, actions);
        self.review_rows(now, actions);
        self.review_pull(now, actions);
        self.review_reading(now, actions);
    }

    /// Begins or ends to lead.
    fn review_role(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let own = self.own_seat();
        let top = self.leads.first_of(now, &self.config.region);
        let above = top.filter(|lead| self.leading.is_none() || lead.order() > own.order());
        if let Some(lead) = above {
            let appointed = lead.appoints(&own.node) && !self.own.leaving;
            let (seats, node) = (lead.seats.clone(), lead.seat.node.clone());
            self.set_seats(seats, actions);
            match (self.leading, appointed) {
                (None, true) => self.lead(now, "appointed by the reader", actions),
                (Some(_), false) => self.follow(now, node, actions),
                _ => {}
            }
        } else if self.leading.is_none() && !self.own.leaving {
            let is_lost = !self.seats.is_empty() && top.is_none();
            let since = self.search.begin(now);
            if is_lost && since == now {
                actions.push(FleetAction::Note(FleetNote::LeadsLost));
            }
            if self.search.may_lead(now, &own, &self.seats) {
                self.lead(now, "no lead heard", actions);
            }
        }
        if self.leading.is_some() && self.is_first(now) {
            let near = self.leads.fresh_of(now, &self.config.region);
            let mut leading: Vec<LeadSeat> = near.map(|lead| lead.seat.clone()).collect();
            if !self.own.leaving {
                leading.push(self.own_seat());
            }
            let others = self.roster.seats(now, &self.config.region);
            let seats = seat::choose(leading, others);
            self.set_seats(seats, actions);
        }
        if self.hears_lead(now) {
            self.search.end();
        }
    }

    fn set_seats(&mut self, seats: Vec<LeadSeat>, actions: &mut Vec<FleetAction>) {
        let names = |seats: &[LeadSeat]| -> Vec<String> {
            let leads = seats.iter().take(LEADS);
            leads.map(|seat| seat.node.clone()).collect()
        };
        if names(&seats) != names(&self.seats) {
            actions.push(FleetAction::Note(FleetNote::Leaders(names(&seats))));
            self.beat_due = self.beat_due.min(self.started);
            self.digest_due = self.digest_due.min(self.started);
        }
        self.seats = seats;
    }

    fn lead(&mut self, now: Instant, reason: &'static str, actions: &mut Vec<FleetAction>) {
        self.leading = Some(now);
        self.digest_due = now;
        self.list_due = now;
        self.rows_due = now + ROW_WAIT;
        actions.push(FleetAction::Note(FleetNote::Leads(reason)));
    }

    fn follow(&mut self, now: Instant, lead: String, actions: &mut Vec<FleetAction>) {
        self.leading = None;
        // Those that hear it know at once that it leads no longer.
        self.send_digest(now, actions);
        actions.push(FleetAction::Note(FleetNote::Follows(lead)));
    }

    /// Notices regions that fell silent or are heard again.
    fn review_regions(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if self.leading.is_some() {
            let live = self.roster.live(now, &self.config.region).count() as u32 + 1;
            self.regions.on_own(now, live, self.seats.clone());
        }
        let counted: Vec<String> = self.regions.counted(now).map(str::to_owned).collect();
        let has_met = self.roster.has_any() || self.search.has_hints() || counted.len() > 1;
        let is_met = self.is_lone && (has_met || self.hears_lead(now));
        if counted != self.counted || is_met {
            self.counted = counted;
            self.is_lone &= !is_met;
            actions.push(FleetAction::ListsChanged);
        }
    }

    /// Lists the region's entries, where this one is the first of its leads.
    fn review_list(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let Some(since) = self.leading else {
            return;
        };
        if now < self.list_due || !self.is_first(now) {
            return;
        }
        self.list_due = now + BEAT_EVERY;
        let region = &self.config.region;
        let version = self
            .regions
            .list(region)
            .map_or(ListVersion::default(), |list| list.version);
        let wait = if version == ListVersion::default() {
            FIRST_LIST_WAIT
        } else {
            ROSTER_WAIT
        };
        if now.saturating_duration_since(since) < wait {
            self.list_due = since + wait;
            return;
        }
        let own = self.own_beat(now);
        let mut beats: Vec<&EntryBeat> = self.roster.live(now, region).collect();
        beats.push(&own);
        let entries = list_entries(&beats);
        if self
            .regions
            .list(region)
            .is_some_and(|list| list.entries == entries)
        {
            return;
        }
        let named = entries.iter().filter(|entry| entry.named).count();
        actions.push(FleetAction::Note(FleetNote::Listed(entries.len(), named)));
        self.regions.on_list(EntryList {
            region: region.clone(),
            version: ListVersion {
                number: version.number + 1,
                author: self.hash,
            },
            entries,
        });
        self.digest_due = now;
        actions.push(FleetAction::ListsChanged);
    }

    /// Whether no other lead of the region comes before this one.
    fn is_first(&self, now: Instant) -> bool {
        let first = self.leads.first_of(now, &self.config.region);
        first.is_none_or(|lead| !self.own.leaving && lead.order() < self.own_seat().order())
    }

    fn own_beat(&self, now: Instant) -> EntryBeat {
        EntryBeat {
            incarnation: self.config.incarnation,
            seat: self.own_seat(),
            region: self.config.region.clone(),
            front: self.config.front,
            rate: self.own.rate,
            ready: self.own.ready,
            leaving: self.own.leaving,
            seeks: !self.hears_lead(now),
            stamp: self.own.stamp.clone(),
        }
    }

    fn review_beat(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if now < self.beat_due {
            return;
        }
        let seeks = !self.hears_lead(now);
        let pause = if seeks && self.leading.is_none() {
            self.search.pause(now, BEAT_EVERY)
        } else {
            BEAT_EVERY
        };
        self.beat_due = now + pause;
        let region = &self.config.region;
        let fresh = self.leads.fresh_of(now, region).map(|lead| lead.seat.beat);
        let appointed = self.seats.iter().take(LEADS).map(|seat| seat.beat);
        let mut targets: Vec<SocketAddr> = fresh.chain(appointed).collect();
        if seeks {
            targets.extend(self.seats.iter().map(|seat| seat.beat));
            targets.extend(self.search.seeds());
            targets.extend(self.search.hinted(now));
        }
        let targets = self.others(targets);
        let beat = PeerMessage::Beat(Box::new(self.own_beat(now)));
        if self.own.leaving {
            // Whoever hears neither would send callers here for seconds.
            actions.push(FleetAction::Send(targets.clone(), beat.clone()));
        }
        actions.push(FleetAction::Send(targets, beat));
    }

    fn digest(&self, now: Instant, to_leads: bool) -> PeerMessage {
        PeerMessage::Digest(Box::new(RegionDigest {
            incarnation: self.config.incarnation,
            seat: self.own_seat(),
            region: self.config.region.clone(),
            leaving: self.own.leaving,
            store: self.known.word(now),
            regions: self.regions.words(now, to_leads),
        }))
    }

    fn review_digest(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let is_early = self
            .digest_at
            .is_some_and(|at| now.saturating_duration_since(at) < DIGEST_PAUSE);
        if self.leading.is_none() || now < self.digest_due || is_early {
            return;
        }
        self.send_digest(now, actions);
    }

    fn send_digest(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        self.digest_due = now + BEAT_EVERY;
        self.digest_at = Some(now);
        let near = self.roster.addresses(now, &self.config.region);
        let leads: Vec<SocketAddr> = self.far_leads(now);
        let mut members = self.others(near);
        members.retain(|address| !leads.contains(address));
        let leads = self.others(leads);
        actions.push(FleetAction::Send(members, self.digest(now, false)));
        actions.push(FleetAction::Send(leads, self.digest(now, true)));
    }

    /// The other leads of the own region and those of all others; where a region isn't
    /// heard, whoever may know them.
    fn far_leads(&mut self, now: Instant) -> Vec<SocketAddr> {
        // All that are heard, not only those that their region names: where a region has
        // more than one pair, each learns of the other here.
        let heard = self.leads.fresh(now).map(|lead| lead.seat.beat);
        let mut addresses: Vec<SocketAddr> = heard.collect();
        let mut is_lost = !self.hears_lead(now);
        for region in self.regions.others() {
            let seats = self.regions.seats(region).iter();
            if self.regions.is_heard(now, region) {
                addresses.extend(seats.take(LEADS).map(|seat| seat.beat));
            } else {
                is_lost = true;
                addresses.extend(seats.map(|seat| seat.beat));
            }
        }
        if is_lost {
            addresses.extend(self.search.seeds());
        }
        // Among these are leads of the own region that were found by other regions or
        // by the store's rows: after a cut each part of a region has its own.
        addresses.extend(self.search.hinted(now));
        addresses
    }

    /// `addresses` once each, without the own one.
    fn others(&self, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.config.seat.beat);
        addresses
    }

    /// Keeps the store's row of leads, and looks there for others.
    fn review_rows(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let Some(since) = self.leading else {
            if !self.hears_lead(now) && self.search.take_rows(now) {
                actions.push(FleetAction::ReadRows);
            }
            return;
        };
        if now < self.rows_due {
            return;
        }
        let is_young = now.saturating_duration_since(since) < YOUNG_FOR;
        self.rows_due = now
            + if is_young {
                YOUNG_ROWS_EVERY
            } else {
                ROWS_EVERY
            };
        let is_first = self.is_first(now);
        let is_lost = |region| !self.regions.is_heard(now, region);
        if is_first || self.regions.others().any(is_lost) {
            actions.push(FleetAction::ReadRows);
        }
        let leads = self.seats.iter().take(LEADS).map(|seat| seat.beat);
        let row: Vec<SocketAddr> = leads.collect();
        let is_settled = now.saturating_duration_since(since) >= ROW_WAIT;
        if is_settled && is_first && row != self.row {
            self.row.clone_from(&row);
            actions.push(FleetAction::WriteRow(row));
        }
    }

    fn review_pull(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let place = FollowerPlace {
            region: &self.config.region,
            hash: self.hash,
            leads: self.leading.is_some(),
        };
        let next = self
            .pulls
            .next(now, place, &self.known, &self.leads, &self.regions);
        if let Some(target) = next {
            if target.whole {
                actions.push(FleetAction::Note(FleetNote::Ahead));
            }
            actions.push(FleetAction::Pull(target));
        }
    }

    fn review_reading(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let role = self.read_role(now);
        if let Some(wait) = self.readings.take(now, role, self.known.registry_at) {
            actions.push(FleetAction::ReadRegistry(wait));
        }
        let watches = match role {
            ReadRole::Reader | ReadRole::Deputy => true,
            ReadRole::Follower { stuck, .. } => stuck,
            ReadRole::Alone { used, first } => self.watches_alone(now, used, first),
        };
        if watches != self.watches {
            self.watches = watches;
            actions.push(FleetAction::WatchOperator(watches));
        }
    }

    /// Whether an entry that hears no lead asks for the operator's rows itself: entries
    /// that get requests soon, others after a new lead had time to be found.
    fn watches_alone(&self, now: Instant, used: bool, first: Instant) -> bool {
        if !self.known.is_complete() {
            return now >= first;
        }
        let spread = if used { Duration::ZERO } else { LONE_SPREAD };
        let wait = LONE_WAIT + self.search.spread_over(spread);
        let since = self.search.since();
        since.is_some_and(|since| now.saturating_duration_since(since) >= wait)
    }

    fn read_role(&self, now: Instant) -> ReadRole {
        if self.leading.is_some() {
            return if self.is_first(now) {
                ReadRole::Reader
            } else {
                ReadRole::Deputy
            };
        }
        if self.hears_lead(now) {
            let mut substitutes = self.seats.iter().skip(LEADS);
            return ReadRole::Follower {
                substitute: substitutes.any(|seat| seat.node == self.config.seat.node),
                stuck: self.pulls.is_stuck(now),
            };
        }
        ReadRole::Alone {
            used: self.is_listed(),
            first: self.started + self.search.first_reading(&self.config.seat),
        }
    }
}
