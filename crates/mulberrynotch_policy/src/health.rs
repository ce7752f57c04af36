//! Health signals of targets.

mulberrynotch_macros::data! {
    /// Health signal of a target.
    #[derive(Copy)]
    pub enum Observation {
        /// A load report. It may be outdated or wrong, so it is only a hint.
        Report {
            /// Requests and flows that the target reports as in progress, in percent of its
            /// capacity.
            load_percent: u32,
            /// Boot id; changes when the target restarts.
            boot: u64,
            /// True when the target reports that it is draining.
            leaving: bool,
        },
        /// The load report could not be fetched or parsed.
        NoReport,
        /// A connection attempt failed.
        Unreachable,
        /// An ICMP error was received for a datagram. Kept apart from a failed connection, because
        /// a target may close its listener and keep its flows.
        IcmpError,
        /// The target answered traffic.
        Answered,
        /// The target did not answer before the timeout.
        TimedOut,
        /// The target rejected a request or a flow because of overload.
        Shed,
    }
}
