//! Workers that send additional bytes after a complete response, at the point where the next response
//! is expected.

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

/// One of the three workers is in trouble for 5 s, and adds bytes after one answer in fifty.
const TROUBLE_AT: Duration = Duration::from_secs(3);
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const ANSWERS_PER_STRAY: u64 = 50;
/// Bytes that answer no request: no request had timed out.
const STRAY: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n";

struct Worker {
    name: String,
    is_sick: AtomicBool,
    answers: AtomicU64,
    strays: AtomicU64,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Worker {
    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        let mut owes_stray = false;
        while let Some(request) = read_message(&mut reader, true)? {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            if request.header("x-expect-instance").is_some_and(|name| name != self.name) {
                stream.write_all(&response(421, &[("X-Request-Id", &id)], b""))?;
                continue;
            }
            if std::mem::take(&mut owes_stray) {
                self.record.add(&format!("worker {} sends additional bytes before its answer to {id}", self.name));
                self.strays.fetch_add(1, Ordering::SeqCst);
                stream.write_all(STRAY)?;
            }
            lock(&self.runs).entry(id.clone()).or_default().push(self.name.clone());
            self.record.add(&format!("worker {} runs {id}", self.name));
            thread::sleep(Duration::from_millis(15));
            let seal = format!("{id}.{}", self.name);
            let headers = [("X-Request-Id", id.as_str()), ("X-Response-Seal", &seal), ("Keep-Alive", "timeout=5")];
            stream.write_all(&response(200, &headers, &answer_body(&id, &self.name)))?;
            if self.is_sick.load(Ordering::SeqCst) {
                let answers = self.answers.fetch_add(1, Ordering::SeqCst);
                owes_stray = answers % ANSWERS_PER_STRAY == ANSWERS_PER_STRAY / 2;
            }
        }
        Ok(())
    }
}

fn main() {
    let record = Record::new(&std::env::args().nth(1).unwrap_or(".".to_owned()));
    let folder = Folder::new();
    let (store, daemons) = start(&folder);
    let runs: Arc<Runs> = Arc::default();
    let mut workers = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let worker = Arc::new(Worker {
            name: format!("i-{number}"),
            is_sick: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            strays: AtomicU64::new(0),
            runs: Arc::clone(&runs),
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
    thread::sleep(Duration::from_millis(200));
    let runs = lock(&runs).clone();
    let mut violations = Vec::new();
    let outcomes = lock(&outcomes).clone();
    for outcome in &outcomes {
        let ran = runs.get(&outcome.id).cloned().unwrap_or_default();
        if outcome.route == "objednavka" && [408, 421, 429, 503].contains(&outcome.status) && !ran.is_empty() {
            violations.push(format!("REFUSED: {} was answered {} and ran at {ran:?}", outcome.id, outcome.status));
        }
    }
    let strays = workers[0].strays.load(Ordering::SeqCst);
    println!("{} requests, {strays} times additional bytes", outcomes.len());
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    let problem = (served * 2 < outcomes.len()).then_some("hardly a request was served");
    finish(&record, daemons, folder, &violations, problem);
}
