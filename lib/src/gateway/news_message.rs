use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::{Digest, Message, Statement};
use ragwortgrade_policy::gateway::{
    ChangesRequest, DepartureReport, KeyChange, KeyChanges, KeyDigest, LostRun, RateReport,
    RegistrationBatch, RegistrationChange, RegistrationContent, RegistrationSource,
};
use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

/// First bytes of these datagrams. A load update never begins with them, as they are no valid
/// length of a name.
const MARK: [u8; 10] = [0xff; 10];
/// Maximum number of statements, and of IDs, in a datagram that is accepted.
const STATEMENTS_MAX: usize = 64;
const IDS_MAX: usize = 1_024;

/// Datagram about what daemons tell each other beside their loads. Daemons do not share a clock, so
/// times are sent as ages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct NewsMessage {
    /// Daemon that sends the message.
    pub(super) daemon: Name,
    body: Body,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Body {
    Digest {
        count: u32,
        sum: u64,
    },
    Held(Vec<u64>),
    Wanted(Vec<u64>),
    Statements(Vec<Report>),
    Changes {
        source: Source,
        era: Option<u64>,
        after: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Report {
    LostRun {
        endpoint: Name,
        endpoint_started_ms: u64,
        age_ms: u32,
        parts: Vec<u64>,
        content: Option<u64>,
    },
    Begun {
        identity: u64,
        age_ms: u32,
    },
    Rate {
        daemon: Name,
        started_ms: u64,
        version: u64,
        endpoint: Name,
        /// Requests per second for all daemons together; `None` if the limit was lifted.
        per_second: Option<f64>,
        /// Time since a response last named or lifted the limit, in ms.
        age_ms: u32,
        sent: u32,
    },
    Departure {
        endpoint: Name,
        /// Start of the process, in Unix ms, if it is known.
        started_ms: Option<u64>,
        /// Time since its last response that said so, in ms.
        age_ms: u32,
    },
    Registrations {
        source: Source,
        era: Option<u64>,
        after: u64,
        revision: u64,
        age_ms: u32,
        changes: Vec<Change>,
        is_vouched: bool,
    },
    StoreAnswered {
        age_ms: u32,
    },
    Keys {
        version: u64,
        after: u64,
        part: u32,
        age_ms: u32,
        keys: Vec<Key>,
    },
    Catalog {
        version: u64,
        age_ms: u32,
    },
}

/// Change of one key, of which only the SHA-256 digest is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Key {
    digest: [u8; 32],
    tenant: Name,
    rank: Option<u8>,
    is_removed: bool,
}

/// Whose registrations were read.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Source {
    Endpoints,
    Daemons,
}

/// Change of one registration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Change {
    key: Name,
    revision: u64,
    content: Content,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Content {
    Written(Vec<u8>),
    Unreadable,
    Removed,
}

impl NewsMessage {
    /// Returns whether a datagram is one of these.
    pub(super) fn is_in(datagram: &[u8]) -> bool {
        datagram.starts_with(&MARK)
    }

    pub(super) fn new(daemon: Name, message: Message, now: Instant) -> Self {
        let body = match message {
            Message::Digest(Digest { count, sum }) => Body::Digest { count, sum },
            Message::Held(ids) => Body::Held(ids),
            Message::Wanted(ids) => Body::Wanted(ids),
            Message::Statements(statements) => {
                let reports = statements.into_iter().map(|it| Report::new(it, now));
                Body::Statements(reports.collect())
            }
            Message::Changes(request) => Body::Changes {
                source: Source::from(request.source),
                era: request.era,
                after: request.after,
            },
        };
        Self { daemon, body }
    }

    pub(super) fn into_message(self, now: Instant) -> Message {
        match self.body {
            Body::Digest { count, sum } => Message::Digest(Digest { count, sum }),
            Body::Held(ids) => Message::Held(ids),
            Body::Wanted(ids) => Message::Wanted(ids),
            Body::Statements(reports) => {
                let statements = reports.into_iter().map(|it| it.into_statement(now));
                Message::Statements(statements.collect())
            }
            Body::Changes { source, era, after } => Message::Changes(ChangesRequest {
                source: source.into(),
                era,
                after,
            }),
        }
    }

    /// Returns the datagram, or an error if the message cannot be encoded.
    pub(super) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, MARK.to_vec())
    }

    /// Parses a datagram; `None` if it is not complete, goes on after the message, or claims more
    /// than daemons send.
    pub(super) fn decode(datagram: &[u8]) -> Option<Self> {
        let bytes = datagram.strip_prefix(&MARK)?;
        let (message, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        let is_plausible = match &message.body {
            Body::Digest { .. } | Body::Changes { .. } => true,
            Body::Held(ids) | Body::Wanted(ids) => ids.len() <= IDS_MAX,
            Body::Statements(reports) => reports.len() <= STATEMENTS_MAX,
        };
        (is_plausible && rest.is_empty()).then_some(message)
    }
}

