use ragwortgrade_policy::gateway::{CachedPart, EngineWork};
use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

use super::endpoint_index::EndpointIndex;

/// Work of one daemon on the engines, sent to other daemons in one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct LoadUpdate {
    pub(super) sender: Sender,
    /// Sequence number of the datagram among those of the process; a datagram that is not newer
    /// than the last one is ignored.
    pub(super) sequence: u64,
    /// Work per engine.
    loads: Vec<EngineLoad>,
    /// Shared prompt parts sent to engines since the previous datagram: number of the engine, ID of
    /// the part.
    parts: Vec<(u32, u64)>,
}

/// Daemon process that sends load updates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Sender {
    pub(super) daemon: Name,
    /// Start time of the process, in Unix ms.
    pub(super) started_ms: u64,
}

/// Work of one daemon on one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct EngineLoad {
    /// Number of the engine in the [`EndpointIndex`].
    engine: u32,
    /// Prefill work in progress, for the priorities that have any.
    prefills: Vec<PriorityLoad>,
    sequences: u32,
    /// Expected time until the last of the prefills ends, in ms.
    busy_ms: Option<u32>,
}

/// Prefill work in progress with one priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PriorityLoad {
    priority: u8,
    /// All of it, in ms of engine time.
    prefill_ms: u32,
    /// Longest single prefill, in ms of engine time.
    longest_ms: u32,
}

impl EngineLoad {
    fn new(engine: &Name, work: &EngineWork) -> Self {
        let levels = work.prefill_ms.iter().zip(work.longest_ms).enumerate();
        let prefills = levels.filter(|(_, (prefill_ms, _))| **prefill_ms > 0.0);
        let prefills = prefills.map(|(priority, (prefill_ms, longest_ms))| PriorityLoad {
            priority: priority as u8,
            prefill_ms: prefill_ms.round() as u32,
            longest_ms: longest_ms.round() as u32,
        });
        Self {
            engine: EndpointIndex::number(engine),
            prefills: prefills.collect(),
            sequences: work.sequences,
            busy_ms: work.busy_ms.map(|millis| millis.round() as u32),
        }
    }

    fn work(&self) -> EngineWork {
        let mut work = EngineWork {
            sequences: self.sequences,
            busy_ms: self.busy_ms.map(f64::from),
            ..EngineWork::default()
        };
        for prefill in &self.prefills {
            let priority = usize::from(prefill.priority);
            if let Some(prefill_ms) = work.prefill_ms.get_mut(priority) {
                *prefill_ms = f64::from(prefill.prefill_ms);
                work.longest_ms[priority] = f64::from(prefill.longest_ms);
            }
        }
        work
    }
}

impl LoadUpdate {
    pub(super) fn new(
        sender: Sender,
        sequence: u64,
        loads: &[(Name, EngineWork)],
        parts: &[CachedPart],
    ) -> Self {
        let loads = loads
            .iter()
            .map(|(engine, work)| EngineLoad::new(engine, work));
        let parts = parts.iter();
        let parts = parts.map(|cached| (EndpointIndex::number(&cached.engine), cached.part));
        Self {
            sender,
            sequence,
            loads: loads.collect(),
            parts: parts.collect(),
        }
    }

    /// Returns the parts on engines for which `find` returns an identity.
    pub(super) fn parts(&self, mut find: impl FnMut(u32) -> Option<Name>) -> Vec<CachedPart> {
        let parts = self.parts.iter().filter_map(|(number, part)| {
            let engine = find(*number)?;
            Some(CachedPart {
                engine,
                part: *part,
            })
        });
        parts.collect()
    }

    /// Returns the work on engines for which `find` returns an identity.
    pub(super) fn loads(
        &self,
        mut find: impl FnMut(u32) -> Option<Name>,
    ) -> Vec<(Name, EngineWork)> {
        let loads = self.loads.iter();
        let loads = loads.filter_map(|load| Some((find(load.engine)?, load.work())));
        loads.collect()
    }
}
