//! Guards against applies that are lost, doubled or silently overwrite another operator.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use ragwortgrade_operator::{
    Applied, Applier, ApplyError, Retry, Store, StoreError, Stored, backoff, parse, parse_header,
    render,
};
use ragwortgrade_schema::configuration::Configuration;
use support::workshop;

/// What happens to the next write.
#[derive(Clone, Copy)]
enum Fate {
    Fails,
    /// Takes effect, but the answer is lost.
    LosesAnswer,
    /// Arrives only after a later call.
    IsDelayed,
    /// Another operator writes first.
    IsOvertaken,
    /// Takes effect, the answer is lost, and another operator writes on top of it.
    IsBuriedAfterLoss,
}

#[derive(Default)]
struct FakeStore {
    held: RefCell<Option<Stored>>,
    fates: RefCell<VecDeque<Fate>>,
    delayed: RefCell<Option<(String, u64)>>,
    effects: Cell<u32>,
    reads_that_fail: Cell<u32>,
}

impl FakeStore {
    fn with(fates: &[Fate]) -> Self {
        let store = Self::default();
        store.fates.borrow_mut().extend(fates);
        store
    }

    fn swap(&self, text: &str, expect: u64) -> Result<(), StoreError> {
        let revision = self.held.borrow().as_ref().map_or(0, |held| held.revision);
        if revision != expect {
            return Err(StoreError::Conflict);
        }
        let stored = Stored {
            text: text.to_owned(),
            revision: revision + 10,
        };
        self.held.replace(Some(stored));
        self.effects.set(self.effects.get() + 1);
        Ok(())
    }

    /// The write of another operator.
    fn write_other(&self, author: &str) {
        let held = self.held.borrow().clone();
        let header = held.as_ref().and_then(|held| parse_header(&held.text));
        let mut other = configuration();
        other.policy.role_change_weight += 1.0;
        other.header.revision = header.map_or(0, |header| header.revision) + 1;
        "other".clone_into(&mut other.header.apply_id);
        author.clone_into(&mut other.header.author);
        self.swap(&render(&other), held.map_or(0, |held| held.revision))
            .expect("no race");
    }
}

