//! The controller with fakes of its interfaces; times are shortened in proportion.

mod engines;
mod environment;
mod platform;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use engines::FakeEngines;
use environment::{FakeEnvironment, FakePlan};
use platform::FakePlatform;
use ragwortgrade_lib::control::{Control, Outcome};
use ragwortgrade_lib::membership::Endpoint;
use ragwortgrade_lib::{Clients, Node};
use ragwortgrade_policy::authority::{Conclusion, HolderRecord, LeaseTiming};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::Role;
use serde_json::json;

/// Timeout of each wait, far above any expected time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn timing() -> LeaseTiming {
    LeaseTiming {
        ttl: Duration::from_secs(1),
        expiry_margin: Duration::from_millis(200),
        renew_interval: Duration::from_millis(200),
        retry_interval: Duration::from_secs(1),
        delivery_max: Duration::from_millis(300),
        takeover_wait: Duration::from_millis(800),
        mark_propagation: Duration::from_millis(50),
        poll_interval: Duration::from_millis(40),
        drain_timeout: Duration::from_mins(1),
    }
}

/// A data centre with an engine `checks` that compares fencing tokens, and an engine `ignores` that
/// does not.
struct Fixture {
    platform: Arc<FakePlatform>,
    engines: Arc<FakeEngines>,
    environment: Arc<FakeEnvironment>,
}

struct Daemon {
    node: Arc<Node>,
    control: Control,
}

impl Fixture {
    fn new(daemons: &[&str]) -> Self {
        let engines = Arc::new(FakeEngines::default());
        engines.add("checks", true);
        engines.add("ignores", false);
        let environment = Arc::new(FakeEnvironment {
            engines: Arc::clone(&engines),
            ..FakeEnvironment::default()
        });
        let members = daemons.iter().map(|name| Name::from(*name)).collect();
        *environment.members.lock().unwrap() = members;
        Self {
            platform: Arc::default(),
            engines,
            environment,
        }
    }

    fn spawn(&self, id: &str, incarnation: u64) -> Daemon {
        let node = self.node(id, incarnation);
        let control = Control::spawn(
            Arc::clone(&node),
            Arc::<FakeEnvironment>::clone(&self.environment),
            Arc::<FakeEnvironment>::clone(&self.environment),
            Box::new(FakePlan(Arc::clone(&self.environment))),
            timing(),
        );
        Daemon {
            node,
            control: control.expect("threads start"),
        }
    }

    fn node(&self, id: &str, incarnation: u64) -> Arc<Node> {
        let settings = json!({
            "daemon": {
                "id": id, "data_centre": "dc", "region": "r", "callers_address": "",
                "peers_address": id, "admin_address": ""
            },
            "platform": {"key_value": "", "vm_list": ""},
            "peers": {"seeds": []},
            "keys": {"peer": {}, "peer_active": "k", "operator": {}},
            "limits": {}, "observe": {}
        });
        let clients = Clients {
            key_value: Arc::<FakePlatform>::clone(&self.platform),
            engines: Arc::<FakeEngines>::clone(&self.engines),
            plain_services: Arc::<FakeEnvironment>::clone(&self.environment),
        };
        let settings = serde_json::from_value(settings).expect("settings fit the schema");
        let node = Arc::new(Node::open(settings, incarnation, clients));
        for name in ["checks", "ignores"] {
            node.directory.put(Endpoint {
                id: Name::from(name),
                data_centre: Name::from("dc"),
                address: name.to_owned(),
                service: None,
                incarnation: 1,
                leaving: false,
            });
        }
        configure(&node, None);
        node
    }

    fn want(&self, engine: &str, role: Role) {
        self.environment
            .roles
            .lock()
            .unwrap()
            .insert(Name::from(engine), role);
    }

    fn role(&self, engine: &str) -> Role {
        self.engines.load_of(engine).expect("engine exists").role
    }

    fn holder_record(&self) -> HolderRecord {
        let value = self
            .platform
            .value("tenure/dc")
            .expect("holder record exists");
        serde_json::from_str(&value).expect("holder record is JSON")
    }
}

