/// A kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    /// A daemon is killed and started again.
    KillDaemon,
    /// A daemon is stopped from running for a while.
    PauseDaemon,
    /// A daemon is asked to end.
    DrainDaemon,
    /// A data centre's way to the key-value service is cut.
    CutPlatform,
    /// A data centre is cut off from the other data centres and from the platform.
    CutDataCentre,
    /// The way to an endpoint is cut.
    CutEndpoint,
    /// The key-value service refuses or holds every call, or is slow.
    KeyValueOutage,
    /// Answers of the key-value service are lost after writes took effect.
    KeyValueLostAnswers,
    /// The key-value service goes back to older data.
    KeyValueRollback,
    /// An engine is killed and started again.
    KillEngine,
    /// An engine is stopped from running for a while.
    PauseEngine,
    /// An engine crashes in the middle of the next change.
    CrashInChange,
    /// An engine answers with parts of another answer, or loses answers to orders.
    CrossedAnswers,
    /// A plain service breaks connections before or after its effect.
    PlainFailures,
    /// Two operators change the configuration at the same time.
    Operators,
    /// An engine says that it leaves, and ends later.
    LeavingEngine,
    /// The VM list says that an engine's VM leaves; it ends later.
    LeavingVm,
}

impl Kind {
    /// Every kind.
    pub(crate) const ALL: [Self; 17] = [
        Self::KillDaemon,
        Self::PauseDaemon,
        Self::DrainDaemon,
        Self::CutPlatform,
        Self::CutDataCentre,
        Self::CutEndpoint,
        Self::KeyValueOutage,
        Self::KeyValueLostAnswers,
        Self::KeyValueRollback,
        Self::KillEngine,
        Self::PauseEngine,
        Self::CrashInChange,
        Self::CrossedAnswers,
        Self::PlainFailures,
        Self::Operators,
        Self::LeavingEngine,
        Self::LeavingVm,
    ];

    /// Returns the word for the command line.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::KillDaemon => "kill-daemon",
            Self::PauseDaemon => "pause-daemon",
            Self::DrainDaemon => "drain-daemon",
            Self::CutPlatform => "cut-platform",
            Self::CutDataCentre => "cut-data-centre",
            Self::CutEndpoint => "cut-endpoint",
            Self::KeyValueOutage => "key-value-outage",
            Self::KeyValueLostAnswers => "key-value-lost-answers",
            Self::KeyValueRollback => "key-value-rollback",
            Self::KillEngine => "kill-engine",
            Self::PauseEngine => "pause-engine",
            Self::CrashInChange => "crash-in-change",
            Self::CrossedAnswers => "crossed-answers",
            Self::PlainFailures => "plain-failures",
            Self::Operators => "operators",
            Self::LeavingEngine => "leaving-engine",
            Self::LeavingVm => "leaving-vm",
        }
    }
}

/// What a failure has hold of; one failure at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Target {
    /// A daemon, by data centre and number.
    Daemon(usize, usize),
    /// An engine, by data centre and number.
    Engine(usize, usize),
    /// A plain endpoint, by data centre and number.
    Plain(usize, usize),
    /// A data centre's way to the platform and to other data centres.
    Platform(usize),
    /// The key-value service.
    KeyValue,
    /// The configuration.
    Configuration,
}
