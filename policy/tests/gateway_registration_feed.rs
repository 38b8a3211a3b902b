//! Reads of the endpoints' registrations that the daemons of a large fleet do for each other.

mod news_network;

use std::time::Duration;

use news_network::NewsNetwork;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::epidemic::Statement;
use ragwortgrade_policy::gateway::{
    ChangesRequest, Quarantine, RegistrationBatch, RegistrationChange, RegistrationContent,
    RegistrationFeed, RegistrationSource,
};
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;

/// Time between reads of a daemon that reads for itself: 0.55 of the shortest and the longest time
/// within which a leaving endpoint must get no more requests.
const INTERVAL_SHORT: Duration = Duration::from_millis(1_100);
const INTERVAL_LONG: Duration = Duration::from_millis(2_200);
/// Fraction of that time that the read interval is.
const INTERVAL_FRACTION: f64 = 0.55;
const STEP: Duration = Duration::from_millis(4);
const PLAY_TIME: Duration = Duration::from_secs(20);
const READ_TIME: Duration = Duration::from_millis(8);
const LOST_MESSAGES: f64 = 0.02;
/// Time by which a reader is behind.
const BEHIND: Duration = Duration::from_secs(1);
/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn change(revision: u64) -> RegistrationChange {
    RegistrationChange {
        key: format!("servers/i-{revision}").into(),
        revision,
        content: RegistrationContent::Written(vec![0; 250]),
    }
}

fn batch(after: u64, revision: u64, read_at: Instant) -> RegistrationBatch {
    RegistrationBatch {
        source: RegistrationSource::Endpoints,
        era: None,
        after,
        revision,
        read_at,
        is_vouched: true,
        changes: (after + 1..=revision).map(change).collect(),
    }
}

/// What keeps daemons from reading or from handing on what they read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Nothing changes.
    NoChanges,
    /// The first readers have stopped, and the others still know them.
    ReadersStopped(usize),
    /// The first reader hands on each time what it read a second ago as if it had read it now, like
    /// a daemon after a freeze.
    ReaderBehind,
    /// A third of the daemons reaches only each other and the store.
    CutApart,
    /// No message arrives.
    Silence,
}

/// A read in progress.
#[derive(Clone, Copy, Debug)]
struct Reading {
    after: u64,
    sent_at: Instant,
    wait: Duration,
}

struct Outcome {
    reads_per_second: f64,
    /// Longest time until a daemon in touch knew a change.
    delay_max: Duration,
}

