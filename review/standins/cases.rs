//! Steps and checks of the cases.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Connection};
use crate::site::{self, Clients, Outcome, Record, Run, Site, Worker, ZONES};
use crate::store::Store;
use crate::wire::{self, Route};

/// Time that a worker needs for a request.
const WORK: Duration = Duration::from_millis(40);
/// `drainMs` of the small sites.
const DRAIN: Duration = Duration::from_millis(2_000);

const ORDERS: Route = Route {
    name: "orders",
    prefix: "/orders/",
    kind: "unsafe",
    service: "desk",
    timeout_ms: 1_500,
    attempts_max: 1,
};

fn seconds(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Starts three workers of the service `desk`, one in each zone.
fn desk_workers(record: &Record) -> Vec<Worker> {
    let workers = ZONES.iter().enumerate();
    let workers = workers
        .map(|(number, zone)| Worker::start(&format!("i-{number}"), "desk", zone, WORK, record));
    workers.collect()
}

/// Starts clients at each daemon: 4 with a request every 333 ms. All together send 36 orders a
/// second, as the sheet of the deployment says.
fn start_clients(site: &Site, is_retried: bool) -> Vec<Clients> {
    let interval = Duration::from_millis(333);
    let request = ("POST", "/orders/2f");
    let daemons = site.daemons.iter();
    let clients =
        daemons.map(|it| Clients::start(it, 4, interval, request, is_retried, &site.record));
    clients.collect()
}

/// Records how many requests there were, and how many were answered with each status.
fn count_outcomes(site: &Site, outcomes: &[Outcome]) {
    let mut counts = std::collections::BTreeMap::new();
    for outcome in outcomes {
        *counts.entry(outcome.status).or_insert(0) += 1;
    }
    site.record.say(&format!(
        "requests: {}, by status: {counts:?}",
        outcomes.len()
    ));
}

/// Checks that a worker that left at `left` gets no request later than the bound for leaving.
fn check_leaving(site: Site, clients: Vec<Clients>, leaver: &Worker, left: Instant) -> ! {
    let outcomes: Vec<Outcome> = clients.into_iter().flat_map(Clients::stop).collect();
    count_outcomes(&site, &outcomes);
    let late = leaver.runs_after(left + DRAIN);
    let last = late.iter().map(|run| run.at.duration_since(left)).max();
    let lost = late.iter().filter(|run| {
        let outcome = outcomes.iter().find(|outcome| outcome.id == run.id);
        outcome.is_none_or(|outcome| outcome.status != Some(200))
    });
    site.record.say(&format!(
        "requests that worker {} began later than {} ms after the store acknowledged that it \
         leaves: {}, the last one {} ms after it; of these without a success: {}",
        leaver.id,
        DRAIN.as_millis(),
        late.len(),
        last.unwrap_or_default().as_millis(),
        lost.count(),
    ));
    let texts = [
        "store call failed",
        "reachable again",
        "registration",
        "panicked",
    ];
    site.record_logs(&texts);
    site.finish(!late.is_empty())
}

/// Returns bytes after a complete answer that belong to no request; `STRAY` is their status.
fn stray_response() -> &'static str {
    match std::env::var("STRAY").as_deref() {
        Ok("421") => "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
        Ok("503") => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        _ => "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
    }
}

/// Number of answers of the faulty worker of which one is followed by such bytes: under 3 in 100.
const STRAY_EVERY: usize = 34;
/// Time for which the worker is faulty.
const STRAY_TIME: Duration = Duration::from_secs(5);

