use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::job::Job;

/// Simulated worker of plain services.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    waiting: BTreeMap<(Reverse<u8>, u64), Job>,
    running: u32,
    submitted: u64,
}

impl Worker {
    pub(crate) fn submit(&mut self, job: Job) {
        self.submitted += 1;
        self.waiting
            .insert((Reverse(job.priority), self.submitted), job);
    }

    /// Starts the next waiting call if fewer than `limit` calls are running.
    pub(crate) fn start(&mut self, limit: u32) -> Option<Job> {
        if self.running >= limit {
            return None;
        }
        let (_, job) = self.waiting.pop_first()?;
        self.running += 1;
        Some(job)
    }

    pub(crate) fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}
