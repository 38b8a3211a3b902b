/// Era of the store from which a daemon's knowledge of it comes.
///
/// A store that is restored from an older copy begins a new era: changes of the era before may be
/// lost, and their revisions and leases are given out again.
#[derive(Debug, Default)]
pub struct StoreEra {
    /// Era that the store last named, if it names any.
    named: Option<u64>,
    /// Number of new eras that were noticed.
    restores: u64,
}

/// What a response of the store says about its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEra {
    /// The call was sent and answered in the current era.
    Current,
    /// The response is the first one of a new era.
    New,
    /// The call was sent in an earlier era. Its revision or lease may mean something else in the
    /// current one, and its response may describe lost changes.
    Superseded,
}

impl StoreEra {
    /// Returns the number of restores that were noticed so far, which identifies the era in which
    /// a call is sent.
    #[must_use]
    pub const fn restores(&self) -> u64 {
        self.restores
    }

    /// Returns the era that the store last named, if it names any.
    #[must_use]
    pub const fn named(&self) -> Option<u64> {
        self.named
    }

    /// Records the era that a response names, if it names one. `sent_after` is the number of
    /// restores that were noticed when the call was sent.
    pub fn observe(&mut self, sent_after: u64, era: Option<u64>) -> ResponseEra {
        let is_superseded = sent_after != self.restores;
        let is_new = match (self.named, era) {
            (Some(named), Some(era)) if is_superseded => era > named,
            // Without a change of the era since the call was sent, a lower number is no late
            // response: the copy has lost the number, too.
            (Some(named), Some(era)) => era != named,
            (None, _) | (_, None) => false,
        };
        if is_new {
            self.named = era;
            self.restores += 1;
            return ResponseEra::New;
        }
        self.named = self.named.or(era);
        if is_superseded {
            ResponseEra::Superseded
        } else {
            ResponseEra::Current
        }
    }
}
