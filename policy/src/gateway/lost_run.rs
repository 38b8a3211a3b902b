use ragwortgrade_schema::Name;

use crate::Instant;

/// A run that an endpoint lost in a crash before its output had begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// Endpoint that crashed.
    pub endpoint: Name,
    /// Unix time of its start in ms, which tells its crashes apart; 0 if not known.
    pub endpoint_started_ms: u64,
    /// When the run was lost.
    pub at: Instant,
    /// Shared parts of the prompt that may have caused the crash, in the order of the prompt.
    pub parts: Vec<u64>,
    /// Content of the request, if it may have caused the crash.
    pub content: Option<u64>,
}

impl LostRun {
    /// Returns the identities that may have caused the crash, the most specific one last.
    pub(super) fn suspects(&self) -> impl DoubleEndedIterator<Item = u64> {
        self.parts.iter().copied().chain(self.content)
    }

    /// Removes an identity from the suspects.
    pub(super) fn clear(&mut self, identity: u64) {
        self.parts.retain(|part| *part != identity);
        self.content = self.content.filter(|content| *content != identity);
    }

    /// Returns whether both are the same run, of which one daemon may have cleared more suspects.
    pub(super) fn is_same_run(&self, other: &Self) -> bool {
        let has_same_content = self.content.is_some() && self.content == other.content;
        self.is_same_crash(other) && (has_same_content || self.suspects().eq(other.suspects()))
    }

    pub(super) fn is_same_crash(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.endpoint_started_ms == other.endpoint_started_ms
    }
}
