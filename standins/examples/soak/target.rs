/// Kind of failure to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    /// A daemon is killed and restarted.
    KillDaemon,
    /// A daemon is paused.
    PauseDaemon,
    /// A daemon gets SIGTERM and drains.
    DrainDaemon,
    /// A data centre's connections to the key-value service are cut.
    CutPlatform,
    /// A data centre's connections to the other data centres and to the key-value service are cut.
    CutDataCentre,
    /// The connections to an engine are cut.
    CutEndpoint,
    /// The key-value service refuses or holds every call, or is slow.
    KeyValueOutage,
    /// Responses of the key-value service to writes are lost.
    KeyValueLostAnswers,
    /// The key-value service reverts to older data.
    KeyValueRollback,
    /// An engine is killed and restarted.
    KillEngine,
    /// An engine is paused.
    PauseEngine,
    /// An engine crashes in the middle of its next change of role or models.
    CrashInChange,
    /// An engine mixes up answers and loses responses to orders.
    CrossedAnswers,
    /// A plain service breaks connections before or after the effect of a call.
    PlainFailures,
    /// Two operators change the configuration concurrently.
    Operators,
    /// An engine reports that it is draining, and is restarted later.
    LeavingEngine,
    /// The VM list reports an engine's VM as leaving, and the engine is restarted later.
    LeavingVm,
}

impl Kind {
    /// All kinds.
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

    /// Returns the name on the command line.
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

/// Target of a failure, reserved for one failure at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Target {
    /// Daemon, by data centre and number.
    Daemon(usize, usize),
    /// Engine, by data centre and number.
    Engine(usize, usize),
    /// Endpoint of a plain service, by data centre and number.
    Plain(usize, usize),
    /// Connections of a data centre to the key-value service and to other data centres.
    Platform(usize),
    /// Key-value service.
    KeyValue,
    /// Configuration document.
    Configuration,
}
