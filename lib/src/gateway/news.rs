use ragwortgrade_policy::gateway::{RANKS, Share};
use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};

/// What a daemon tells the others, in one datagram.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct News {
    /// Daemon that tells.
    pub(super) daemon: Name,
    /// Start of its process, in Unix ms.
    pub(super) started_ms: u64,
    /// Number of the datagram; a lower one is late.
    pub(super) sequence: u64,
    /// Its own work on the engines.
    pub(super) shares: Vec<Row>,
    /// Shared parts of prompts that it sent to engines since the datagram before.
    pub(super) parts: Vec<(Name, u64)>,
}

/// Work on one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Row {
    engine: Name,
    /// Prompts that are being read, in ms of the engine's time, for each rank.
    prefill_ms: [u32; RANKS],
    /// Longest single prompt of each rank, in the same unit.
    longest_ms: [u32; RANKS],
    sequences: u32,
}

impl News {
    pub(super) fn new(
        daemon: Name,
        started_ms: u64,
        sequence: u64,
        shares: Vec<(Name, Share)>,
        parts: Vec<(Name, u64)>,
    ) -> Self {
        let shares = shares.into_iter().map(|(engine, share)| Row {
            engine,
            prefill_ms: share.prefill_ms.map(|millis| millis.round() as u32),
            longest_ms: share.longest_ms.map(|millis| millis.round() as u32),
            sequences: share.sequences,
        });
        Self {
            daemon,
            started_ms,
            sequence,
            shares: shares.collect(),
            parts,
        }
    }

    pub(super) fn shares(&self) -> Vec<(Name, Share)> {
        let rows = self.shares.iter().map(|row| {
            let share = Share {
                prefill_ms: row.prefill_ms.map(f64::from),
                longest_ms: row.longest_ms.map(f64::from),
                sequences: row.sequences,
            };
            (row.engine.clone(), share)
        });
        rows.collect()
    }
}