fn configure(node: &Node, takeover: Option<&str>) {
    let configuration = json!({
        "header": {"revision": 1, "apply_id": "x", "author": "x"},
        "models": {}, "adapters": {}, "services": {}, "workspaces": {},
        "endpoints": {"checks": {"fencing": "checked", "drain": false}},
        "policy": {"role_change_weight": 1.0, "takeover": takeover}
    });
    let configuration = serde_json::from_value(configuration).expect("configuration fits");
    node.configuration.store(Some(Arc::new(configuration)));
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

/// Waits for twice the lease's TTL, in which an event that must not happen would have happened.
fn wait_two_ttls() {
    thread::sleep(timing().ttl * 2);
}

/// Guards against an order to an engine with running requests, and against an engine that stays
/// excluded from new work after the change.
#[test]
fn change_waits_until_the_engine_is_empty() {
    let fixture = Fixture::new(&["a"]);
    fixture.engines.change("ignores", |load| load.sequences = 1);
    fixture.want("ignores", Role::Decode);
    let daemon = fixture.spawn("a", 1);
    let is_marked = |leaving| {
        let marks = fixture.environment.marks.lock().unwrap();
        marks
            .iter()
            .any(|mark| mark.leaving == leaving && *mark.endpoint == *"ignores")
    };
    wait_until("engine is marked", || is_marked(true));
    wait_two_ttls();
    assert_eq!(fixture.role("ignores"), Role::Mixed, "a request runs");
    fixture.engines.change("ignores", |load| load.sequences = 0);
    wait_until("order is carried out", || {
        fixture.role("ignores") == Role::Decode
    });
    wait_until("mark ends", || is_marked(false));
    let history = daemon.control.history();
    let record = history
        .iter()
        .find(|record| *record.engine == *"ignores")
        .expect("record");
    assert_eq!(record.outcome, Outcome::Ended(Conclusion::Carried));
    assert_eq!(record.from.role, Role::Mixed);
    assert_eq!(Some(record.fence), daemon.control.fence());
}

/// Guards against two concurrent holders, and against a takeover without a higher fencing token.
#[test]
fn second_daemon_takes_over_with_a_higher_token() {
    let fixture = Fixture::new(&["a", "b"]);
    let first = fixture.spawn("a", 1);
    wait_until("first holds the lease", || first.control.is_holder());
    let second = fixture.spawn("b", 2);
    let start = Instant::now();
    while start.elapsed() < timing().ttl * 2 {
        thread::sleep(timing().poll_interval);
        assert!(
            !second.control.is_holder() || !first.control.is_holder(),
            "two holders"
        );
    }
    // On a busy machine, the first may have lost its lease to the second in the meantime.
    let (holder, other) = if second.control.is_holder() {
        (second, first)
    } else {
        (first, second)
    };
    wait_until("one holds the lease", || holder.control.is_holder());
    let fence = holder.control.fence();
    let former = format!(
        "{}:{}",
        holder.node.settings.daemon.id, holder.node.incarnation
    );
    drop(holder);
    wait_until("the other holds the lease", || other.control.is_holder());
    assert!(other.control.fence() > fence);
    let known = || {
        fixture
            .engines
            .load_of("checks")
            .map(|load| load.last_fence)
    };
    wait_until("engine has the new token", || {
        known() == other.control.fence()
    });
    assert_eq!(other.control.unresolved_former_holders(), [former]);
}

/// Runs a takeover from a daemon that ended without releasing its lease. Returns the new holder
/// once it has changed the engine that checks tokens.
fn take_over(fixture: &Fixture) -> Daemon {
    let first = fixture.spawn("a", 1);
    wait_until("first holds the lease", || first.control.is_holder());
    drop(first);
    let second = fixture.spawn("b", 2);
    for engine in ["checks", "ignores"] {
        fixture.want(engine, Role::Decode);
    }
    wait_until("engine that checks is ordered", || {
        fixture.role("checks") == Role::Decode
    });
    second
}

/// Guards against orders to an engine that ignores tokens while the former holder may still send
/// orders.
#[test]
fn engine_that_ignores_tokens_waits_for_the_former_holder() {
    let fixture = Fixture::new(&["a", "b"]);
    fixture
        .environment
        .identities
        .lock()
        .unwrap()
        .insert("a".to_owned(), 1);
    let second = take_over(&fixture);
    wait_two_ttls();
    assert_eq!(fixture.role("ignores"), Role::Mixed);
    fixture
        .environment
        .identities
        .lock()
        .unwrap()
        .insert("a".to_owned(), 7);
    wait_until("engine is ordered", || {
        fixture.role("ignores") == Role::Decode
    });
    wait_until("former holder is removed from the record", || {
        fixture.holder_record().former_holders.is_empty()
    });
    assert!(second.control.unresolved_former_holders().is_empty());
}

/// Guards against a takeover that an operator cannot complete.
#[test]
fn operator_declares_the_former_holder_gone() {
    let fixture = Fixture::new(&["a", "b"]);
    let second = take_over(&fixture);
    wait_two_ttls();
    assert_eq!(fixture.role("ignores"), Role::Mixed);
    configure(&second.node, Some("a:1"));
    wait_until("engine is ordered", || {
        fixture.role("ignores") == Role::Decode
    });
}

/// Guards against orders during an outage of the platform, and against a holder that does not
/// reacquire its lease after it.
#[test]
fn outage_suspends_orders() {
    let fixture = Fixture::new(&["a"]);
    let daemon = fixture.spawn("a", 1);
    wait_until("daemon holds the lease", || daemon.control.is_holder());
    fixture.platform.set_down(true);
    wait_until("lease ends", || !daemon.control.is_holder());
    fixture.want("checks", Role::Prefill);
    wait_two_ttls();
    assert_eq!(fixture.role("checks"), Role::Mixed);
    fixture.platform.set_down(false);
    wait_until("engine is ordered", || {
        fixture.role("checks") == Role::Prefill
    });
}

/// Guards against a second order while the outcome of the first is unknown.
#[test]
fn lost_order_answer_is_read_back() {
    let fixture = Fixture::new(&["a"]);
    fixture.engines.lose_order_answers("ignores", 1);
    fixture.want("ignores", Role::Decode);
    let daemon = fixture.spawn("a", 1);
    let is_ended = || {
        let history = daemon.control.history();
        history
            .iter()
            .any(|record| record.outcome == Outcome::Ended(Conclusion::Carried))
    };
    wait_until("outcome is known", is_ended);
    wait_two_ttls();
    assert_eq!(fixture.engines.log("ignores").len(), 1);
    fixture.want("ignores", Role::Mixed);
    wait_until("next order goes out", || {
        fixture.engines.log("ignores").len() == 2
    });
}

/// Guards against a lease that is lost when the answers to the writes that acquire it are lost.
#[test]
fn lost_write_answers_are_read_back() {
    let fixture = Fixture::new(&["a"]);
    fixture.platform.lose_write_answers(2);
    let daemon = fixture.spawn("a", 1);
    wait_until("daemon holds the lease", || daemon.control.is_holder());
    assert_eq!(Some(fixture.holder_record().fence), daemon.control.fence());
}

/// Guards against a drained daemon that retains the lease, and against a successor that waits for a
/// former holder that has released it.
#[test]
fn drain_releases_the_lease() {
    let fixture = Fixture::new(&["a", "b"]);
    let first = fixture.spawn("a", 1);
    wait_until("first holds the lease", || first.control.is_holder());
    first.node.start_draining();
    assert!(first.control.release(WAIT_TIMEOUT));
    assert!(fixture.holder_record().released);
    assert_eq!(fixture.platform.value("control/dc"), None);
    fixture.want("ignores", Role::Decode);
    let second = fixture.spawn("b", 2);
    wait_until("engine is ordered", || {
        fixture.role("ignores") == Role::Decode
    });
    assert!(second.control.is_holder());
}

/// Guards against a holder that continues after an engine has reported a newer fencing token.
#[test]
fn newer_token_at_an_engine_ends_the_lease() {
    let fixture = Fixture::new(&["a"]);
    let daemon = fixture.spawn("a", 1);
    wait_until("daemon holds the lease", || daemon.control.is_holder());
    let fence = daemon.control.fence();
    let newer = fence.unwrap_or(0) + (1 << 20);
    fixture
        .engines
        .change("checks", |load| load.last_fence = newer);
    fixture.want("checks", Role::Decode);
    wait_until("engine is ordered under a new lease", || {
        fixture.role("checks") == Role::Decode
    });
    let orders = fixture.engines.log("checks");
    let after: Vec<_> = orders
        .iter()
        .filter(|order| Some(order.fence) != fence)
        .collect();
    assert!(after.iter().all(|order| order.fence > newer), "{orders:?}");
    assert!(!after.is_empty());
}

/// Guards against platform calls that grow with the number of daemons: only candidates make calls.
#[test]
fn daemons_that_are_not_candidates_make_no_calls() {
    let names: Vec<String> = (0..8).map(|index| format!("d{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let running: Vec<_> = names
        .iter()
        .map(|name| {
            let fixture = Fixture::new(&names);
            let daemon = fixture.spawn(name, 1);
            (fixture, daemon)
        })
        .collect();
    let calling = || {
        let calls = running.iter().map(|(fixture, _)| fixture.platform.calls());
        calls.filter(|calls| *calls > 0).count()
    };
    wait_until("candidates make calls", || calling() >= 2);
    wait_two_ttls();
    assert_eq!(calling(), 2);
}
