use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::Strike;

use super::{Content, content_from_text, content_text};
use crate::Instant;

/// A strike counts for this time.
const LIFETIME: Duration = Duration::from_mins(10);
/// Crashes of different endpoints after which a content is refused.
const STRIKES_MAX: usize = 2;
/// Contents held; beyond it the oldest are dropped. A batch of 128 on each of 91 engines fits.
const CONTENTS_MAX: usize = 16_384;
/// Contents left when the oldest are dropped, so that dropping is rare.
const CONTENTS_KEPT: usize = CONTENTS_MAX / 8 * 7;
/// Strikes kept for one content; more add nothing to a refusal.
const MARKS_MAX: usize = 4;
/// Strikes in one gossip message, about 8 KB; only crashes cause them.
const GOSSIP_MAX: usize = 48;
/// Times that a strike is gossiped; with two peers a second it reaches 50 daemons after six
/// rounds.
const GOSSIP_ROUNDS: u8 = 12;

/// What is known against the contents of requests.
#[derive(Debug, Default)]
pub struct Ledger {
    contents: HashMap<Content, Vec<Mark>>,
}

/// How a request with a certain content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Anywhere.
    Clear,
    /// Only on an endpoint without another content that has a strike.
    Trial,
    /// Nowhere: it crashed two endpoints.
    Refused,
}

#[derive(Clone, Debug)]
struct Mark {
    endpoint: Name,
    incarnation: u64,
    alone: bool,
    cleared: bool,
    at: Instant,
    gossiped: u8,
}

impl Ledger {
    /// Tells how a request with this content may run.
    #[must_use]
    pub fn standing(&self, content: Content, now: Instant) -> Standing {
        let Some(marks) = self.contents.get(&content) else {
            return Standing::Clear;
        };
        let strikes = marks.iter().filter(|mark| mark.counts(now)).count();
        match strikes {
            0 => Standing::Clear,
            STRIKES_MAX.. => Standing::Refused,
            _ => Standing::Trial,
        }
    }

    /// Counts the crash of an endpoint against a content that ran there.
    pub fn crashed(
        &mut self,
        content: Content,
        endpoint: &Name,
        incarnation: u64,
        alone: bool,
        now: Instant,
    ) {
        let mark = Mark {
            endpoint: endpoint.clone(),
            incarnation,
            alone,
            cleared: false,
            at: now,
            gossiped: 0,
        };
        self.put(content, mark);
    }

    /// Clears a content that ran to its end: it was not the cause of the crashes so far.
    pub fn completed(&mut self, content: Content) {
        for mark in self.contents.get_mut(&content).into_iter().flatten() {
            if !mark.cleared {
                mark.cleared = true;
                mark.gossiped = 0;
            }
        }
    }

    /// Returns the strikes against one content.
    #[must_use]
    pub fn against(&self, content: Content, now: Instant) -> Vec<Strike> {
        let marks = self.contents.get(&content).into_iter().flatten();
        let fresh = marks.filter(|mark| mark.is_fresh(now));
        fresh.map(|mark| mark.strike(content)).collect()
    }

    /// Returns strikes for gossip, those sent least often first.
    pub fn gossip(&mut self, now: Instant) -> Vec<Strike> {
        let mut unsent: Vec<(Content, &mut Mark)> = self
            .contents
            .iter_mut()
            .flat_map(|(content, marks)| marks.iter_mut().map(|mark| (*content, mark)))
            .filter(|(_, mark)| mark.is_fresh(now) && mark.gossiped < GOSSIP_ROUNDS)
            .collect();
        unsent.sort_by_key(|(_, mark)| mark.gossiped);
        unsent.truncate(GOSSIP_MAX);
        let strikes = unsent.into_iter().map(|(content, mark)| {
            mark.gossiped += 1;
            mark.strike(content)
        });
        strikes.collect()
    }

    /// Takes in strikes of a peer; their time counts from now.
    pub fn absorb(&mut self, strikes: &[Strike], now: Instant) {
        for strike in strikes {
            if let Some(content) = content_from_text(&strike.content) {
                let mark = Mark {
                    endpoint: strike.endpoint.clone(),
                    incarnation: strike.incarnation,
                    alone: strike.alone,
                    cleared: strike.cleared,
                    at: now,
                    gossiped: 0,
                };
                self.put(content, mark);
            }
        }
    }

    /// Drops what has expired, and the oldest beyond the bound.
    pub fn expire(&mut self, now: Instant) {
        self.contents.retain(|_, marks| {
            marks.retain(|mark| mark.is_fresh(now));
            !marks.is_empty()
        });
        if self.contents.len() > CONTENTS_MAX {
            self.drop_oldest(self.contents.len() - CONTENTS_KEPT);
        }
    }

    fn drop_oldest(&mut self, count: usize) {
        let newest = |marks: &Vec<Mark>| marks.iter().map(|mark| mark.at).max();
        let mut ages: Vec<_> = self
            .contents
            .iter()
            .map(|(content, marks)| (newest(marks), *content))
            .collect();
        ages.sort_unstable();
        for (_, content) in ages.into_iter().take(count) {
            self.contents.remove(&content);
        }
    }

    /// Adds a mark; one crash counts once, and cleared stays cleared.
    fn put(&mut self, content: Content, new: Mark) {
        let now = new.at;
        let marks = self.contents.entry(content).or_default();
        let same =
            |mark: &&mut Mark| mark.endpoint == new.endpoint && mark.incarnation == new.incarnation;
        if let Some(mark) = marks.iter_mut().find(same) {
            if new.cleared && !mark.cleared {
                mark.cleared = true;
                mark.gossiped = 0;
            }
            return;
        }
        if marks.len() >= MARKS_MAX
            && let Some(spent) = marks.iter().position(|mark| mark.cleared)
        {
            marks.remove(spent);
        }
        if marks.len() < MARKS_MAX {
            marks.push(new);
        }
        if self.contents.len() > CONTENTS_MAX {
            self.expire(now);
        }
    }
}

impl Mark {
    fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.at) < LIFETIME
    }

    fn counts(&self, now: Instant) -> bool {
        !self.cleared && self.is_fresh(now)
    }

    fn strike(&self, content: Content) -> Strike {
        Strike {
            content: content_text(content),
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            alone: self.alone,
            cleared: self.cleared,
        }
    }
}
