//! The parameters of a trial: servers, callers, load over time and faults.

use std::time::Duration;

/// Default interval between load updates: that of a small fleet.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

base::common! {
    /// A change of the load.
    #[derive(Copy)]
    pub struct TrafficStep {
        /// Seconds from the start.
        pub at: f64,
        /// Requests per second from then on, over all regions.
        pub rate: f64,
        /// Share of the requests that arrive in the first region.
        pub first_share: f64,
    }

    /// The kinds of server fault.
    #[derive(Copy)]
    pub enum FaultKind {
        /// The servers don't answer, and their caches are empty afterwards.
        Down,
        /// The work takes this many times as long.
        Slow(f64),
        /// The servers reject this share of requests.
        Shed(f64),
        /// The servers reject all requests and ask for a rest of this many seconds.
        Rest(f64),
        /// The servers say in their answers that they are leaving, and go on serving.
        Leaving,
        /// The servers name this limit in their answers, in requests per second.
        Limit(f64),
    }

    /// A fault of a range of servers.
    #[derive(Copy)]
    pub struct ServerFault {
        /// Seconds from the start.
        pub at: f64,
        /// Duration in seconds.
        pub duration: f64,
        /// Index of the first affected server.
        pub first_server: usize,
        /// Number of affected servers.
        pub count: usize,
        /// The kind of fault.
        pub kind: FaultKind,
    }

    /// A time in which the entries of a region and those of others don't hear each other.
    #[derive(Copy)]
    pub struct RegionCut {
        /// Index of the region.
        pub region: usize,
        /// Seconds from the start.
        pub at: f64,
        /// Duration in seconds.
        pub duration: f64,
    }

    /// All parameters of a trial.
    pub struct Experiment {
        /// Seed of the random arrivals, objects and work.
        pub seed: u64,
        /// Duration of the load, in seconds.
        pub seconds: f64,
        /// Number of regions, of two failure domains each.
        pub regions: usize,
        /// Entries per region.
        pub entries: usize,
        /// Number of servers in each region.
        pub servers: Vec<usize>,
        /// Requests that a server runs concurrently.
        pub slots: usize,
        /// Maximum length of a server's queue.
        pub queue: usize,
        /// Objects that a server caches.
        pub cache_size: usize,
        /// Number of different objects that are requested.
        pub objects: usize,
        /// Mean work of a cache miss.
        pub work: Duration,
        /// Work of a cache hit, as a share of that of a miss.
        pub hit_work_share: f64,
        /// Latency objective.
        pub objective: Duration,
        /// The route's timeout.
        pub timeout: Duration,
        /// The callers' deadline.
        pub deadline: Duration,
        /// Interval between the load updates of an entry.
        pub load_interval: Duration,
        /// Relative request rate of each team; a single team by default.
        pub teams: Vec<f64>,
        /// Changes of the load, in order of time.
        pub traffic: Vec<TrafficStep>,
        /// The faults.
        pub faults: Vec<ServerFault>,
        /// Cuts between entries.
        pub cuts: Vec<RegionCut>,
    }
}

impl Experiment {
    /// A read service at `load` times its capacity: 3 regions, each with 3 entries and
    /// 5 servers of 5 slots.
    pub fn new(seed: u64, load: f64) -> Self {
        let mut experiment = Self {
            seed,
            seconds: 30.0,
            regions: 3,
            entries: 3,
            servers: vec![5; 3],
            slots: 5,
            queue: 15,
            cache_size: 20,
            objects: 40,
            work: Duration::from_millis(640),
            hit_work_share: 0.3,
            objective: Duration::from_millis(500),
            timeout: Duration::from_millis(1200),
            deadline: Duration::from_millis(3000),
            load_interval: LOAD_INTERVAL,
            teams: vec![1.0],
            traffic: Vec::new(),
            faults: Vec::new(),
            cuts: Vec::new(),
        };
        let rate = load * experiment.capacity();
        experiment.traffic.push(TrafficStep {
            at: 0.0,
            rate,
            first_share: 1.0 / 3.0,
        });
        experiment
    }

    /// Requests per second that all servers can handle if every request is a cache hit.
    pub fn capacity(&self) -> f64 {
        let slots = (self.servers.iter().sum::<usize>() * self.slots) as f64;
        slots / (self.work.as_secs_f64() * self.hit_work_share)
    }

    /// Changes the load to `load` times the capacity `at` seconds from the start.
    pub fn with_load(mut self, at: f64, load: f64) -> Self {
        self.traffic.push(TrafficStep {
            at,
            rate: load * self.capacity(),
            first_share: 1.0 / self.regions as f64,
        });
        self
    }

    /// Sets the number of servers in each region, and a steady load of `load` times the
    /// capacity of all.
    #[must_use]
    pub fn with_servers(mut self, servers: &[usize], load: f64) -> Self {
        self.servers = servers.to_vec();
        self.traffic.clear();
        self.with_load(0.0, load)
    }

    /// Adds a cut between the entries of a region and all others.
    #[must_use]
    pub fn with_cut(mut self, cut: RegionCut) -> Self {
        self.cuts.push(cut);
        self
    }

    /// Whether the regions `first` and `second` are cut from each other.
    pub(crate) fn is_cut(&self, at: f64, first: usize, second: usize) -> bool {
        let mut cuts = self.cuts.iter();
        first != second
            && cuts.any(|cut| {
                let is_affected = cut.region == first || cut.region == second;
                is_affected && at >= cut.at && at < cut.at + cut.duration
            })
    }

    /// Splits the requests between teams by relative rate.
    #[must_use]
    pub fn with_teams(mut self, teams: &[f64]) -> Self {
        self.teams = teams.to_vec();
        self
    }

    /// Adds a server fault.
    pub fn with_fault(mut self, fault: ServerFault) -> Self {
        self.faults.push(fault);
        self
    }

    /// Sets the interval between the load updates of an entry.
    #[must_use]
    pub fn with_load_interval(mut self, interval: Duration) -> Self {
        self.load_interval = interval;
        self
    }

    /// The region of the server with the index `server`.
    pub(crate) fn region_of(&self, server: usize) -> usize {
        let mut first = 0;
        for (region, count) in self.servers.iter().enumerate() {
            first += count;
            if server < first {
                return region;
            }
        }
        self.regions
    }

    pub(crate) fn step(&self, at: f64) -> Option<&TrafficStep> {
        self.traffic.iter().rev().find(|step| step.at <= at)
    }
}
