//! What the platform does wrong, on demand.

base::common! {
    /// Faults in force.
    #[derive(Default)]
    #[serde(default)]
    pub struct FaultPlan {
        /// Every call is refused; nothing is written.
        pub outage: bool,
        /// Every call takes this long, in milliseconds.
        pub delay_ms: u64,
        /// Writes take effect, but their answers are lost.
        pub lose_answers: bool,
        /// Instances that the list still shows although they are gone.
        pub stale_list: bool,
    }
}