/// One of three workers sends bytes that belong to no request, late, where the next answer is
/// expected.
pub fn stray_bytes(record: Record) {
    let faulty_until = Arc::new(Mutex::new(None::<Instant>));
    let workers = ZONES.iter().enumerate().map(|(number, zone)| {
        let (id, faulty_until) = (format!("i-{number}"), Arc::clone(&faulty_until));
        let next_stray = Mutex::new(0);
        let stray = move |run: usize| {
            let end = *faulty_until.lock().unwrap();
            let is_faulty = end.is_some_and(|end| Instant::now() < end);
            let mut next = next_stray.lock().unwrap();
            if !is_faulty || number != 0 || run < *next {
                return None;
            }
            *next = run + STRAY_EVERY;
            Some(stray_response())
        };
        Worker::start_with(&id, "desk", zone, |_body| WORK, stray, &record)
    });
    let workers: Vec<Worker> = workers.collect();
    let all: Vec<&Worker> = workers.iter().collect();
    let route = Route {
        attempts_max: 2,
        ..ORDERS
    };
    let site = Site::start(record, &wire::configuration(1, &[route], &["desk"]), &all);
    seconds(2.0);
    let clients = start_clients(&site, true);
    seconds(3.0);
    if site.has_trouble {
        *faulty_until.lock().unwrap() = Some(Instant::now() + STRAY_TIME);
        site.record.say("worker i-0 is faulty for 5 s");
    }
    seconds(8.0);
    let outcomes: Vec<Outcome> = clients.into_iter().flat_map(Clients::stop).collect();
    count_outcomes(&site, &outcomes);
    let ran = |id: &str| {
        let runs = |worker: &Worker| worker.runs.lock().unwrap().iter().any(|run| run.id == id);
        workers.iter().any(runs)
    };
    let refused = outcomes
        .iter()
        .filter(|outcome| outcome.is_refused() && ran(&outcome.id));
    let refused: Vec<&Outcome> = refused.collect();
    for outcome in &refused {
        let line = format!(
            "{} was answered {:?} and has run",
            outcome.id, outcome.status
        );
        site.record.add(&line);
    }
    site.record.say(&format!(
        "orders whose answer says that they have not run, and that a worker ran: {}",
        refused.len()
    ));
    let runs = workers
        .iter()
        .flat_map(|worker| worker.runs.lock().unwrap().clone());
    let mut attempts: HashMap<String, usize> = HashMap::new();
    let mut orders: HashMap<String, usize> = HashMap::new();
    for run in runs {
        *attempts.entry(run.id).or_default() += 1;
        *orders.entry(run.content).or_default() += 1;
    }
    let count_twice =
        |runs: HashMap<String, usize>| runs.into_values().filter(|it| *it > 1).count();
    let attempts_twice = count_twice(attempts);
    site.record.say(&format!(
        "orders that one attempt of a client ran twice: {attempts_twice}"
    ));
    site.record.say(&format!(
        "orders that ran twice, also as the client was told to send them again: {}",
        count_twice(orders)
    ));
    let is_broken = !refused.is_empty() || attempts_twice > 0;
    site.finish(is_broken)
}

/// The store cuts waiting watches, and a worker leaves whose entry is removed. With `CUTS=1` only
/// the first cut is made.
pub fn cut_watch(record: Record) {
    let workers = desk_workers(&record);
    let all: Vec<&Worker> = workers.iter().collect();
    let site = Site::start(record, &wire::configuration(1, &[ORDERS], &["desk"]), &all);
    let cut_watches = || {
        if site.has_trouble {
            let cut = site.store.cut_watches();
            site.record
                .say(&format!("the store cuts {cut} watches that are waiting"));
        }
    };
    seconds(2.0);
    let clients = start_clients(&site, false);
    seconds(3.0);
    cut_watches();
    seconds(5.0);
    site.store.remove(&all[0].key());
    let left = Instant::now();
    site.record
        .say("the store removes the entry of worker i-0, which serves on for 10 s");
    seconds(1.6);
    if std::env::var("CUTS").as_deref() != Ok("1") {
        cut_watches();
    }
    seconds(8.4);
    workers[0].stop_in_run();
    site.record.say("worker i-0 exits");
    seconds(1.0);
    check_leaving(site, clients, &workers[0], left)
}