impl Store for FakeStore {
    fn read(&self) -> Result<Option<Stored>, StoreError> {
        if self.reads_that_fail.get() > 0 {
            self.reads_that_fail.set(self.reads_that_fail.get() - 1);
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        Ok(self.held.borrow().clone())
    }

    fn write(&self, text: &str, expect: u64) -> Result<(), StoreError> {
        let lost = StoreError::AnswerLost("timed out".to_owned());
        if let Some((text, expect)) = self.delayed.take() {
            drop(self.swap(&text, expect));
        }
        let fate = self.fates.borrow_mut().pop_front();
        match fate {
            None => self.swap(text, expect),
            Some(Fate::Fails) => Err(StoreError::Unavailable("429".to_owned())),
            Some(Fate::LosesAnswer) => self.swap(text, expect).and(Err(lost)),
            Some(Fate::IsDelayed) => {
                self.delayed.replace(Some((text.to_owned(), expect)));
                Err(lost)
            }
            Some(Fate::IsOvertaken) => {
                self.write_other("Jorge");
                self.swap(text, expect)
            }
            Some(Fate::IsBuriedAfterLoss) => {
                self.swap(text, expect)?;
                self.write_other("Jorge");
                Err(lost)
            }
        }
    }
}

/// Retries a number of times without waiting.
struct Tries(u32);

impl Retry for Tries {
    fn wait(&mut self, failures: u32, _cause: &StoreError) -> bool {
        failures <= self.0
    }
}

fn configuration() -> Configuration {
    workshop().check().expect("accepted")
}

fn apply(store: &FakeStore) -> Result<Applied, ApplyError> {
    Applier::open(store, Tries(3), "mine").apply(&configuration())
}

#[test]
fn first_apply_writes_revision_one_and_the_second_nothing() {
    let store = FakeStore::default();
    assert_eq!(
        apply(&store).expect("applied"),
        Applied::Written { revision: 1 }
    );
    assert_eq!(
        apply(&store).expect("applied"),
        Applied::Unchanged { revision: 1 }
    );
    let held = store.held.borrow().clone().expect("written");
    let header = parse(&held.text).expect("accepted").header;
    assert_eq!((header.revision, header.apply_id.as_str()), (1, "mine"));
}

#[test]
fn write_whose_answer_was_lost_is_found_by_its_apply_identity() {
    let store = FakeStore::with(&[Fate::LosesAnswer]);
    assert_eq!(
        apply(&store).expect("applied"),
        Applied::Written { revision: 1 }
    );
    assert_eq!(store.effects.get(), 1, "the apply took effect twice");
}

#[test]
fn write_that_arrives_late_takes_effect_once() {
    let store = FakeStore::with(&[Fate::IsDelayed]);
    assert_eq!(
        apply(&store).expect("applied"),
        Applied::Written { revision: 1 }
    );
    assert_eq!(store.effects.get(), 1, "the apply took effect twice");
}

#[test]
fn retry_on_the_revision_read_last_would_apply_twice() {
    let store = FakeStore::with(&[Fate::LosesAnswer]);
    let text = render(&configuration());
    assert!(store.write(&text, 0).is_err());
    let newest = store
        .read()
        .expect("an answer")
        .expect("a document")
        .revision;
    assert!(store.write(&text, newest).is_ok());
    assert_eq!(
        store.effects.get(),
        2,
        "negative control: the check counts both effects"
    );
}

#[test]
fn slow_platform_is_asked_again() {
    let store = FakeStore::with(&[Fate::Fails, Fate::Fails]);
    store.reads_that_fail.set(2);
    assert_eq!(
        apply(&store).expect("applied"),
        Applied::Written { revision: 1 }
    );
}

#[test]
fn platform_that_stays_down_gives_a_certain_or_an_uncertain_outcome() {
    let down = FakeStore::with(&[Fate::Fails; 4]);
    assert!(matches!(apply(&down), Err(ApplyError::NotWritten { .. })));
    let lossy = FakeStore::with(&[Fate::IsDelayed, Fate::Fails, Fate::Fails, Fate::Fails]);
    assert!(matches!(
        apply(&lossy),
        Err(ApplyError::OutcomeUnknown { .. })
    ));
}

#[test]
fn of_two_racing_operators_one_gets_the_conflict_with_the_difference() {
    let store = FakeStore::with(&[Fate::IsOvertaken]);
    let Err(ApplyError::Conflict {
        found,
        author,
        difference,
        ..
    }) = apply(&store)
    else {
        panic!("the second writer was not told");
    };
    assert_eq!((found, author.as_str()), (1, "Jorge"));
    assert_eq!(difference.changed, ["policy"]);
    assert_eq!(
        store.effects.get(),
        1,
        "the winner's configuration was overwritten"
    );
}

#[test]
fn conflict_after_a_lost_answer_that_others_built_on_is_not_called_a_failure() {
    let store = FakeStore::with(&[Fate::IsBuriedAfterLoss]);
    assert!(matches!(
        apply(&store),
        Err(ApplyError::OutcomeUnknown { .. })
    ));
}

#[test]
fn apply_on_another_base_than_the_reviewed_one_is_a_conflict() {
    let store = FakeStore::default();
    store.write_other("Jorge");
    let applier = Applier::open(&store, Tries(0), "mine").on_base(0);
    assert!(matches!(
        applier.apply(&configuration()),
        Err(ApplyError::Conflict { expected: 0, .. })
    ));
    let control = Applier::open(&store, Tries(0), "mine")
        .on_base(1)
        .apply(&configuration());
    assert_eq!(control.expect("applied"), Applied::Written { revision: 2 });
}

#[test]
fn platform_with_older_data_than_the_daemons_gets_no_write() {
    let store = FakeStore::default();
    store.write_other("Jorge");
    let applier = Applier::open(&store, Tries(0), "mine").in_force(2);
    let outcome = applier.apply(&configuration());
    assert!(matches!(
        outcome,
        Err(ApplyError::PlatformBehind {
            found: 1,
            in_force: 2
        })
    ));
    let control = Applier::open(&store, Tries(0), "mine")
        .in_force(1)
        .apply(&configuration());
    assert!(control.is_ok(), "{control:?}");
}

#[test]
fn document_without_header_is_not_overwritten() {
    let store = FakeStore::default();
    store.held.replace(Some(Stored {
        text: "lost+found".to_owned(),
        revision: 3,
    }));
    assert!(matches!(apply(&store), Err(ApplyError::Unreadable)));
}

#[test]
fn backoff_doubles_up_to_a_bound() {
    let waits: Vec<u128> = [1, 2, 3, 6, 1000].map(|n| backoff(n).as_millis()).to_vec();
    assert_eq!(waits, [100, 200, 400, 2000, 2000]);
}
