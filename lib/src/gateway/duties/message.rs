use ragwortgrade_policy::gateway::duties::{TenantCounts, WindowCounts};
use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

/// First bytes of these datagrams. Neither news nor a load update begins with them: the mark of news
/// differs in the last byte, and they are no valid length of a name.
const MARK: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xfe];
/// Maximum number of windows, of fixed reports and of tenants of one, in a datagram that is accepted.
const WINDOWS_MAX: usize = 64;
const TENANTS_MAX: usize = 2_048;

/// Counts by tenant, as they are sent.
type Counts = Vec<(Name, u64)>;

/// Datagram between a daemon and the candidates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::gateway) struct Message {
    /// Daemon that sends the message.
    pub(super) daemon: Name,
    /// Highest fencing token that it knows of.
    pub(super) token: u64,
    /// Unix time in ms: of the sender's system clock in a report, and the median of all clocks in an
    /// answer.
    pub(super) unix_ms: u64,
    pub(super) body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Body {
    /// Counts of a daemon.
    Report(Report),
    /// A candidate's answer to a report.
    Answer {
        /// Number of clocks of which the median is sent.
        clocks: u32,
        /// The holder, as the candidate knows it.
        holder: Option<Name>,
    },
    /// Contents of usage reports that the holder has fixed.
    Fixed {
        contents: Vec<(u64, Counts)>,
        /// Window up to which the platform has accepted the reports.
        accepted: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Report {
    /// Start of the sender's process, in Unix ms.
    pub(super) started_ms: u64,
    windows: Vec<(u64, Counts, bool)>,
    pub(super) demand: Option<Vec<u8>>,
}

impl Report {
    pub(super) fn new(started_ms: u64, windows: &[WindowCounts], demand: Option<Vec<u8>>) -> Self {
        let windows = windows
            .iter()
            .map(|it| (it.window, to_list(&it.counts), it.is_final));
        Self {
            started_ms,
            windows: windows.collect(),
            demand,
        }
    }

    pub(super) fn windows(&self) -> impl Iterator<Item = WindowCounts> {
        self.windows
            .iter()
            .map(|(window, counts, is_final)| WindowCounts {
                window: *window,
                counts: counts.iter().cloned().collect(),
                is_final: *is_final,
            })
    }
}

impl Message {
    /// Returns whether a datagram is one of these.
    pub(in crate::gateway) fn is_in(datagram: &[u8]) -> bool {
        datagram.starts_with(&MARK)
    }

    /// Returns the datagram, or an error if the message cannot be encoded.
    pub(super) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, MARK.to_vec())
    }

    /// Parses a datagram; `None` if it is not complete, or claims more than daemons send. Bytes after
    /// the message are ignored, so that later versions can append to it.
    pub(super) fn decode(datagram: &[u8]) -> Option<Self> {
        let bytes = datagram.strip_prefix(&MARK)?;
        let (message, _) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        let is_plausible = match &message.body {
            Body::Report(report) => {
                report.windows.len() <= WINDOWS_MAX
                    && report.windows.iter().all(|it| it.1.len() <= TENANTS_MAX)
            }
            Body::Answer { .. } => true,
            Body::Fixed { contents, .. } => {
                contents.len() <= WINDOWS_MAX && contents.iter().all(|it| it.1.len() <= TENANTS_MAX)
            }
        };
        is_plausible.then_some(message)
    }
}

/// Returns counts as they are sent.
pub(super) fn to_list(counts: &TenantCounts) -> Counts {
    let counts = counts.iter();
    counts
        .map(|(tenant, count)| (tenant.clone(), *count))
        .collect()
}