/// Another writer writes an entry in which fields are missing, for a worker that has left.
pub fn foreign_entry(record: Record) {
    let workers = desk_workers(&record);
    let all: Vec<&Worker> = workers.iter().collect();
    let site = Site::start(record, &wire::configuration(1, &[ORDERS], &["desk"]), &all);
    seconds(2.0);
    let clients = start_clients(&site, false);
    seconds(3.0);
    site.store.remove(&all[0].key());
    let left = Instant::now();
    site.record
        .say("the store removes the entry of worker i-0, which serves on for 12 s");
    seconds(5.0);
    if site.has_trouble {
        let entry = wire::partial_registration("desk", all[0].server.address);
        site.store.write(&all[0].key(), entry.as_bytes());
        site.record
            .say(&format!("another writer writes {} = {entry}", all[0].key()));
    }
    seconds(7.0);
    workers[0].stop_in_run();
    site.record.say("worker i-0 exits");
    seconds(1.0);
    check_leaving(site, clients, &workers[0], left)
}

/// Another writer writes an entry with a text in place of a number and a number out of range.
pub fn foreign_number(record: Record) {
    let workers = desk_workers(&record);
    let all: Vec<&Worker> = workers.iter().collect();
    let mut site = Site::start(record, &wire::configuration(1, &[ORDERS], &["desk"]), &all);
    seconds(2.0);
    let clients = start_clients(&site, false);
    seconds(3.0);
    if site.has_trouble {
        let entry = wire::foreign_registration("desk");
        let key = format!("{}i-foreign", wire::REGISTRATION_PREFIX);
        site.store.write(&key, entry.as_bytes());
        site.record
            .say(&format!("another writer writes {key} = {entry}"));
    }
    seconds(3.0);
    all[0].register(&site.store, "draining", 2);
    let left = Instant::now();
    site.record
        .say("worker i-0 reports that it drains; it serves on for 8 s");
    seconds(8.0);
    workers[0].stop_in_run();
    site.record.say("worker i-0 exits");
    site.start_daemon(ZONES.len(), ZONES[0]);
    let added = &site.daemons[ZONES.len()];
    let is_ready = http::wait_until(Duration::from_secs(8), || added.is_ready());
    site.record.say(&format!(
        "a daemon that is added is ready within 8 s: {is_ready}"
    ));
    check_leaving(site, clients, &workers[0], left)
}

/// Body of the order that crashes workers.
const DEADLY: &str = "deadly order";
/// Clients from which it comes.
const DEADLY_CLIENTS: usize = 20;
/// Time from the beginning of its run to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(100);
/// Time after a crash until the entry of the worker is removed, three heartbeats after its last
/// one, and until a new worker is there.
const REMOVED_AFTER: Duration = Duration::from_millis(3_000);
const BACK_AFTER: Duration = Duration::from_millis(3_300);
/// `contactMs` of the small sites.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How often such an order may reach workers later than that after the third crash.
const LATE_MAX: usize = 3;

/// A worker's place: crashes when it runs the deadly order and comes back as a new worker.
fn run_place(
    number: usize,
    store: &Store,
    record: &Record,
    (runs, arrivals): (&Mutex<Vec<Run>>, &Mutex<Vec<Instant>>),
    crashes: &Mutex<Vec<Instant>>,
    (is_deadly, is_stopped): (bool, &AtomicBool),
) {
    let mut incarnation = 0;
    while !is_stopped.load(Ordering::SeqCst) {
        let id = format!("i-{number}-{incarnation}");
        // The crash comes before the end of the run.
        let work = move |body: &str| {
            if is_deadly && body == DEADLY {
                2 * CRASH_AFTER
            } else {
                WORK
            }
        };
        let worker = Worker::start_with(&id, "desk", ZONES[number], work, |_run| None, record);
        worker.register(store, "ready", 1);
        let is_crashed = http::wait_until(Duration::from_secs(100), || {
            let began = worker.began(DEADLY).filter(|_| is_deadly);
            began.is_some_and(|at| at.elapsed() >= CRASH_AFTER) || is_stopped.load(Ordering::SeqCst)
        });
        if is_crashed && !is_stopped.load(Ordering::SeqCst) {
            worker.stop();
            crashes.lock().unwrap().push(Instant::now());
            record.say(&format!("worker {id} crashes under the deadly order"));
        }
        runs.lock()
            .unwrap()
            .extend(worker.runs.lock().unwrap().iter().cloned());
        let reached = worker.arrivals.lock().unwrap();
        let deadly = reached
            .iter()
            .filter(|(_, content)| content.ends_with(DEADLY));
        arrivals.lock().unwrap().extend(deadly.map(|(at, _)| *at));
        drop(reached);
        if is_stopped.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(REMOVED_AFTER);
        store.remove(&worker.key());
        std::thread::sleep(BACK_AFTER - REMOVED_AFTER);
        incarnation += 1;
    }
}

