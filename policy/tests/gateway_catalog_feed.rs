//! Confirmation of the configuration's newest version between the daemons of a fleet.

mod news_network;

use std::time::Duration;

use news_network::NewsNetwork;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::Statement;
use ragwortgrade_policy::gateway::{CatalogFeed, Quarantine, RegistrationFeed};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;

/// Time within which a change must be in force at each daemon.
const BOUND: Duration = Duration::from_secs(2);
/// Time after which a read that got no response is repeated.
const READ_TIMEOUT: Duration = Duration::from_millis(333);
const LONG_WATCH: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(4);
const READ_TIME: Duration = Duration::from_millis(8);
const LOST_MESSAGES: f64 = 0.02;
const PLAY_TIME: Duration = Duration::from_secs(20);
/// When the store is silent, and for how long.
const SILENCE_START: Duration = Duration::from_secs(5);
const SILENCE: Duration = Duration::from_millis(250);
/// When versions are written: right before the silence, so that all daemons send their next watch in
/// it, after it, and when its effects are over.
const WRITES: [Duration; 3] = [
    SILENCE_START,
    Duration::from_millis(5_400),
    Duration::from_secs(12),
];

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The store answers no call for a short time.
    Silence,
    /// The same, and the first daemons by rank have stopped.
    SilenceAndStoppedReaders(usize),
    /// The same, and no message between daemons arrives.
    SilenceWithoutMessages,
    /// The same, and daemons only watch for long.
    SilenceWithoutFeed,
}

/// A read in progress.
#[derive(Clone, Copy, Debug)]
struct Reading {
    sent_at: Instant,
    wait: Duration,
    is_lost: bool,
}

#[derive(Debug)]
struct Outcome {
    reads_per_second: f64,
    /// Longest time until a daemon that runs knew a version, from the end of the silence if it was
    /// written before.
    delay_max: Duration,
}

struct Fleet {
    names: Vec<Name>,
    ranks: Vec<usize>,
    feeds: Vec<CatalogFeed>,
    held: Vec<u64>,
    reading: Vec<Option<Reading>>,
    network: NewsNetwork,
    fault: Fault,
    reads: u32,
}

impl Fleet {
    fn new(daemons: usize, fault: Fault) -> Self {
        let names: Vec<Name> = (0..daemons).map(|it| format!("d-{it}").into()).collect();
        let ranks = names.iter().map(|it| RegistrationFeed::rank(it, &names));
        let lost = if fault == Fault::SilenceWithoutMessages {
            1.0
        } else {
            LOST_MESSAGES
        };
        let mut feeds: Vec<CatalogFeed> = names.iter().map(|_| CatalogFeed::new(BOUND)).collect();
        for feed in &mut feeds {
            feed.record_read(Some(0), at(1_000));
        }
        Self {
            ranks: ranks.collect(),
            feeds,
            held: vec![0; daemons],
            reading: vec![None; daemons],
            network: NewsNetwork::new(daemons, 5, lost),
            names,
            fault,
            reads: 0,
        }
    }

    fn is_stopped(&self, daemon: usize) -> bool {
        matches!(self.fault, Fault::SilenceAndStoppedReaders(stopped) if self.ranks[daemon] < stopped)
    }

