//! The results of a trial as callers see them.

/// Length of a window, in seconds.
pub(crate) const WINDOW: f64 = 2.0;
/// Worth of a late answer, relative to 1 for an answer in time.
const LATE_WORTH: f64 = 0.2;

base::common! {
    /// Counts of the requests that arrived in a window.
    #[derive(Copy, Default)]
    pub struct WindowReport {
        /// Requests that arrived.
        pub asked: u32,
        /// Requests answered within the latency objective.
        pub in_time: u32,
        /// Requests answered after it.
        pub late: u32,
        /// Requests refused for good, after the caller's retries.
        pub refused: u32,
        /// Requests that ran into the route's timeout or the caller's deadline, also because
        /// their server crashed.
        pub failed: u32,
    }

    /// The results of a trial.
    #[derive(Default)]
    pub struct TrialReport {
        /// Counts by windows of two seconds.
        pub windows: Vec<WindowReport>,
        /// Counts by team: only `asked`, `in_time` and `late` are set.
        pub teams: Vec<WindowReport>,
        /// Counts by the callers' region.
        pub regions: Vec<WindowReport>,
        /// Requests that ran at a server.
        pub runs: u32,
        /// Runs that were cache misses.
        pub misses: u32,
        /// Largest share of a region's requests that moved to other regions between two
        /// consecutive windows.
        pub largest_shift: f64,
        /// Largest number of requests within four seconds at a server with a rate limit, as a
        /// multiple of what it tolerates, from some seconds after it named the limit.
        pub limit_overload: f64,
        /// Largest number of requests that an entry sent to a server within a rest that the
        /// server had asked it for, from half a second after that.
        pub sent_in_rest: u32,
        /// Requests that entries sent to servers later than the drain time after these had
        /// said in a response to them that they leave.
        pub sent_to_leaving: u32,
        /// Requests at servers with rate limits, as a share of what the limits allowed.
        pub limit_use: f64,
    }
}

impl WindowReport {
    /// Mean worth of the requests: 1 if all were answered in time, 0 if none was answered.
    pub fn worth(&self) -> f64 {
        let achieved = f64::from(self.in_time) + LATE_WORTH * f64::from(self.late);
        achieved / f64::from(self.asked.max(1))
    }

    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

impl TrialReport {
    /// The counts of the team with the index `team`.
    pub(crate) fn team(&mut self, team: usize) -> &mut WindowReport {
        if self.teams.len() <= team {
            self.teams.resize(team + 1, WindowReport::default());
        }
        &mut self.teams[team]
    }

    /// The counts of the callers in the region with the index `region`.
    pub(crate) fn region(&mut self, region: usize) -> &mut WindowReport {
        if self.regions.len() <= region {
            self.regions.resize(region + 1, WindowReport::default());
        }
        &mut self.regions[region]
    }

    /// Mean worth of the requests of the region whose callers get least.
    pub fn worst_region_worth(&self) -> f64 {
        let worths = self.regions.iter().map(WindowReport::worth);
        worths.fold(1.0, f64::min)
    }

    /// The sum of all windows.
    pub fn total(&self) -> WindowReport {
        self.between(0.0, f64::MAX)
    }

    /// The sum of the windows that start between two times, in seconds.
    pub fn between(&self, from: f64, to: f64) -> WindowReport {
        let mut total = WindowReport::default();
        for (index, window) in self.windows.iter().enumerate() {
            let starts_at = index as f64 * WINDOW;
            if starts_at >= from && starts_at < to {
                total.add(window);
            }
        }
        total
    }

    /// Share of runs that were cache misses.
    pub fn miss_share(&self) -> f64 {
        f64::from(self.misses) / f64::from(self.runs.max(1))
    }

    pub(crate) fn window(&mut self, at: f64) -> &mut WindowReport {
        let index = (at / WINDOW) as usize;
        if self.windows.len() <= index {
            self.windows.resize(index + 1, WindowReport::default());
        }
        &mut self.windows[index]
    }
}
