use std::collections::BTreeMap;
use std::time::Duration;

use super::LostRun;
use crate::Instant;

/// Crashes of different endpoints after which an identity is quarantined.
const CRASHES_MIN: usize = 3;
/// Minimum time between the first and the last of these crashes. Endpoints that fail together, as
/// in a power failure, lose all their runs at once, whatever the requests hold.
const CRASH_SPAN_MIN: Duration = Duration::from_millis(250);

/// An identity under which enough endpoints crashed for a quarantine.
#[derive(Debug)]
pub(super) struct Suspect<'a> {
    pub(super) identity: u64,
    /// One lost run for each crash.
    pub(super) crashes: Vec<&'a LostRun>,
    pub(super) last_crash: Instant,
}

impl<'a> Suspect<'a> {
    /// Returns the suspect that is most often the most specific one of a request.
    pub(super) fn most_specific(lost_runs: &[&'a LostRun]) -> Option<Self> {
        let mut runs_by_identity: BTreeMap<u64, Vec<&LostRun>> = BTreeMap::new();
        for run in lost_runs {
            for identity in run.suspects() {
                runs_by_identity.entry(identity).or_default().push(run);
            }
        }
        let suspects = runs_by_identity.into_iter();
        let suspects =
            suspects.filter_map(|(identity, runs)| Some((identity, Self::new(identity, &runs)?)));
        let mut suspects: BTreeMap<u64, Self> = suspects.collect();
        let contents = lost_runs
            .iter()
            .filter_map(|run| Some((run.content?, &run.parts)));
        for (content, parts) in contents {
            let explains = |part: &u64| is_further_suspect(&suspects, *part, content);
            if parts.iter().any(explains) {
                suspects.remove(&content);
            }
        }
        let mut times_last: BTreeMap<u64, usize> = BTreeMap::new();
        for run in lost_runs {
            let mut from_last = run.suspects().rev();
            if let Some(identity) = from_last.find(|identity| suspects.contains_key(identity)) {
                *times_last.entry(identity).or_default() += 1;
            }
        }
        let (identity, _) = times_last.into_iter().max_by_key(|(_, times)| *times)?;
        suspects.remove(&identity)
    }

    /// Returns the identity of these lost runs as a suspect, if their crashes suffice.
    fn new(identity: u64, lost_runs: &[&'a LostRun]) -> Option<Self> {
        let mut crashes: Vec<&LostRun> = Vec::new();
        for run in lost_runs {
            if !crashes.iter().any(|it| it.is_same_crash(run)) {
                crashes.push(run);
            }
        }
        let first_crash = crashes.iter().map(|run| run.at).min()?;
        let last_crash = crashes.iter().map(|run| run.at).max()?;
        let is_enough =
            crashes.len() >= CRASHES_MIN && last_crash.since(first_crash) >= CRASH_SPAN_MIN;
        is_enough.then_some(Self {
            identity,
            crashes,
            last_crash,
        })
    }
}

/// Returns whether a part explains the crashes under a content and more. The content of a request
/// that is sent again is then as often in the lost runs as the part that causes the crashes.
fn is_further_suspect(suspects: &BTreeMap<u64, Suspect<'_>>, part: u64, content: u64) -> bool {
    let (Some(part), Some(content)) = (suspects.get(&part), suspects.get(&content)) else {
        return false;
    };
    let is_under_part =
        |crash: &&LostRun| part.crashes.iter().any(|other| other.is_same_crash(crash));
    part.crashes.len() > content.crashes.len() && content.crashes.iter().all(is_under_part)
}
