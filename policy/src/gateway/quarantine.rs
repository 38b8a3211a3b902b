use std::collections::HashMap;
use std::time::Duration;

use super::epidemic::Statement;
use super::suspect::Suspect;
use super::{Evidence, Fingerprint, LostRun};
use crate::Instant;

/// Time for which an identity is refused after the last crash under it. The first crash after that
/// time renews the quarantine.
const QUARANTINE_TIME: Duration = Duration::from_mins(2);
/// Time for which a crash is evidence.
const EVIDENCE_TIME: Duration = Duration::from_mins(10);
/// Time after an output has begun within which crashes are not blamed on its shared parts.
const PROOF_TIME: Duration = Duration::from_secs(2);
/// Time for which it is remembered that an output has begun. Within it, the other daemons learn
/// that its identities do not crash endpoints.
const BEGIN_TIME: Duration = Duration::from_secs(30);
/// Maximum number of lost runs that are kept.
const LOST_RUNS_MAX: usize = 64;
/// Maximum number of parts that are kept for one lost run, the last ones of the prompt.
const PARTS_PER_RUN_MAX: usize = 8;
/// Maximum number of identities of outputs that have begun.
const BEGUN_MAX: usize = 4_096;
/// Maximum number of cleared identities of which other daemons are told.
const CLEARED_MAX: usize = 256;
/// Maximum number of statements that wait to be told.
const NEWS_MAX: usize = 512;

/// Shared parts of prompts, and contents of requests, that crash the endpoints that begin to answer
/// them.
///
/// A crash loses all runs on an endpoint, so each identity in the [`Fingerprint`] of a run without
/// output is a suspect. It is cleared when any run with it begins its output, and quarantined when
/// crashes of several endpoints are left unexplained. Of several suspects with such evidence the
/// most specific one is quarantined, which explains the crashes under the others: these are in more
/// requests. This is the greedy solution of a set cover (V. Chvátal, "A Greedy Heuristic for the
/// Set-Covering Problem", 1979), ordered by how specific a suspect is.
///
/// All daemons share their evidence and reach the same conclusions from it.
#[derive(Debug, Default)]
pub struct Quarantine {
    lost_runs: Vec<LostRun>,
    /// When an output with the identity last began.
    begun: HashMap<u64, Instant>,
    /// Cleared identities that peers or this daemon have suspected, the latest last.
    cleared: Vec<u64>,
    /// End of the quarantine of each identity.
    quarantined: HashMap<u64, Instant>,
    /// What other daemons should be told.
    news: Vec<Statement>,
}

impl Quarantine {
    /// Returns when the quarantine of a request ends, if it is in quarantine.
    #[must_use]
    pub fn ends_at(&self, fingerprint: &Fingerprint, now: Instant) -> Option<Instant> {
        let identities = fingerprint.identities();
        let ends = identities.filter_map(|it| self.quarantined.get(&it));
        ends.max().copied().filter(|end| *end > now)
    }

    /// Returns the identities in quarantine, in ascending order.
    #[must_use]
    pub fn identities(&self, now: Instant) -> Vec<u64> {
        let active = self.quarantined.iter().filter(|(_, end)| **end > now);
        let mut identities: Vec<u64> = active.map(|(identity, _)| *identity).collect();
        identities.sort_unstable();
        identities
    }

    /// Records that a request has begun its output.
    pub fn record_begin(&mut self, fingerprint: &Fingerprint, now: Instant) {
        for identity in &fingerprint.shared_parts {
            self.clear(*identity, now);
        }
        // Most contents come only once, so those that are no suspects are not remembered.
        let content = fingerprint.content;
        if self
            .lost_runs
            .iter()
            .any(|run| run.content == Some(content))
        {
            self.clear(content, now);
        }
    }

    /// Records a run that was lost when its endpoint crashed, before its output began.
    pub fn record_lost_run(&mut self, lost_run: LostRun, now: Instant) {
        if let Some(added) = self.add(lost_run) {
            self.tell(Statement::LostRun(added));
            self.conclude(now);
        }
    }

    /// Returns what other daemons should be told since the previous call.
    pub fn take_news(&mut self) -> Vec<Statement> {
        std::mem::take(&mut self.news)
    }

