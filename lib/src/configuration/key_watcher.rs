use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_schema::platform::{Entries, Entry};

use super::KEY;
use crate::platform::{Error, KeyValue};

/// Short, because a stopping daemon waits for the watch to return, and because it bounds the time
/// until a rollback of the platform is detected.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// A platform restored to older data can pass the watched revision again before the watch returns;
/// a periodic read of the key detects that. One read every 5 s per data centre is negligible load.
const READ_PERIOD: Duration = Duration::from_secs(5);

/// Follows the configuration key with watches and periodic reads.
#[derive(Debug, Default)]
pub(super) struct KeyWatcher {
    position: Option<Position>,
}

#[derive(Clone, Copy, Debug)]
struct Position {
    /// Revision of the store up to which changes have been seen.
    revision: u64,
    next_read: Instant,
}

/// Outcome of a read or watch.
#[derive(Debug)]
pub(super) enum ReadOutcome {
    /// The key has not changed.
    Unchanged,
    /// Current entry of the key; `None` if it does not exist.
    Entry(Option<Entry>),
}

impl KeyWatcher {
    /// Reads the key if a read is due, and otherwise watches it for a change.
    pub(super) fn read(
        &mut self,
        store: &dyn KeyValue,
        now: Instant,
    ) -> Result<ReadOutcome, Error> {
        let Some(position) = self.position.filter(|position| now < position.next_read) else {
            return self.get(store, now);
        };
        // If the watch fails, the next call reads the key.
        self.position = None;
        let entries = store.watch(KEY, position.revision, WATCH_WAIT)?;
        // After a rollback, the store's revision is lower than the watched one.
        if entries.revision < position.revision || last_entry(&entries).is_some() {
            return self.get(store, now);
        }
        self.position = Some(Position {
            revision: entries.revision,
            ..position
        });
        Ok(ReadOutcome::Unchanged)
    }

    /// Makes the next call read the key instead of watching it.
    pub(super) fn reset(&mut self) {
        self.position = None;
    }

    fn get(&mut self, store: &dyn KeyValue, now: Instant) -> Result<ReadOutcome, Error> {
        self.position = None;
        let entry = store.get(KEY)?;
        self.position = entry.as_ref().map(|entry| Position {
            revision: entry.revision,
            next_read: now + READ_PERIOD,
        });
        Ok(ReadOutcome::Entry(
            entry.filter(|entry| entry.value.is_some()),
        ))
    }
}

fn last_entry(entries: &Entries) -> Option<&Entry> {
    entries.entries.iter().rfind(|entry| entry.key == KEY)
}
