//! Why a request is refused, and when its caller may come back.

use base::prelude::*;

base::common! {
    /// Why a request is refused without having been run.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// No such service is configured.
        UnknownService,
        /// The instance holds no valid seat of its region.
        NoSeat,
        /// The region can't take the request within its deadline.
        Overloaded,
        /// The deadline is too short for the service, or has passed.
        DeadlineTooShort,
        /// The shift cap allows no further moved traffic now.
        ShiftCap,
        /// The instance is stopping.
        Draining,
        /// No backend server of the service can be reached.
        NoServer,
    }

    /// A refusal with the time to come back.
    #[derive(Copy, Eq)]
    pub struct Refusal {
        /// Why.
        pub reason: RefusalReason,
        /// Earliest time to come back, spread so that callers don't return together.
        pub retry_after: Duration,
    }
}

impl RefusalReason {
    /// The reason in kebab case, used in problem documents and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown-service",
            Self::NoSeat => "no-seat",
            Self::Overloaded => "overloaded",
            Self::DeadlineTooShort => "deadline-too-short",
            Self::ShiftCap => "shift-cap",
            Self::Draining => "draining",
            Self::NoServer => "no-server",
        }
    }
}