impl Report {
    fn new(statement: Statement, now: Instant) -> Self {
        let age_ms = |at: Instant| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        match statement {
            Statement::LostRun(run) => Self::LostRun {
                endpoint: run.endpoint,
                endpoint_started_ms: run.endpoint_started_ms,
                age_ms: age_ms(run.at),
                parts: run.parts,
                content: run.content,
            },
            Statement::Begun { identity, at } => Self::Begun {
                identity,
                age_ms: age_ms(at),
            },
            Statement::Rate {
                daemon,
                started_ms,
                version,
                report,
            } => Self::Rate {
                daemon,
                started_ms,
                version,
                endpoint: report.endpoint,
                per_second: report.per_second,
                age_ms: age_ms(report.named_at),
                sent: report.sent,
            },
            Statement::Departure(report) => Self::Departure {
                endpoint: report.endpoint,
                started_ms: report.started_ms,
                age_ms: age_ms(report.said_at),
            },
            Statement::Registrations(batch) => Self::Registrations {
                source: batch.source.into(),
                era: batch.era,
                after: batch.after,
                revision: batch.revision,
                age_ms: age_ms(batch.read_at),
                changes: batch.changes.into_iter().map(Change::from).collect(),
                is_vouched: batch.is_vouched,
            },
            Statement::StoreAnswered { at } => Self::StoreAnswered { age_ms: age_ms(at) },
            Statement::Catalog { version, read_at } => Self::Catalog {
                version,
                age_ms: age_ms(read_at),
            },
            Statement::Keys(changes) => Self::Keys {
                version: changes.version,
                after: changes.after,
                part: changes.part,
                age_ms: age_ms(changes.applied_at),
                keys: changes.changes.into_iter().map(Key::from).collect(),
            },
        }
    }

    fn into_statement(self, now: Instant) -> Statement {
        let at = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
        match self {
            Self::LostRun {
                endpoint,
                endpoint_started_ms,
                age_ms,
                parts,
                content,
            } => Statement::LostRun(LostRun {
                endpoint,
                endpoint_started_ms,
                at: at(age_ms),
                parts,
                content,
            }),
            Self::Begun { identity, age_ms } => Statement::Begun {
                identity,
                at: at(age_ms),
            },
            Self::Rate {
                daemon,
                started_ms,
                version,
                endpoint,
                per_second,
                age_ms,
                sent,
            } => Statement::Rate {
                daemon,
                started_ms,
                version,
                report: RateReport {
                    endpoint,
                    per_second,
                    named_at: at(age_ms),
                    sent,
                },
            },
            Self::Departure {
                endpoint,
                started_ms,
                age_ms,
            } => Statement::Departure(DepartureReport {
                endpoint,
                started_ms,
                said_at: at(age_ms),
            }),
            Self::Registrations {
                source,
                era,
                after,
                revision,
                age_ms,
                changes,
                is_vouched,
            } => Statement::Registrations(RegistrationBatch {
                source: source.into(),
                era,
                after,
                revision,
                read_at: at(age_ms),
                is_vouched,
                changes: changes.into_iter().map(RegistrationChange::from).collect(),
            }),
            Self::StoreAnswered { age_ms } => Statement::StoreAnswered { at: at(age_ms) },
            Self::Catalog { version, age_ms } => Statement::Catalog {
                version,
                read_at: at(age_ms),
            },
            Self::Keys {
                version,
                after,
                part,
                age_ms,
                keys,
            } => Statement::Keys(KeyChanges {
                version,
                after,
                part,
                applied_at: at(age_ms),
                changes: keys.into_iter().map(KeyChange::from).collect(),
            }),
        }
    }
}

impl From<RegistrationSource> for Source {
    fn from(source: RegistrationSource) -> Self {
        match source {
            RegistrationSource::Endpoints => Self::Endpoints,
            RegistrationSource::Daemons => Self::Daemons,
        }
    }
}

impl From<Source> for RegistrationSource {
    fn from(source: Source) -> Self {
        match source {
            Source::Endpoints => Self::Endpoints,
            Source::Daemons => Self::Daemons,
        }
    }
}

impl From<KeyChange> for Key {
    fn from(change: KeyChange) -> Self {
        Self {
            digest: *change.digest.as_bytes(),
            tenant: change.tenant,
            rank: change.rank,
            is_removed: change.is_removed,
        }
    }
}

impl From<Key> for KeyChange {
    fn from(key: Key) -> Self {
        Self {
            digest: KeyDigest::new(key.digest),
            tenant: key.tenant,
            rank: key.rank,
            is_removed: key.is_removed,
        }
    }
}

impl From<RegistrationChange> for Change {
    fn from(change: RegistrationChange) -> Self {
        Self {
            key: change.key,
            revision: change.revision,
            content: match change.content {
                RegistrationContent::Written(value) => Content::Written(value),
                RegistrationContent::Unreadable => Content::Unreadable,
                RegistrationContent::Removed => Content::Removed,
            },
        }
    }
}

impl From<Change> for RegistrationChange {
    fn from(change: Change) -> Self {
        Self {
            key: change.key,
            revision: change.revision,
            content: match change.content {
                Content::Written(value) => RegistrationContent::Written(value),
                Content::Unreadable => RegistrationContent::Unreadable,
                Content::Removed => RegistrationContent::Removed,
            },
        }
    }
}
