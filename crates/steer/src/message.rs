//! Messages between the entry processes of a fleet.

use base::prelude::*;

base::common! {
    /// A message with its sender and the one run of a process that it is meant for.
    pub struct Envelope<B> {
        /// The sender.
        pub from: NodeId,
        /// The receiver's run; any other run drops the message.
        pub to: Incarnation,
        /// What is said.
        pub body: B,
    }

    /// Names an ask for a right; unique to the asking run.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct AskId(pub u64);

    /// Names a loan; unique to the lending run.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct LoanId(pub u64);

    /// Moved and total arrivals of the window before the present one.
    #[derive(Default)]
    pub struct ShiftCounts {
        /// All arrivals.
        pub total: u32,
        /// Moved arrivals by the other region.
        pub moved: Vec<(RegionId, u32)>,
    }

    /// An instance's load, for the others of its region and for spills.
    pub struct LoadDigest {
        /// The sender's region.
        pub region: RegionId,
        /// Rights without work, by service.
        pub spare: Vec<(ServiceId, u16)>,
        /// Arrivals handed to other regions.
        pub leaving: ShiftCounts,
        /// Arrivals from other regions.
        pub entering: ShiftCounts,
    }

    /// What one entry process says to another.
    pub enum EntryMessage {
        /// Wants a right of `service` for `term`, and would wait `wait` for it.
        Ask {
            /// Names the ask.
            ask: AskId,
            /// The service.
            service: ServiceId,
            /// How long the right would be used.
            term: Duration,
            /// How long the ask stays useful.
            wait: Duration,
        },
        /// Lends a right; the receiver counts the term from when it asked.
        Grant {
            /// The ask.
            ask: AskId,
            /// Names the loan.
            loan: LoanId,
            /// The backend server whose slot is lent.
            server: BackendServerId,
            /// How long.
            term: Duration,
        },
        /// The ask isn't needed any more.
        Withdraw {
            /// The ask.
            ask: AskId,
        },
        /// Gives a lent right back.
        Return {
            /// The loan.
            loan: LoanId,
        },
        /// The sender's load.
        Load(LoadDigest),
    }
}
