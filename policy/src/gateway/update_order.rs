use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use crate::Instant;

/// Time for which the latest update of a daemon is remembered, much longer than datagrams are under
/// way.
const REMEMBERED_TIME: Duration = Duration::from_mins(1);
/// Maximum number of daemons that are remembered: several times those of a large fleet.
const DAEMONS_MAX: usize = 4_096;

/// Order of the updates of each daemon, whose datagrams may arrive late or twice.
#[derive(Debug, Default)]
pub struct UpdateOrder {
    latest: HashMap<Name, Latest>,
    expired_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Latest {
    /// Start of the daemon's process, in Unix ms, and number of the update.
    position: (u64, u64),
    at: Instant,
}

impl UpdateOrder {
    /// Records an update of a daemon process that started at `started_ms`, in Unix ms. Returns
    /// whether it is newer than the others of the daemon.
    pub fn record_if_newer(
        &mut self,
        daemon: &Name,
        started_ms: u64,
        sequence: u64,
        now: Instant,
    ) -> bool {
        let position = (started_ms, sequence);
        let latest = Latest { position, at: now };
        if let Some(known) = self.latest.get_mut(daemon) {
            let is_forgotten = now.since(known.at) >= REMEMBERED_TIME;
            let is_newer = is_forgotten || position > known.position;
            if is_newer {
                *known = latest;
            }
            return is_newer;
        }
        self.make_room(now);
        self.latest.insert(daemon.clone(), latest);
        true
    }

    /// Returns the number of daemons that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Returns whether no daemon is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Forgets daemons that have sent nothing for long, and the most silent one if there are many.
    fn make_room(&mut self, now: Instant) {
        if now.since(self.expired_at) >= REMEMBERED_TIME {
            self.expired_at = now;
            self.latest
                .retain(|_, latest| now.since(latest.at) < REMEMBERED_TIME);
        }
        if self.latest.len() < DAEMONS_MAX {
            return;
        }
        let oldest = self.latest.iter().min_by_key(|(_, latest)| latest.at);
        if let Some(oldest) = oldest.map(|(daemon, _)| daemon.clone()) {
            self.latest.remove(&oldest);
        }
    }
}