/// Plays a fleet in which each daemon reads when its feed says so.
fn play(daemons: usize, interval: Duration, fault: Fault) -> Outcome {
    let names: Vec<Name> = (0..daemons).map(|it| format!("d-{it}").into()).collect();
    let rank = |daemon: usize| RegistrationFeed::rank(&names[daemon], &names);
    let ranks: Vec<usize> = (0..daemons).map(rank).collect();
    let lost = if fault == Fault::Silence {
        1.0
    } else {
        LOST_MESSAGES
    };
    let mut network = NewsNetwork::new(daemons, 11, lost);
    if fault == Fault::CutApart {
        for (number, is_cut) in network.cut_off.iter_mut().enumerate() {
            *is_cut = number % 3 == 0;
        }
    }
    let mut quarantines: Vec<Quarantine> = names.iter().map(|_| Quarantine::default()).collect();
    let mut feeds: Vec<RegistrationFeed> =
        names.iter().map(|_| RegistrationFeed::default()).collect();
    let start = at(1_000);
    for feed in &mut feeds {
        feed.listed(None, 10, start);
    }
    let mut read_end = vec![start; daemons];
    let mut reading: Vec<Option<Reading>> = (0..daemons).map(|_| None).collect();
    let mut written: Vec<Instant> = Vec::new();
    let mut known = vec![10; daemons];
    let mut reads = 0;
    let mut delay_max = Duration::ZERO;
    let mut now = start;
    while now < start + PLAY_TIME {
        now = now + STEP;
        while fault != Fault::NoChanges
            && start + CHANGE_INTERVAL * (written.len() as u32 + 1) <= now
        {
            written.push(now);
        }
        let revision = 10 + written.len() as u64;
        for daemon in 0..daemons {
            let is_stopped =
                matches!(fault, Fault::ReadersStopped(stopped) if ranks[daemon] < stopped);
            let (name, rank) = (&names[daemon], ranks[daemon]);
            let due = feeds[daemon].next_read(name, rank, interval, read_end[daemon]);
            if !is_stopped && reading[daemon].is_none() && due <= now {
                reads += 1;
                reading[daemon] = Some(Reading {
                    after: feeds[daemon].revision().unwrap(),
                    sent_at: now,
                    wait: RegistrationFeed::read_wait(rank, interval),
                });
            }
        }
        for daemon in 0..daemons {
            let Some(Reading {
                after,
                sent_at,
                wait,
            }) = reading[daemon]
            else {
                continue;
            };
            let is_behind = fault == Fault::ReaderBehind && ranks[daemon] == 0;
            let hidden = written.iter().filter(|it| now.since(**it) < BEHIND).count();
            let revision = if is_behind {
                after.max(revision - hidden as u64)
            } else {
                revision
            };
            let is_over = now >= sent_at + wait + READ_TIME;
            if now < sent_at + READ_TIME || revision == after && !is_over {
                continue;
            }
            reading[daemon] = None;
            read_end[daemon] = now;
            let read_at = RegistrationFeed::read_at(sent_at, wait, now);
            let read = batch(after, revision, read_at);
            if feeds[daemon].advance(&read, now).is_some() {
                network.publish(daemon, Statement::Registrations(read), now);
            }
        }
        for (daemon, statement) in network.step(&mut quarantines, now) {
            if let Statement::Registrations(batch) = statement {
                feeds[daemon].advance(&batch, now);
            }
        }
        for (daemon, feed) in feeds.iter().enumerate() {
            let is_in_touch = match fault {
                Fault::ReadersStopped(readers) => ranks[daemon] >= readers,
                _ => true,
            };
            let revision = feed.revision().unwrap();
            if is_in_touch && revision > known[daemon] {
                let first = written[known[daemon] as usize - 10];
                delay_max = delay_max.max(now.since(first));
            }
            known[daemon] = known[daemon].max(revision);
        }
    }
    Outcome {
        reads_per_second: f64::from(reads) / PLAY_TIME.as_secs_f64(),
        delay_max,
    }
}

/// Checks the calls against a quarter of those of daemons that each read for themselves, and the
/// time until all know a change against that within which a leaving endpoint must get no more
/// requests.
fn reads_are_few_and_in_time(daemons: usize, interval: Duration, fault: Fault) {
    let outcome = play(daemons, interval, fault);
    let bound = interval.div_f64(INTERVAL_FRACTION);
    assert!(outcome.delay_max <= bound, "{:?}", outcome.delay_max);
    let own_reads = daemons as f64 / interval.as_secs_f64();
    let reads_max = if fault == Fault::Silence {
        own_reads
    } else {
        own_reads / 4.0
    };
    assert!(
        outcome.reads_per_second <= reads_max,
        "{} reads per second",
        outcome.reads_per_second
    );
}

named_cases! { reads_are_few_and_in_time:
    of_24_daemons(24, INTERVAL_SHORT, Fault::None);
    of_81_daemons(81, INTERVAL_SHORT, Fault::None);
    of_295_daemons(295, INTERVAL_LONG, Fault::None);
    while_nothing_changes(295, INTERVAL_LONG, Fault::NoChanges);
    while_readers_are_stopped(81, INTERVAL_SHORT, Fault::ReadersStopped(5));
    while_all_readers_are_stopped(81, INTERVAL_LONG, Fault::ReadersStopped(12));
    while_a_third_is_cut_off(81, INTERVAL_SHORT, Fault::CutApart);
    while_a_reader_is_behind(81, INTERVAL_LONG, Fault::ReaderBehind);
    while_no_message_arrives(81, INTERVAL_SHORT, Fault::Silence);
}

