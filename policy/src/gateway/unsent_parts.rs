use ragwortgrade_schema::Name;

use super::Part;

/// Maximum number of unsent parts; more would not fit in one datagram and are not reported.
const UNSENT_PARTS_MAX: usize = 48;

/// A shared part that was sent to an engine, which caches it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Engine that holds the part.
    pub engine: Name,
    /// Identity of the part.
    pub part: u64,
}

/// Shared parts that have not been reported to other daemons yet.
///
/// The daemons of a small fleet receive all parts. In a large fleet, daemons of other data centres
/// receive only the long ones.
#[derive(Debug, Default)]
pub(super) struct UnsentParts {
    /// All parts, for the daemons of this data centre or of a small fleet.
    local: Vec<CachedPart>,
    /// Long parts, for the daemons of other data centres in a large fleet.
    remote: Vec<CachedPart>,
}

impl UnsentParts {
    /// Records a part that this daemon sent to an engine.
    pub(super) fn record(&mut self, engine: &Name, part: &Part) {
        let cached = CachedPart {
            engine: engine.clone(),
            part: part.id,
        };
        if part.is_long() {
            push(&mut self.remote, cached.clone());
        }
        push(&mut self.local, cached);
    }

    pub(super) fn has_local(&self) -> bool {
        !self.local.is_empty()
    }

    pub(super) fn has_remote(&self) -> bool {
        !self.remote.is_empty()
    }

    pub(super) fn take_local(&mut self) -> Vec<CachedPart> {
        std::mem::take(&mut self.local)
    }

    pub(super) fn take_remote(&mut self) -> Vec<CachedPart> {
        std::mem::take(&mut self.remote)
    }
}

fn push(parts: &mut Vec<CachedPart>, cached: CachedPart) {
    if parts.len() < UNSENT_PARTS_MAX && !parts.contains(&cached) {
        parts.push(cached);
    }
}
