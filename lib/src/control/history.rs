use std::collections::VecDeque;

use ragwortgrade_policy::authority::Conclusion;
use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::Want;

/// Orders kept for operators; at 99 replaced VMs a day this covers more than a day.
const RECORDS_MAX: usize = 512;

/// How an order ended, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is being prepared, sent or read back.
    Open,
    /// It ended.
    Ended(Conclusion),
}

/// One order that this daemon decided on.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Unix time of the decision in milliseconds.
    pub at_ms: u64,
    /// The engine.
    pub engine: Name,
    /// What the engine was.
    pub from: Want,
    /// What it should become.
    pub to: Want,
    /// Why.
    pub reason: String,
    /// Fencing token of the lease under which the decision was made.
    pub fence: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// The recent orders of one daemon.
#[derive(Clone, Debug, Default)]
pub struct History {
    records: VecDeque<Record>,
}

impl History {
    pub(super) fn begin(&mut self, record: Record) {
        if self.records.len() == RECORDS_MAX {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Notes how the open order of `engine` ended.
    pub(super) fn end(&mut self, engine: &Name, conclusion: Conclusion) {
        let is_open =
            |record: &&mut Record| record.engine == *engine && record.outcome == Outcome::Open;
        if let Some(record) = self.records.iter_mut().rev().find(is_open) {
            record.outcome = Outcome::Ended(conclusion);
        }
    }

    /// Returns the records, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.records.iter().cloned().collect()
    }
}