/// Checks that half of the time within which a leaving endpoint must get no more requests is left for
/// what comes after all daemons know that it leaves.
fn all_daemons_know_changes_in_half_of_the_time(daemons: usize, interval: Duration) {
    let outcome = play(daemons, interval, Fault::None);
    let bound = interval.div_f64(INTERVAL_FRACTION);
    assert!(outcome.delay_max <= bound / 2, "{:?}", outcome.delay_max);
}

named_cases! { all_daemons_know_changes_in_half_of_the_time:
    with_24_daemons(24, INTERVAL_SHORT);
    with_73_daemons(73, INTERVAL_LONG);
    with_81_daemons(81, INTERVAL_SHORT);
    with_295_daemons(295, INTERVAL_LONG);
}

fn known(revision: u64) -> RegistrationFeed {
    let mut feed = RegistrationFeed::default();
    feed.listed(None, revision, at(1_000));
    feed
}

#[test]
fn a_batch_after_missing_changes_is_not_applied() {
    let mut feed = known(10);
    assert_eq!(feed.advance(&batch(12, 15, at(1_500)), at(1_500)), None);
    assert_eq!(feed.revision(), Some(10));
    assert_eq!(feed.advance(&batch(8, 15, at(1_500)), at(1_500)), Some(10));
    assert_eq!(feed.revision(), Some(15));
    assert_eq!(feed.advance(&batch(8, 14, at(1_600)), at(1_600)), None);
}

/// Guards against daemons that have missed changes and know it, and learn of them only when they
/// would have read anyway.
#[test]
fn a_daemon_that_has_missed_changes_reads_early() {
    let mut feed = known(10);
    let name = Name::from("d-1");
    assert_eq!(feed.advance(&batch(12, 15, at(1_100)), at(1_100)), None);
    for rank in [0, 5, 40] {
        let next_read = feed.next_read(&name, rank, INTERVAL_LONG, at(0));
        assert!(next_read <= at(1_300), "{next_read:?}");
    }
    // A read from before the batch does not have what was missed.
    feed.advance(&batch(10, 11, at(1_090)), at(1_110));
    assert!(feed.next_read(&name, 40, INTERVAL_LONG, at(0)) <= at(1_300));
    feed.advance(&batch(11, 15, at(1_150)), at(1_160));
    assert!(feed.next_read(&name, 40, INTERVAL_LONG, at(0)) >= at(1_150) + INTERVAL_LONG);
}

/// Guards against daemons that cannot read and stay behind, as later batches do not go on from what
/// they know.
#[test]
fn a_daemon_that_cannot_read_learns_what_it_missed_from_another_one() {
    let (mut behind, mut other) = (known(10), known(10));
    let source = RegistrationSource::Endpoints;
    assert_eq!(
        other.advance(&batch(10, 12, at(1_300)), at(1_300)),
        Some(10)
    );
    assert_eq!(
        other.advance(&batch(12, 15, at(1_900)), at(1_900)),
        Some(12)
    );
    assert_eq!(behind.advance(&batch(12, 15, at(1_900)), at(1_900)), None);
    let request = behind
        .request(source, true, INTERVAL_SHORT, at(1_900))
        .unwrap();
    let answer = other.answer(&request, true).unwrap();
    assert_eq!(behind.advance(&answer, at(1_910)), Some(10));
    assert_eq!(behind.revision(), Some(15));
    assert_eq!(
        behind.request(source, true, INTERVAL_SHORT, at(1_910)),
        None
    );
    // One that has listed later does not have the changes before.
    let listed = known(12);
    assert_eq!(listed.answer(&request, true), None);
}

/// Guards against requests of daemons that only wait for their next read.
#[test]
fn daemons_that_can_read_ask_no_others() {
    let feed = known(10);
    let source = RegistrationSource::Endpoints;
    let read_due = feed.next_read(&Name::from("d-1"), 40, INTERVAL_LONG, at(0));
    assert_eq!(feed.request(source, false, INTERVAL_LONG, read_due), None);
    assert!(
        feed.request(source, false, INTERVAL_LONG, read_due + INTERVAL_LONG)
            .is_some()
    );
}

