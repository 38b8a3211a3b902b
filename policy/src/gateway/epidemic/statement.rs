use std::time::Duration;

use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::Xxh3;

use crate::Instant;
use crate::gateway::{DepartureReport, KeyChanges, LostRun, RateReport, RegistrationBatch};

/// Time by which a renewed statement must be later than the known one to be told again. Daemons
/// that observe the same thing within that time tell it once.
const RENEWAL_TIME: Duration = Duration::from_secs(2);

/// The same for reads of the registrations.
const READ_RENEWAL_TIME: Duration = Duration::from_millis(200);

/// Something that a daemon tells the others.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A run was lost when its endpoint crashed.
    LostRun(LostRun),
    /// An output began, so that an identity that was suspected does not crash endpoints.
    Begun {
        /// Identity of a shared part or a content.
        identity: u64,
        /// When the output began.
        at: Instant,
    },
    /// Limit of an endpoint, and the requests that one daemon has sent to it.
    Rate {
        /// Daemon that sent the requests.
        daemon: Name,
        /// Start of its process, in Unix ms.
        started_ms: u64,
        /// Number of this statement among those of the process.
        version: u64,
        /// Limit and number of requests.
        report: RateReport,
    },
    /// An endpoint said in a response that it leaves.
    Departure(DepartureReport),
    /// Changes of registrations.
    Registrations(RegistrationBatch),
    /// The store answered a call after an outage.
    StoreAnswered {
        /// When the call was sent.
        at: Instant,
    },
    /// Newest version of the configuration.
    Catalog {
        /// The version.
        version: u64,
        /// When there was no newer one.
        read_at: Instant,
    },
    /// Changes of keys that a version of the configuration made.
    Keys(KeyChanges),
}

/// What is remembered of a statement that was told.
#[derive(Clone, Copy, Debug)]
pub(super) struct Told {
    at: Instant,
    version: u64,
    /// Whether a daemon that was told the statement and does not hold it has no use for it.
    pub(super) is_settled: bool,
}

impl Statement {
    /// Returns what tells this statement apart from others in a [`Digest`](super::Digest): two
    /// daemons that hold the same ones need not tell each other anything.
    #[must_use]
    pub fn id(&self) -> u64 {
        match self {
            Self::Rate { report, .. } => {
                let per_second = report.per_second.map_or(u64::MAX, f64::to_bits);
                hash(3, &report.endpoint, &[per_second])
            }
            _ => self.key(),
        }
    }

    /// Returns when what the statement says was observed.
    #[must_use]
    pub const fn at(&self) -> Instant {
        match self {
            Self::LostRun(run) => run.at,
            Self::Begun { at, .. } | Self::StoreAnswered { at } => *at,
            Self::Rate { report, .. } => report.named_at,
            Self::Departure(report) => report.said_at,
            Self::Registrations(batch) => batch.read_at,
            Self::Catalog { read_at, .. } => *read_at,
            Self::Keys(changes) => changes.applied_at,
        }
    }

    /// Returns the group of statements that may share a message with this one. Each kind that daemons
    /// of earlier builds cannot read has messages of its own.
    pub(super) const fn message_group(&self) -> u8 {
        match self {
            Self::Catalog { .. } => 2,
            Self::Keys(_) => 1,
            _ => 0,
        }
    }

    /// Returns the size of the registrations in this statement, in bytes; other statements are small.
    pub(super) fn registration_bytes(&self) -> usize {
        match self {
            Self::Registrations(batch) => batch.size(),
            _ => 0,
        }
    }

    /// Returns what this statement has in common with those that it replaces.
    pub(super) fn key(&self) -> u64 {
        match self {
            // The parts of a run that were cleared are missing at some daemons.
            Self::LostRun(run) => match run.content {
                Some(content) => hash(0, &run.endpoint, &[run.endpoint_started_ms, content]),
                None => hash(1, &run.endpoint, &run.parts),
            },
            Self::Begun { identity, .. } => hash(2, "", &[*identity]),
            Self::Rate {
                daemon,
                started_ms,
                report,
                ..
            } => hash(hash(4, daemon, &[*started_ms]), &report.endpoint, &[]),
            Self::Departure(report) => {
                let started_ms = report.started_ms.unwrap_or_default();
                hash(5, &report.endpoint, &[started_ms])
            }
            Self::Registrations(batch) => {
                let era = batch.era.unwrap_or(u64::MAX);
                let source = batch.source as u64;
                hash(6, "", &[source, era, batch.after, batch.revision])
            }
            Self::StoreAnswered { .. } => hash(7, "", &[]),
            Self::Catalog { version, .. } => hash(9, "", &[*version]),
            Self::Keys(changes) => {
                let part = u64::from(changes.part);
                hash(8, "", &[changes.version, changes.after, part])
            }
        }
    }

    pub(super) const fn told(&self) -> Told {
        let version = match self {
            Self::Rate { version, .. } => *version,
            _ => 0,
        };
        Told {
            at: self.at(),
            version,
            is_settled: !matches!(self, Self::Departure(_)),
        }
    }

    /// Returns whether daemons that were told the other statement with this key should be told
    /// this one, too.
    pub(super) fn renews(&self, told: &Told) -> bool {
        match self {
            Self::LostRun(_) | Self::Keys(_) => false,
            Self::Rate { version, .. } => *version > told.version,
            Self::Begun { .. } | Self::Departure(_) | Self::StoreAnswered { .. } => {
                self.at() > told.at + RENEWAL_TIME
            }
            // That nothing has changed is told again after each read.
            Self::Registrations(_) | Self::Catalog { .. } => {
                self.at() > told.at + READ_RENEWAL_TIME
            }
        }
    }

    /// Returns whether the same statement has no effect when it is merged again, apart from
    /// renewing it. A lost run that was cleared must not come back, and an older number of sent
    /// requests must not replace a newer one.
    pub(super) const fn is_idempotent(&self) -> bool {
        matches!(self, Self::Begun { .. } | Self::Departure(_))
    }
}

fn hash(seed: u64, name: &str, numbers: &[u64]) -> u64 {
    let mut hasher = Xxh3::with_seed(seed);
    hasher.update(name.as_bytes());
    for number in numbers {
        hasher.update(&number.to_le_bytes());
    }
    hasher.digest()
}
