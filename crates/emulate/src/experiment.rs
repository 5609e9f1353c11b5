//! What is tried: servers, callers, load over time and faults.

use std::time::Duration;

/// Time between words on load unless set otherwise: as in a small fleet.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

base::common! {
    /// A change of the load.
    #[derive(Copy)]
    pub struct TrafficStep {
        /// Seconds from the start.
        pub at: f64,
        /// Requests a second from then on, all regions together.
        pub rate: f64,
        /// Share of them that arrives in the first region.
        pub first_share: f64,
    }

    /// What happens to servers.
    #[derive(Copy)]
    pub enum FaultKind {
        /// They answer nothing and hold nothing afterwards.
        Down,
        /// They work this many times as long.
        Slow(f64),
        /// They reject this share of requests.
        Shed(f64),
    }

    /// A fault of some servers.
    #[derive(Copy)]
    pub struct ServerFault {
        /// Seconds from the start.
        pub at: f64,
        /// Seconds that it lasts.
        pub duration: f64,
        /// The first server that has it.
        pub first_server: usize,
        /// How many servers have it.
        pub count: usize,
        /// What happens.
        pub kind: FaultKind,
    }

    /// A trial's whole setting.
    pub struct Experiment {
        /// Seeds arrivals, objects and work.
        pub seed: u64,
        /// Length, in seconds.
        pub seconds: f64,
        /// Regions; two failure domains each.
        pub regions: usize,
        /// Entries of each region.
        pub entries: usize,
        /// Servers of each region, in the regions' order.
        pub servers: Vec<usize>,
        /// Requests that a server runs at once.
        pub slots: usize,
        /// Requests that wait at a server at most.
        pub queue: usize,
        /// Objects that a server holds.
        pub cache_size: usize,
        /// Objects that are asked for.
        pub objects: usize,
        /// Mean work of an object that isn't held.
        pub work: Duration,
        /// Work of a held object, as a share of that.
        pub hit_work_share: f64,
        /// Latency objective.
        pub objective: Duration,
        /// The route's bound on the time to an answer.
        pub timeout: Duration,
        /// The callers' deadline.
        pub deadline: Duration,
        /// Time between an entry's words on load.
        pub load_interval: Duration,
        /// Teams, by what each asks for against the others; one where there are none.
        pub teams: Vec<f64>,
        /// The load.
        pub traffic: Vec<TrafficStep>,
        /// The faults.
        pub faults: Vec<ServerFault>,
    }
}

impl Experiment {
    /// A region-wide read service at `load` times the rate that its servers
    /// bear if every object is held: 3 regions, 8 entries, 14 servers of 6 slots.
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
        };
        let rate = load * experiment.capacity();
        experiment.traffic.push(TrafficStep {
            at: 0.0,
            rate,
            first_share: 1.0 / 3.0,
        });
        experiment
    }

    /// Requests a second that all servers bear if every object is held.
    pub fn capacity(&self) -> f64 {
        let slots = (self.servers.iter().sum::<usize>() * self.slots) as f64;
        slots / (self.work.as_secs_f64() * self.hit_work_share)
    }

    /// Adds a change of the load to `load` times the capacity.
    pub fn with_load(mut self, at: f64, load: f64) -> Self {
        self.traffic.push(TrafficStep {
            at,
            rate: load * self.capacity(),
            first_share: 1.0 / self.regions as f64,
        });
        self
    }

    /// Lets teams ask, by what each asks for against the others.
    #[must_use]
    pub fn with_teams(mut self, teams: &[f64]) -> Self {
        self.teams = teams.to_vec();
        self
    }

    /// Adds a fault.
    pub fn with_fault(mut self, fault: ServerFault) -> Self {
        self.faults.push(fault);
        self
    }

    /// Lets entries tell their load every `interval`.
    #[must_use]
    pub fn with_load_interval(mut self, interval: Duration) -> Self {
        self.load_interval = interval;
        self
    }

    /// The region of the server with the number `server`.
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