/// Guards against memory and messages that grow with the number of changes.
#[test]
fn kept_changes_and_messages_are_bounded() {
    let mut feed = known(0);
    let changes = 1_000;
    for revision in 1..=changes {
        feed.advance(&batch(revision - 1, revision, at(1_000)), at(1_000));
    }
    let request = |after| ChangesRequest {
        source: RegistrationSource::Endpoints,
        era: None,
        after,
    };
    assert_eq!(feed.answer(&request(0), true), None);
    let oldest = (0..changes).find(|after| feed.answer(&request(*after), true).is_some());
    let kept = feed.answer(&request(oldest.unwrap()), true).unwrap();
    assert!(kept.size() <= 64 << 10, "{} bytes", kept.size());
    assert!(kept.changes.len() >= 200, "{} changes", kept.changes.len());
    let batches = kept.clone().split(6_000);
    assert!(batches.iter().all(|batch| batch.size() <= 6_000));
    let mut follower = known(kept.after);
    for batch in &batches {
        assert!(follower.advance(batch, at(1_000)).is_some());
    }
    assert_eq!(follower.revision(), Some(changes));
    let changes: usize = batches.iter().map(|batch| batch.changes.len()).sum();
    assert_eq!(changes, kept.changes.len());
}

#[test]
fn a_batch_of_another_era_is_not_applied() {
    let mut feed = known(10);
    let other = RegistrationBatch {
        era: Some(3),
        ..batch(10, 15, at(1_500))
    };
    assert_eq!(feed.advance(&other, at(1_500)), None);
    feed.reset();
    assert_eq!(feed.advance(&batch(0, 15, at(1_500)), at(1_500)), None);
    assert_eq!(feed.revision(), None);
}

/// Guards against changes that are lost when a listing arrives that is older than what another
/// daemon has handed on meanwhile.
#[test]
fn an_older_listing_is_not_accepted() {
    let mut feed = known(10);
    assert_eq!(feed.advance(&batch(10, 15, at(1_500)), at(1_500)), Some(10));
    assert!(!feed.listed(None, 12, at(1_450)));
    assert_eq!(feed.revision(), Some(15));
    assert!(feed.listed(None, 15, at(1_600)));
    // Revisions of different eras cannot be compared.
    assert!(feed.listed(Some(3), 4, at(1_700)));
    assert_eq!(feed.revision(), Some(4));
}

#[test]
fn a_batch_without_changes_delays_the_next_read() {
    let mut feed = known(10);
    let name = Name::from("d-1");
    let before = feed.next_read(&name, 40, INTERVAL_LONG, at(1_000));
    assert_eq!(feed.advance(&batch(10, 10, at(1_500)), at(1_510)), Some(10));
    let after = feed.next_read(&name, 40, INTERVAL_LONG, at(1_000));
    assert_eq!(after.since(before), Duration::from_millis(500));
    // A time in the future, from a wrong age, counts as now.
    feed.advance(&batch(10, 10, at(900_000)), at(1_600));
    let after = feed.next_read(&name, 40, INTERVAL_LONG, at(1_000));
    assert_eq!(after.since(before), Duration::from_millis(600));
}

/// Guards against daemons that all read at once when an outage of the source ends.
#[test]
fn after_an_outage_daemons_read_in_the_order_of_their_ranks() {
    let mut feed = known(10);
    feed.source_restored(at(9_000));
    let name = Name::from("d-1");
    let next_reads =
        [0, 1, 9, 40].map(|rank| feed.next_read(&name, rank, INTERVAL_LONG, at(1_000)));
    assert_eq!(next_reads[0], at(9_000));
    assert!(next_reads.is_sorted_by(|earlier, later| earlier < later));
    // What another daemon has read since then delays the next read.
    feed.advance(&batch(10, 11, at(9_020)), at(9_030));
    assert!(feed.next_read(&name, 1, INTERVAL_LONG, at(1_000)) > at(9_000) + INTERVAL_LONG / 2);
}

#[test]
fn small_fleets_do_not_share_reads() {
    assert!(!RegistrationFeed::is_shared(8));
    assert!(RegistrationFeed::is_shared(80));
}
