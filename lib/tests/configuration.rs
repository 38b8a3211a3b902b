//! Guards against a daemon that reverts its configuration, misses a change, or runs without one
//! while its peers know it.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ragwortgrade_lib::configuration::{KEY, Keeper, Reader};
use ragwortgrade_lib::endpoint::{HttpEngine, HttpPlain};
use ragwortgrade_lib::gossip::Hooks as _;
use ragwortgrade_lib::peer::{self, Peers};
use ragwortgrade_lib::platform::{Error, HttpKeyValue, KeyValue};
use ragwortgrade_lib::{Interfaces, Node, settings};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ConfigurationAnswer, Gossip, Identity, Member,
    MemberState, Settled, StreamAnswer, StreamRequest, Trial,
};
use ragwortgrade_schema::platform::{Entries, Entry, Write};
use ragwortgrade_standins::{Fault, KeyValueSettings};

/// Ten times the time within which a change is in force everywhere; never reached when all is well.
const DEADLINE: Duration = Duration::from_secs(110);

fn text(revision: u64, apply_id: &str, weight: u64) -> String {
    format!(
        "[configuration]\nrevision = {revision}\napply_id = {apply_id}\nauthor = maria\n\n\
         [policy]\nrole_change_weight = {weight}\n"
    )
}

#[derive(Debug, Default)]
struct Stored {
    text: Option<String>,
    revision: u64,
    is_down: bool,
    loses_answers: bool,
    writes: u32,
}

/// A platform in memory.
#[derive(Debug, Default)]
struct FakeStore(Mutex<Stored>);

impl FakeStore {
    fn holding(text: &str) -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.put(text);
        store
    }

    fn put(&self, text: &str) {
        let mut stored = self.0.lock().expect("a lock");
        stored.text = Some(text.to_owned());
        stored.revision += 1;
    }

    fn set(&self, change: impl Fn(&mut Stored)) {
        change(&mut self.0.lock().expect("a lock"));
    }

    fn writes(&self) -> u32 {
        self.0.lock().expect("a lock").writes
    }

    fn text(&self) -> String {
        self.0
            .lock()
            .expect("a lock")
            .text
            .clone()
            .unwrap_or_default()
    }
}

impl KeyValue for FakeStore {
    fn get(&self, _key: &str) -> Result<Option<Entry>, Error> {
        let stored = self.0.lock().expect("a lock");
        if stored.is_down {
            return Err(Error::Unreachable {
                reason: "down".to_owned(),
            });
        }
        let entry = |value| Entry {
            key: KEY.to_owned(),
            value,
            revision: stored.revision,
        };
        Ok(stored.text.clone().map(|text| entry(Some(text))))
    }

    fn write(&self, write: &Write) -> Result<u64, Error> {
        let mut stored = self.0.lock().expect("a lock");
        if stored.revision != write.expect {
            return Err(Error::Conflict {
                revision: stored.revision,
            });
        }
        stored.text.clone_from(&write.value);
        stored.revision += 1;
        stored.writes += 1;
        if stored.loses_answers {
            return Err(Error::AnswerLost {
                reason: "lost".to_owned(),
            });
        }
        Ok(stored.revision)
    }

    fn watch(&self, _prefix: &str, after: u64, _wait: Duration) -> Result<Entries, Error> {
        let entry = self.get(KEY)?;
        let revision = entry.as_ref().map_or(0, |entry| entry.revision);
        let entries = entry
            .into_iter()
            .filter(|entry| entry.revision > after)
            .collect();
        Ok(Entries { entries, revision })
    }

    fn list(&self, _prefix: &str, _after: &str) -> Result<Entries, Error> {
        Err(Error::RateLimited)
    }

    fn grant(&self, _ttl: Duration) -> Result<u64, Error> {
        Err(Error::RateLimited)
    }

    fn keep_alive(&self, _lease: u64) -> Result<(), Error> {
        Err(Error::RateLimited)
    }

    fn revoke(&self, _lease: u64) -> Result<(), Error> {
        Err(Error::RateLimited)
    }
}

