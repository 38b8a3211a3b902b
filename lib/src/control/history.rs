use std::collections::VecDeque;

use ragwortgrade_policy::authority::Conclusion;
use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::Want;

/// Orders retained for operators; at 99 replaced VMs a day this covers more than a day.
const RECORDS_MAX: usize = 512;

/// State of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The order is being prepared or sent, or its outcome is being read from the engine.
    Open,
    /// The order has ended with this result.
    Ended(Conclusion),
}

/// One order for a change that this daemon decided on. Orders that only announce a fencing token
/// are not recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Unix time of the decision in milliseconds.
    pub at_ms: u64,
    /// Engine that was ordered to change.
    pub engine: Name,
    /// Role, models and adapters before the change.
    pub from: Want,
    /// Role, models and adapters after the change.
    pub to: Want,
    /// The planner's reason, for operators.
    pub reason: String,
    /// Fencing token of the lease under which the change was decided.
    pub fence: u64,
    /// State of the order.
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

    /// Records the result of the open order of `engine`.
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
