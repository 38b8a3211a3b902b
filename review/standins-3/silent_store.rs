//! A store that answers nothing for 0.3 s, right after a change of the configuration. With `LOST=1` it is
//! never silent, and loses one answer: that to the daemon's watch of the configuration.
#[path = "common.rs"]
mod common;

use common::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Calls that arrive within this time are never answered.
const SILENCE: Duration = Duration::from_millis(300);
/// `contactMs` and some more: the store is stable and the daemon in touch.
const CALM: Duration = Duration::from_millis(4_000);
/// `configApplyMs`.
const APPLY: Duration = Duration::from_millis(2_000);
/// Time for which requests are sent after that, and the interval between them.
const CHECK_TIME: Duration = Duration::from_secs(16);
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

fn run() -> Result<bool, String> {
    let (folder, trouble) = arguments();
    let record = Record::create(&folder);
    record.line(&format!("TROUBLE={}", u8::from(trouble)));
    let runs: Arc<Mutex<Vec<(Instant, &'static str)>>> = Arc::default();
    let worker = |name: &'static str| {
        let (runs, record) = (Arc::clone(&runs), record.clone());
        serve(move |request| {
            let id = request.header("x-request-id").to_owned();
            record.line(&format!("worker of {name}: runs {id} {}", request.path));
            runs.lock().unwrap().push((Instant::now(), name));
            let headers = [("X-Request-Id", id.as_str()), ("X-Response-Seal", "seal"), ("Keep-Alive", "timeout=5")];
            Some(response("200 OK", &headers, &[b'x'; 800]))
        })
    };
    let (old, new) = (worker("desk-old"), worker("desk-new"));
    let store = Store::start(&record);
    let configuration = |version: u64, service: &str, timeout_ms: u64| {
        let routes = [Route { name: "order", kind: "unsafe", service, timeout_ms }];
        configuration(version, &routes, &["desk-old", "desk-new"])
    };
    store.write("op/config", &configuration(1, "desk-old", 1_500));
    store.write("servers/i-1", &registration("desk-old", old, "ready"));
    store.write("servers/i-2", &registration("desk-new", new, "ready"));
    let daemon = Daemon::start("front-a-1", store.address, &record)?;
    thread::sleep(CALM);
    // The renewals of the daemon's lease, once a second, fall before and after the silence.
    let renewals = store.renewals();
    while store.renewals() == renewals {
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(Duration::from_millis(200));
    let second = configuration(2, "desk-old", 1_400);
    let loses_answer = std::env::var("LOST").is_ok_and(|value| value == "1");
    if trouble && loses_answer {
        store.lose_next_answer("op/config");
        store.write("op/config", &second);
        record.line("operator: version 2 acknowledged; the answer to the daemon's watch is lost");
    } else if trouble {
        store.write_before_silence("op/config", &second, SILENCE);
        record.line(&format!("operator: version 2 acknowledged; the store is silent for {SILENCE:?}"));
    } else {
        store.write("op/config", &second);
        record.line("operator: version 2 acknowledged");
    }
    thread::sleep(SILENCE + CALM);
    store.write("op/config", &configuration(3, "desk-new", 1_400));
    let acknowledged_at = Instant::now();
    record.line("operator: version 3 acknowledged; the route `order` moves from desk-old to desk-new");
    thread::sleep(APPLY);
    let (mut sent, mut stale) = (0, 0);
    while acknowledged_at.elapsed() < APPLY + CHECK_TIME {
        sent += 1;
        let request = format!(
            "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r{sent}\r\nX-Deadline-Ms: 1500\r\n\
             Content-Length: 2\r\nConnection: close\r\n\r\nhi"
        );
        let sent_at = Instant::now();
        let since_ms = acknowledged_at.elapsed().as_millis();
        let answer = send_once(daemon.callers, &request);
        let status = answer.as_ref().map_or_else(Clone::clone, |(status, _, _)| status.to_string());
        let by = runs.lock().unwrap().iter().rev().find(|(at, _)| *at >= sent_at).map(|(_, name)| *name);
        record.line(&format!("client: request r{sent} sent {since_ms} ms after version 3: {status}, run by {by:?}"));
        stale += u32::from(by == Some("desk-old"));
        thread::sleep(REQUEST_INTERVAL);
    }
    record.line(&format!("requests run by the service of version 2: {stale} of {sent}"));
    for line in daemon.log_lines("store call failed") {
        record.line(&format!("daemon: {line}"));
    }
    Ok(stale > 0)
}

fn main() {
    std::process::exit(match run() {
        Ok(true) => BROKEN,
        Ok(false) => HELD,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            CANNOT_RUN
        }
    });
}