/// An order crashes the workers that run it, first three of them within a quarter of a second, and
/// comes again and again.
pub fn deadly_order(record: Record) {
    let site = Site::start(record, &wire::configuration(1, &[ORDERS], &["desk"]), &[]);
    let (runs, arrivals) = (Mutex::default(), Mutex::default());
    let crashes = Mutex::default();
    let is_stopped = AtomicBool::new(false);
    let outcomes = std::thread::scope(|scope| {
        for number in 0..ZONES.len() {
            let (site, crashes, stopped) = (&site, &crashes, &is_stopped);
            let seen = (&runs, &arrivals);
            scope.spawn(move || {
                let flags = (site.has_trouble, stopped);
                run_place(number, &site.store, &site.record, seen, crashes, flags);
            });
        }
        seconds(3.0);
        let clients = start_clients(&site, false);
        seconds(1.0);
        for client in 0..DEADLY_CLIENTS {
            let (site, stopped) = (&site, &is_stopped);
            scope.spawn(move || send_deadly(client, site, stopped));
        }
        seconds(12.0);
        is_stopped.store(true, Ordering::SeqCst);
        clients
            .into_iter()
            .flat_map(Clients::stop)
            .collect::<Vec<_>>()
    });
    count_outcomes(&site, &outcomes);
    let crashes = crashes.into_inner().unwrap();
    let third = crashes.get(2).copied();
    let runs = runs.into_inner().unwrap();
    let is_late = |at: &Instant| third.is_some_and(|third| *at > third + CONTACT);
    let late = arrivals
        .into_inner()
        .unwrap()
        .iter()
        .filter(|at| is_late(at))
        .count();
    site.record.say(&format!(
        "crashes: {}; between the first and the third: {:?} ms; deadly orders that reached \
         workers later than {} ms after the third crash: {late} (allowed: {LATE_MAX})",
        crashes.len(),
        third.map(|third| third.duration_since(crashes[0]).as_millis()),
        CONTACT.as_millis(),
    ));
    let answered = |id: &str| {
        let outcome = outcomes.iter().find(|outcome| outcome.id == id);
        outcome.is_some_and(|outcome| outcome.status == Some(200))
    };
    let sound = runs.iter().filter(|run| !run.content.ends_with(DEADLY));
    let lost = sound
        .filter(|run| !run.is_answered && !answered(&run.id))
        .count();
    site.record
        .say(&format!("sound orders that were begun and lost: {lost}"));
    site.record_logs(&["quarantine", "endpoint checked", "panicked"]);
    site.finish(late > LATE_MAX)
}

/// Sends the deadly order every 333 ms, which is not before the time that a refusal names.
fn send_deadly(client: usize, site: &Site, is_stopped: &AtomicBool) {
    let interval = Duration::from_millis(333);
    let addresses = site.daemons.iter().map(|daemon| daemon.frontend);
    let mut connections: Vec<_> = addresses.map(Connection::new).collect();
    std::thread::sleep(interval.mul_f64(client as f64 / DEADLY_CLIENTS as f64));
    let mut next = client;
    while !is_stopped.load(Ordering::SeqCst) {
        let started = Instant::now();
        next += 1;
        let number = next % site.daemons.len();
        let name = &site.daemons[number].name;
        let request = (site::next_id(), DEADLY);
        let connection = &mut connections[number];
        site::send(
            connection,
            name,
            "POST",
            "/orders/2f",
            request,
            &site.record,
        );
        std::thread::sleep(interval.saturating_sub(started.elapsed()));
    }
}