    /// Sends, repeats and answers the reads of a daemon; `newest` is the version in the store.
    fn step(&mut self, daemon: usize, newest: u64, is_silent: bool, now: Instant) {
        let (name, rank) = (&self.names[daemon], self.ranks[daemon]);
        let uses_feed = self.fault != Fault::SilenceWithoutFeed;
        let feed = &mut self.feeds[daemon];
        if let Some(reading) = self.reading[daemon] {
            let is_due = feed.next_read(name, rank).is_some_and(|due| due <= now);
            let is_replaced = uses_feed && reading.wait == LONG_WATCH && is_due;
            let is_given_up = now.since(reading.sent_at) >= reading.wait + READ_TIMEOUT;
            if is_replaced || is_given_up {
                self.reading[daemon] = None;
            }
        }
        let Some(reading) = self.reading[daemon] else {
            self.reads += 1;
            let wait = feed.short_wait(name, rank, now).filter(|_| uses_feed);
            let wait = wait.unwrap_or(LONG_WATCH);
            self.reading[daemon] = Some(Reading {
                sent_at: now,
                wait,
                is_lost: is_silent,
            });
            return;
        };
        let is_over = now >= reading.sent_at + reading.wait + READ_TIME;
        let has_changes = newest > self.held[daemon] && now >= reading.sent_at + READ_TIME;
        if reading.is_lost || !is_over && !has_changes {
            return;
        }
        self.reading[daemon] = None;
        self.held[daemon] = newest;
        let read_at = RegistrationFeed::read_at(reading.sent_at, reading.wait, now);
        feed.record_read(Some(newest), read_at);
        if reading.wait < LONG_WATCH {
            let version = newest;
            let statement = Statement::Catalog { version, read_at };
            self.network.publish(daemon, statement, now);
        }
    }

    fn play(mut self) -> Outcome {
        let daemons = self.names.len();
        let mut quarantines: Vec<Quarantine> =
            (0..daemons).map(|_| Quarantine::default()).collect();
        let start = at(1_000);
        let mut delay_max = Duration::ZERO;
        let mut now = start;
        while now < start + PLAY_TIME {
            now = now + STEP;
            let elapsed = now.since(start);
            let is_silent = self.fault != Fault::None
                && elapsed >= SILENCE_START
                && elapsed < SILENCE_START + SILENCE;
            let newest = WRITES.iter().filter(|it| **it <= elapsed).count() as u64;
            for daemon in 0..daemons {
                if !self.is_stopped(daemon) {
                    self.step(daemon, newest, is_silent, now);
                }
            }
            for (daemon, statement) in self.network.step(&mut quarantines, now) {
                if let Statement::Catalog { version, read_at } = statement {
                    let held = Some(self.held[daemon]);
                    self.feeds[daemon].record_news(held, version, read_at, now);
                }
            }
            for daemon in 0..daemons {
                let held = self.held[daemon] as usize;
                if held < newest as usize && !self.is_stopped(daemon) {
                    let known_from = WRITES[held].max(SILENCE_START + SILENCE);
                    delay_max = delay_max.max(elapsed.saturating_sub(known_from));
                }
            }
        }
        Outcome {
            reads_per_second: f64::from(self.reads) / PLAY_TIME.as_secs_f64(),
            delay_max,
        }
    }
}

/// Guards against daemons that hold an old version because their watch was sent while the store was
/// silent and waits for changes that it never gets.
fn all_daemons_know_versions_in_time(daemons: usize, fault: Fault) {
    let outcome = Fleet::new(daemons, fault).play();
    assert!(outcome.delay_max <= BOUND, "{outcome:?}");
}

named_cases! { all_daemons_know_versions_in_time:
    of_one_daemon(1, Fault::Silence);
    of_9_daemons(9, Fault::Silence);
    of_84_daemons(84, Fault::Silence);
    of_295_daemons(295, Fault::Silence);
    while_the_first_reader_is_stopped(9, Fault::SilenceAndStoppedReaders(1));
    while_all_readers_are_stopped(84, Fault::SilenceAndStoppedReaders(12));
    while_no_message_arrives(84, Fault::SilenceWithoutMessages);
}

#[test]
fn long_watches_alone_leave_versions_unknown() {
    let outcome = Fleet::new(9, Fault::SilenceWithoutFeed).play();
    assert!(outcome.delay_max > BOUND, "{outcome:?}");
}