/// Keepers that reach each other by function calls; some may not answer.
#[derive(Debug, Default)]
struct Town {
    keepers: Mutex<BTreeMap<Name, Arc<Keeper>>>,
    silent: Mutex<Vec<Name>>,
    gives_no_changes: AtomicBool,
}

fn unused<A>() -> Result<A, peer::Error> {
    Err(peer::Error::Unknown {
        daemon: "unused".to_owned(),
    })
}

impl Peers for Town {
    fn members(&self) -> Vec<Member> {
        let keepers = self.keepers.lock().expect("a lock");
        let members = keepers.keys().map(|id| Member {
            identity: identity(id),
            address: "127.0.0.1:1".to_owned(),
            heartbeat: 1,
            state: MemberState::Alive,
        });
        members.collect()
    }

    fn configuration(&self, daemon: &Name, since: u64) -> Result<ConfigurationAnswer, peer::Error> {
        let keeper = self.keepers.lock().expect("a lock").get(daemon).cloned();
        let is_silent = self.silent.lock().expect("a lock").contains(daemon);
        match keeper {
            Some(keeper) if !is_silent => {
                let mut answer = keeper.answer(since);
                if self.gives_no_changes.load(Ordering::Relaxed) && !answer.whole {
                    answer.changed.clear();
                }
                Ok(answer)
            }
            _ => Err(peer::Error::NoAnswer {
                daemon: daemon.to_string(),
                reason: "slow".to_owned(),
            }),
        }
    }

    fn claim(&self, _: &Name, _: &ClaimRequest) -> Result<ClaimAnswer, peer::Error> {
        unused()
    }

    fn settle(&self, _: &Name, _: &ClaimOutcome) -> Result<Settled, peer::Error> {
        unused()
    }

    fn stream(&self, _: &Name, _: &StreamRequest) -> Result<StreamAnswer, peer::Error> {
        unused()
    }

    fn reserve_trial(&self, _: &Name, _: &Trial) -> Result<bool, peer::Error> {
        unused()
    }

    fn identity(&self, _: &str) -> Result<Identity, peer::Error> {
        unused()
    }
}

fn identity(id: &Name) -> Identity {
    Identity {
        id: id.clone(),
        incarnation: 1,
        data_centre: "a".into(),
        draining: false,
    }
}

impl Town {
    fn add(self: &Arc<Self>, id: &str, store: Arc<dyn KeyValue>) -> Arc<Keeper> {
        let secret = "00".repeat(32);
        let text = format!(
            "[daemon]\nid = {id}\ndata_centre = a\nregion = r\ncallers_address = 127.0.0.1:0\n\
             peers_address = 127.0.0.1:0\nadmin_address = 127.0.0.1:0\n[platform]\n\
             key_value = http://127.0.0.1:1\nvm_list = http://127.0.0.1:1\n[peers]\nseeds =\n\
             [keys]\npeer.k = {secret}\npeer_active = k\noperator.o = {secret}\n"
        );
        let settings = settings::parse(&text, Path::new("x")).expect("settings");
        let interfaces = Interfaces {
            key_value: store,
            engines: Arc::new(HttpEngine::open()),
            plains: Arc::new(HttpPlain::open()),
        };
        let node = Arc::new(Node::open(settings, 1, interfaces));
        let keeper = Keeper::open(node, Arc::<Self>::clone(self));
        let name = Name::from(id);
        self.keepers
            .lock()
            .expect("a lock")
            .insert(name, Arc::clone(&keeper));
        keeper
    }

    fn silence(&self, id: &str) {
        self.silent.lock().expect("a lock").push(id.into());
    }
}

/// A keeper that reads the platform in each step, as the holder of the lease does.
fn reading(town: &Arc<Town>, id: &str, store: &Arc<FakeStore>) -> (Arc<Keeper>, Reader) {
    let keeper = town.add(id, Arc::<FakeStore>::clone(store));
    keeper.hold_lease(true);
    let mut reader = Reader::open(Arc::clone(&keeper));
    reader.step();
    (keeper, reader)
}

