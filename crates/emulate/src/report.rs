//! What a trial gave callers.

/// Length of a window, in seconds.
pub(crate) const WINDOW: f64 = 2.0;
/// Worth of a late answer, where one in time is worth 1.
const LATE_WORTH: f64 = 0.2;

base::common! {
    /// Counts of the requests that began in a window.
    #[derive(Copy, Default)]
    pub struct WindowReport {
        /// Requests.
        pub asked: u32,
        /// Answered within the objective.
        pub in_time: u32,
        /// Answered later.
        pub late: u32,
        /// Refused, and refused again where the caller came back.
        pub refused: u32,
        /// Cut off by the route's bound, or lost with a server.
        pub failed: u32,
    }

    /// A whole trial.
    #[derive(Default)]
    pub struct TrialReport {
        /// By windows of two seconds.
        pub windows: Vec<WindowReport>,
        /// By teams; of these only what was asked and answered counts.
        pub teams: Vec<WindowReport>,
        /// Runs at servers.
        pub runs: u32,
        /// Runs whose object was not held.
        pub misses: u32,
        /// Largest part of a region's requests that changed the region in which
        /// they ran from one window to the next.
        pub largest_shift: f64,
    }
}

impl WindowReport {
    /// Worth that callers got, of 1.
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
    /// What became of the requests of the team with the number `team`.
    pub(crate) fn team(&mut self, team: usize) -> &mut WindowReport {
        if self.teams.len() <= team {
            self.teams.resize(team + 1, WindowReport::default());
        }
        &mut self.teams[team]
    }

    /// All windows together.
    pub fn total(&self) -> WindowReport {
        self.between(0.0, f64::MAX)
    }

    /// The requests that began between two times, in seconds.
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

    /// Share of runs whose object was not held.
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