    /// Returns whether there is something that other daemons should be told.
    #[must_use]
    pub const fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns the evidence that other daemons may lack.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        let begun = self.cleared.iter();
        let begun = begun.filter_map(|identity| Some((*identity, *self.begun.get(identity)?)));
        Evidence {
            lost_runs: self.lost_runs.clone(),
            begun: begun.collect(),
        }
    }

    /// Adds the evidence of another daemon; its times are on this daemon's clock.
    pub fn merge(&mut self, evidence: Evidence, now: Instant) {
        for (identity, at) in evidence.begun.into_iter().take(CLEARED_MAX) {
            let known = self.begun.get(&identity);
            if known.is_none_or(|known| *known < at) {
                self.clear(identity, at.min(now));
            }
            self.hold_cleared(identity);
        }
        let mut is_changed = false;
        for mut lost_run in evidence.lost_runs.into_iter().take(LOST_RUNS_MAX) {
            lost_run.at = lost_run.at.min(now);
            is_changed |= self.add(lost_run).is_some();
        }
        if is_changed {
            self.conclude(now);
        }
    }

    /// Removes evidence that has expired.
    pub fn expire(&mut self, now: Instant) {
        self.lost_runs
            .retain(|run| now.since(run.at) < EVIDENCE_TIME);
        self.begun.retain(|_, at| now.since(*at) < BEGIN_TIME);
        self.cleared
            .retain(|identity| self.begun.contains_key(identity));
        self.conclude(now);
    }

    /// Removes an identity from the suspects of the crashes so far.
    fn clear(&mut self, identity: u64, at: Instant) {
        if self.begun.len() < BEGUN_MAX || self.begun.contains_key(&identity) {
            self.begun.insert(identity, at);
        }
        let mut is_suspect = false;
        for run in &mut self.lost_runs {
            if run.suspects().any(|it| it == identity) && is_proven(at, run) {
                run.clear(identity);
                is_suspect = true;
            }
        }
        if is_suspect {
            self.lost_runs.retain(|run| run.suspects().next().is_some());
            self.note_cleared(identity);
            self.conclude(at);
        }
    }

    /// Remembers that others should learn that an identity does not crash endpoints.
    fn note_cleared(&mut self, identity: u64) {
        self.hold_cleared(identity);
        if let Some(at) = self.begun.get(&identity).copied() {
            self.tell(Statement::Begun { identity, at });
        }
    }

    fn hold_cleared(&mut self, identity: u64) {
        self.cleared.retain(|it| *it != identity);
        self.cleared.push(identity);
        if self.cleared.len() > CLEARED_MAX {
            self.cleared.remove(0);
        }
    }

    fn tell(&mut self, statement: Statement) {
        if self.news.len() < NEWS_MAX {
            self.news.push(statement);
        }
    }

    /// Adds a lost run without the identities that are known to be sound, and returns what was
    /// added if it is new.
    fn add(&mut self, mut lost_run: LostRun) -> Option<LostRun> {
        let proven = lost_run.suspects().filter(|identity| {
            let begun = self.begun.get(identity);
            begun.is_some_and(|at| is_proven(*at, &lost_run))
        });
        let proven: Vec<u64> = proven.collect();
        for identity in proven {
            lost_run.clear(identity);
            if !self.cleared.contains(&identity) {
                self.note_cleared(identity);
            }
        }
        let surplus = lost_run.parts.len().saturating_sub(PARTS_PER_RUN_MAX);
        lost_run.parts.drain(..surplus);
        let is_known = |run: &LostRun| run.is_same_run(&lost_run);
        if lost_run.suspects().next().is_none() || self.lost_runs.iter().any(is_known) {
            return None;
        }
        self.lost_runs.push(lost_run.clone());
        if self.lost_runs.len() > LOST_RUNS_MAX {
            self.evict();
        }
        Some(lost_run)
    }

    /// Removes the oldest lost run, one that supports no quarantine if there is any.
    fn evict(&mut self) {
        let supports = |run: &LostRun| {
            let mut suspects = run.suspects();
            suspects.any(|it| self.quarantined.contains_key(&it))
        };
        let oldest = self.lost_runs.iter().enumerate();
        let oldest = oldest.min_by_key(|(_, run)| (supports(run), run.at));
        if let Some((index, _)) = oldest {
            self.lost_runs.swap_remove(index);
        }
    }

    /// Concludes from the evidence what is in quarantine.
    fn conclude(&mut self, now: Instant) {
        self.quarantined.clear();
        let mut unexplained: Vec<&LostRun> = self.lost_runs.iter().collect();
        while let Some(suspect) = Suspect::most_specific(&unexplained) {
            unexplained.retain(|run| !suspect.crashes.iter().any(|it| it.is_same_crash(run)));
            let end = suspect.last_crash + QUARANTINE_TIME;
            self.quarantined.insert(suspect.identity, end);
        }
        self.quarantined.retain(|_, end| *end > now);
    }
}

/// Returns whether an output that began at `begun` clears its identities of a crash.
fn is_proven(begun: Instant, lost_run: &LostRun) -> bool {
    lost_run.at <= begun + PROOF_TIME
}