fn steps(reader: &mut Reader) {
    for _ in 0..4 {
        reader.step();
    }
}

fn tell(keeper: &Keeper, sender: &str, of: &Keeper) {
    let mut gossip = Gossip {
        sender: identity(&sender.into()),
        configuration: 0,
        members: vec![],
        demand: vec![],
        digests: vec![],
        departures: vec![],
        endpoints: vec![],
        strikes: vec![],
        reader: None,
    };
    of.complete(&mut gossip);
    keeper.learn(&gossip);
}

fn held(keeper: &Keeper) -> (u64, String) {
    let held = keeper.in_force();
    (held.revision, held.apply_id)
}

#[test]
fn platform_that_comes_back_with_older_data_is_written_back_and_followed_again() {
    let store = FakeStore::holding(&text(2, "b", 1));
    let (keeper, mut reader) = reading(&Arc::default(), "d1", &store);
    assert_eq!(held(&keeper), (2, "b".to_owned()));
    store.put(&text(1, "a", 9));
    steps(&mut reader);
    assert_eq!(held(&keeper), (2, "b".to_owned()));
    assert!(
        store.text().contains("apply_id = b"),
        "the newest document is not written back"
    );
    store.put(&text(3, "c", 2));
    steps(&mut reader);
    assert_eq!(
        held(&keeper),
        (3, "c".to_owned()),
        "negative control: a newer one is followed"
    );
}

#[test]
fn change_on_older_data_is_rejected_and_the_operator_can_see_it() {
    let store = FakeStore::holding(&text(2, "b", 1));
    let (keeper, mut reader) = reading(&Arc::default(), "d1", &store);
    store.put(&text(2, "late", 9));
    steps(&mut reader);
    assert_eq!(
        held(&keeper),
        (3, "b".to_owned()),
        "the accepted declarations under a new revision"
    );
    let rejected = keeper.in_force().rejected.expect("a rejection");
    assert_eq!((rejected.revision, rejected.apply_id.as_str()), (2, "late"));
}

#[test]
fn lost_answer_of_a_write_back_is_resolved_by_reading() {
    let store = FakeStore::holding(&text(2, "b", 1));
    let (keeper, mut reader) = reading(&Arc::default(), "d1", &store);
    store.put(&text(1, "a", 9));
    store.set(|stored| stored.loses_answers = true);
    steps(&mut reader);
    assert_eq!(
        (held(&keeper).0, store.writes()),
        (2, 1),
        "written back more than once"
    );
}

#[test]
fn invalid_document_is_not_accepted_and_the_old_one_stays() {
    let store = FakeStore::holding(&text(2, "b", 1));
    let (keeper, mut reader) = reading(&Arc::default(), "d1", &store);
    store.put(&text(3, "bad", 1).replace("role_change_weight", "roll_change_weight"));
    steps(&mut reader);
    assert_eq!(held(&keeper), (2, "b".to_owned()));
    let reason = keeper.in_force().rejected.expect("a rejection").reason;
    assert!(
        reason.contains("unknown key `roll_change_weight`"),
        "{reason}"
    );
    assert_eq!(
        store.writes(),
        0,
        "a document of another release is not overwritten"
    );
}

#[test]
fn daemon_that_starts_during_an_outage_learns_from_its_peers() {
    let town = Arc::<Town>::default();
    let store = FakeStore::holding(&text(2, "b", 1));
    let (_old, _) = reading(&town, "d1", &store);
    store.set(|stored| stored.is_down = true);
    let (fresh, _) = reading(&town, "d2", &store);
    assert_eq!(fresh.in_force().platform_reachable, Some(false));
    assert_eq!(
        held(&fresh).0,
        0,
        "negative control: the platform alone does not help"
    );
    fresh.pull();
    assert_eq!(held(&fresh), (2, "b".to_owned()));
}