/// Guards against confirmations whose calls grow with the fleet: two a second of the whole fleet,
/// besides one watch of 20 s and one call for each change of each daemon.
fn confirmations_are_few(daemons: usize) {
    let outcome = Fleet::new(daemons, Fault::None).play();
    let changes = daemons as f64 * (WRITES.len() + 1) as f64 / PLAY_TIME.as_secs_f64();
    let watches = daemons as f64 / LONG_WATCH.as_secs_f64();
    let reads_max = 2.0 + changes + watches;
    assert!(outcome.reads_per_second <= reads_max, "{outcome:?}");
}

named_cases! { confirmations_are_few:
    by_one_daemon(1);
    by_9_daemons(9);
    by_84_daemons(84);
    by_295_daemons(295);
}

fn read(held: u64, read_at: u64) -> CatalogFeed {
    let mut feed = CatalogFeed::new(BOUND);
    feed.record_read(Some(held), at(read_at));
    feed
}

#[test]
fn a_confirmed_version_is_not_read_again() {
    let mut feed = read(7, 1_000);
    let name = Name::from("d-1");
    for rank in [0, 1, 9, 40] {
        let before = feed.next_read(&name, rank).unwrap();
        assert!(before <= at(1_000) + BOUND.mul_f64(0.9));
    }
    let before = feed.next_read(&name, 40).unwrap();
    assert!(!feed.record_news(Some(7), 7, at(1_500), at(1_510)));
    let after = feed.next_read(&name, 40).unwrap();
    assert_eq!(after.since(before), Duration::from_millis(500));
    // A time in the future, from a wrong age, counts as now.
    feed.record_news(Some(7), 7, at(900_000), at(1_600));
    let after = feed.next_read(&name, 40).unwrap();
    assert_eq!(after.since(before), Duration::from_millis(600));
}

/// Guards against daemons that are confirmed by others which hold an older version.
#[test]
fn an_older_version_confirms_nothing() {
    let mut feed = read(7, 1_000);
    assert!(!feed.record_news(Some(7), 6, at(1_500), at(1_510)));
    assert_eq!(feed.known_until(), Some(at(1_000)));
}

#[test]
fn a_newer_version_is_read_soon() {
    let mut feed = read(7, 1_000);
    let name = Name::from("d-1");
    assert!(feed.record_news(Some(7), 8, at(1_100), at(1_110)));
    assert!(!feed.record_news(Some(7), 8, at(1_300), at(1_310)));
    let due = feed.next_read(&name, 40).unwrap();
    assert!(due <= at(1_110) + BOUND / 4, "{due:?}");
    assert_eq!(
        feed.short_wait(&name, 40, due),
        Some(Duration::from_millis(1))
    );
    feed.record_read(Some(8), due);
    assert_eq!(feed.short_wait(&name, 40, due), None);
}

/// Guards against reads without end when another daemon tells of a version that the store does not
/// have, or that this daemon cannot parse.
#[test]
fn a_version_that_a_read_does_not_show_is_not_read_again() {
    let mut feed = read(7, 1_000);
    assert!(feed.record_news(Some(7), 9, at(1_100), at(1_110)));
    // A response from before does not have what was told since.
    feed.record_read(Some(7), at(1_105));
    assert!(feed.next_read(&Name::from("d-1"), 40).unwrap() <= at(1_110) + BOUND / 4);
    feed.record_read(Some(7), at(1_600));
    assert!(!feed.record_news(Some(7), 9, at(1_700), at(1_710)));
    assert!(feed.record_news(Some(7), 8, at(1_700), at(1_710)));
}

/// Guards against daemons that all read at once when an outage of the store ends.
#[test]
fn after_an_outage_versions_are_confirmed_in_the_order_of_the_ranks() {
    let mut feed = read(7, 1_000);
    feed.source_restored(at(9_000));
    let name = Name::from("d-1");
    let next_reads = [0, 1, 9, 40].map(|rank| feed.next_read(&name, rank).unwrap());
    assert!(next_reads[0] > at(9_000));
    assert!(next_reads.is_sorted_by(|earlier, later| earlier < later));
    assert!(next_reads[3] < at(9_000) + BOUND);
}
