//! Workers that answer some requests with bytes that are not a response: the head of a switch to
//! another protocol, for which nobody asked.

mod common;
mod small;

use common::*;
use small::*;
use std::io::{self, BufReader, Write as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// One of the three workers is in trouble for 5 s, and spoils one answer in fifty.
const TROUBLE_AT: Duration = Duration::from_secs(3);
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const ANSWERS_PER_SPOILT: u64 = 50;
const SPOILT: &[u8] = b"HTTP/1.1 101 Switching Protocols\r\n\r\n";

struct Worker {
    name: String,
    is_sick: AtomicBool,
    answers: AtomicU64,
    spoilt: AtomicU64,
    record: Arc<Record>,
}

impl Worker {
    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = read_message(&mut reader, true)? {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            if request.header("x-expect-instance").is_some_and(|name| name != self.name) {
                stream.write_all(&response(421, &[("X-Request-Id", &id)], b""))?;
                continue;
            }
            let asks = request.header("upgrade").is_some();
            self.record.add(&format!("worker {} runs {id}, asked for another protocol: {asks}", self.name));
            thread::sleep(Duration::from_millis(15));
            let is_spoilt = self.is_sick.load(Ordering::SeqCst)
                && self.answers.fetch_add(1, Ordering::SeqCst) % ANSWERS_PER_SPOILT == ANSWERS_PER_SPOILT / 2;
            if is_spoilt {
                self.record.add(&format!("worker {} answers {id} with bytes that are not a response", self.name));
                self.spoilt.fetch_add(1, Ordering::SeqCst);
                stream.write_all(SPOILT)?;
                continue;
            }
            let seal = format!("{id}.{}", self.name);
            let headers = [("X-Request-Id", id.as_str()), ("X-Response-Seal", &seal), ("Keep-Alive", "timeout=5")];
            stream.write_all(&response(200, &headers, &answer_body(&id, &self.name)))?;
        }
        Ok(())
    }
}

fn main() {
    let record = Record::new(&std::env::args().nth(1).unwrap_or(".".to_owned()));
    let folder = Folder::new();
    let (store, daemons) = start(&folder);
    let mut workers = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let worker = Arc::new(Worker {
            name: format!("i-{number}"),
            is_sick: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            spoilt: AtomicU64::new(0),
            record: Arc::clone(&record),
        });
        let served = Arc::clone(&worker);
        let address = serve("127.0.0.1:0", move |stream| {
            let _ = served.serve_connection(stream);
        });
        store.put(&format!("servers/i-{number}"), &registration("dilna-app", address, zone, None, unix_ms()));
        workers.push(worker);
    }
    if !daemons.iter().all(|daemon| daemon.wait_until_ready(Duration::from_secs(10))) {
        finish(&record, daemons, folder, &[], Some("a daemon is not ready"));
    }
    let end = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let callers: Vec<_> = (0..18)
        .map(|number| {
            let target = daemons[number as usize % 3].callers;
            let (record, end, outcomes) = (Arc::clone(&record), Arc::clone(&end), Arc::clone(&outcomes));
            thread::spawn(move || call(number, target, &record, &end, &outcomes))
        })
        .collect();
    thread::sleep(TROUBLE_AT);
    workers[0].is_sick.store(has_trouble(), Ordering::SeqCst);
    thread::sleep(TROUBLE_TIME);
    workers[0].is_sick.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    end.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let outcomes = lock(&outcomes).clone();
    let violations: Vec<String> = outcomes
        .iter()
        .filter(|outcome| outcome.interim.contains(&101))
        .map(|outcome| {
            format!("MIXED: {} ({}) got 101 Switching Protocols, then: {}", outcome.id, outcome.route, outcome.text)
        })
        .collect();
    let spoilt = workers[0].spoilt.load(Ordering::SeqCst);
    println!("{} requests, {spoilt} spoilt answers", outcomes.len());
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    let problem = (served * 2 < outcomes.len()).then_some("hardly a request was served");
    finish(&record, daemons, folder, &violations, problem);
}