#[test]
fn slow_peer_does_not_keep_a_change_from_a_daemon() {
    let town = Arc::<Town>::default();
    let store = FakeStore::holding(&text(2, "b", 1));
    let (first, mut reader) = reading(&town, "d1", &store);
    let (second, mut other) = reading(&town, "d2", &store);
    let follower = town.add("d3", Arc::<FakeStore>::clone(&store));
    follower.pull();
    store.put(&text(3, "c", 2));
    steps(&mut reader);
    steps(&mut other);
    // The last of equally advanced peers is asked first.
    town.silence("d2");
    tell(&follower, "d1", &first);
    tell(&follower, "d2", &second);
    follower.pull();
    assert_eq!(
        held(&follower).0,
        2,
        "negative control: the slow peer gave nothing"
    );
    follower.pull();
    assert_eq!(held(&follower), (3, "c".to_owned()));
}

#[test]
fn answer_that_lacks_changes_is_noticed_and_the_whole_document_had() {
    let town = Arc::<Town>::default();
    let store = FakeStore::holding(&text(2, "b", 1));
    let (source, mut reader) = reading(&town, "d1", &store);
    let follower = town.add("d2", Arc::<FakeStore>::clone(&store));
    follower.pull();
    store.put(&text(3, "c", 2));
    steps(&mut reader);
    town.gives_no_changes.store(true, Ordering::Relaxed);
    tell(&follower, "d1", &source);
    follower.pull();
    assert_eq!(held(&follower), (3, "c".to_owned()));
}

#[test]
fn reader_that_missed_a_revision_asks_peers_before_it_takes_another_one() {
    let town = Arc::<Town>::default();
    let store = FakeStore::holding(&text(2, "accepted", 1));
    let (_old, _) = reading(&town, "d1", &store);
    store.put(&text(2, "late", 9));
    let (fresh, mut reader) = reading(&town, "d2", &store);
    steps(&mut reader);
    assert_eq!(held(&fresh).1, "accepted");
    assert!(store.text().contains("apply_id = accepted"));
    let control = FakeStore::holding(&text(2, "late", 9));
    let (alone, _) = reading(&Arc::default(), "d3", &control);
    assert_eq!(
        held(&alone).1,
        "late",
        "negative control: without peers it is taken"
    );
}

/// The threads of three daemons over HTTP, with gossip by hand: a change, an outage and a store
/// that goes back.
#[test]
fn running_daemons_follow_changes_and_keep_them_through_a_rollback() {
    let platform = ragwortgrade_standins::KeyValue::bind(&KeyValueSettings::default());
    let platform = platform.expect("a platform");
    let url = format!("http://{}", platform.address());
    let operator = HttpKeyValue::open(&url);
    let town = Arc::<Town>::default();
    let open = |id| town.add(id, Arc::new(HttpKeyValue::open(&url)));
    let keepers = ["d1", "d2", "d3"].map(open);
    keepers[0].hold_lease(true);
    let threads = keepers
        .each_ref()
        .map(|keeper| Keeper::spawn(keeper).expect("threads"));
    let apply = |revision, expect, apply_id| {
        let value = Some(text(revision, apply_id, revision));
        operator.write(&Write {
            key: KEY.to_owned(),
            value,
            expect,
            lease: None,
        })
    };
    let wait = |revision| {
        let end = Instant::now() + DEADLINE;
        while !keepers.iter().all(|keeper| held(keeper).0 == revision) {
            assert!(
                Instant::now() < end,
                "revision {revision} is not in force everywhere"
            );
            for (name, keeper) in ["d1", "d2", "d3"].iter().zip(&keepers) {
                for other in &keepers {
                    tell(other, name, keeper);
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let first = apply(1, 0, "a").expect("written");
    wait(1);
    apply(2, first, "b").expect("written");
    wait(2);
    platform.set_fault(Fault::Rollback);
    platform.set_fault(Fault::None);
    let end = Instant::now() + DEADLINE;
    while !platform
        .value(KEY)
        .is_some_and(|text| text.contains("apply_id = b"))
    {
        assert!(Instant::now() < end, "the document is not written back");
        std::thread::sleep(Duration::from_millis(20));
    }
    wait(2);
    drop(threads);
    platform.stop();
}
