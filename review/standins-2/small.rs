//! A small deployment: three zones with a daemon and a plain worker each, and callers that order.

use super::common::*;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["morava-a", "morava-b", "morava-c"];

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// The evidence of a run, written to `record.txt`.
pub struct Record {
    path: PathBuf,
    started_at: Instant,
    lines: Mutex<String>,
}

impl Record {
    /// `folder` is the folder of the case.
    pub fn new(folder: &str) -> Arc<Self> {
        Arc::new(Self {
            path: PathBuf::from(folder).join("record.txt"),
            started_at: Instant::now(),
            lines: Mutex::default(),
        })
    }
    pub fn add(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.lines), "{at:8.3} {text}");
    }
    pub fn write(&self) {
        std::fs::write(&self.path, lock(&self.lines).as_str()).expect("the folder of the case is writable");
    }
}

/// Ends the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn finish(record: &Record, daemons: Vec<Daemon>, folder: Folder, violations: &[String], problem: Option<&str>) -> ! {
    drop(daemons);
    drop(folder);
    for violation in violations {
        record.add(&format!("BROKEN {violation}"));
    }
    let code = match (problem, violations.is_empty()) {
        (Some(problem), _) => {
            record.add(&format!("the case could not run: {problem}"));
            println!("could not run: {problem}");
            2
        }
        (None, true) => 0,
        (None, false) => 1,
    };
    let trouble = if has_trouble() { "with" } else { "without" };
    println!("{trouble} the disruption: {} violations, exit {code}", violations.len());
    for violation in violations.iter().take(5) {
        println!("  {violation}");
    }
    record.add(&format!("{trouble} the disruption: {} violations, exit {code}", violations.len()));
    record.write();
    std::process::exit(code);
}

/// What the workers ran: request IDs with the workers.
pub type Runs = Mutex<HashMap<String, Vec<String>>>;

/// Configuration with the routes of the small deployment that go to plain workers.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"dilna.example\",\"prefix\":\"/{name}/\",\"routeType\":\"{kind}\",\
             \"timeoutMs\":800,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"dilna-app\",\"maxAttempts\":{attempts}}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"dilna-app\",\"healthPath\":\"/health\",\
         \"maxConnections\":110}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("objednavka", "unsafe", 1),
        route("sklad", "safe", 2)
    )
}

/// Starts a daemon; another process may take its ports meanwhile, so it is started on others then.
pub fn start_daemon(folder: &Folder, name: &str, zone: &str, store: SocketAddr, further: &str) -> Daemon {
    let mut tries = 0;
    loop {
        tries += 1;
        let mut daemon = Daemon::new(&folder.0, name, zone, store, further);
        daemon.start();
        if daemon.wait_until_ready(Duration::from_secs(4)) || tries == 4 {
            return daemon;
        }
    }
}

/// Starts the store with the configuration, and a daemon a zone.
pub fn start(folder: &Folder) -> (Arc<Store>, Vec<Daemon>) {
    let (store, address) = Store::start();
    store.put("op/config", &configuration(1));
    let daemons = ZONES.iter().map(|zone| start_daemon(folder, &format!("front-{zone}-1"), zone, address, "")).collect();
    (store, daemons)
}

/// Body of a worker's answer.
pub fn answer_body(id: &str, worker: &str) -> Vec<u8> {
    let mut text = format!("{id} at {worker}: ");
    while text.len() < 800 {
        text.push_str(id);
    }
    text.into_bytes()
}

/// A request and how it ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub route: &'static str,
    /// Status of the final response, 0 for none.
    pub status: u16,
    pub text: String,
    /// Interim responses (1xx) before it.
    pub interim: Vec<u16>,
    pub seal: Option<String>,
    pub body: Vec<u8>,
}

/// Sends requests one after the other on a kept connection until `end`.
pub fn call(number: u64, target: SocketAddr, record: &Record, end: &AtomicBool, outcomes: &Mutex<Vec<Outcome>>) {
    let mut random = Random::new(number + 17);
    let mut kept: Option<(BufReader<TcpStream>, TcpStream)> = None;
    let mut count = 0;
    while !end.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("c{number}-{count}");
        let route = if random.chance(70) { "objednavka" } else { "sklad" };
        if kept.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            kept = Some((BufReader::new(stream.try_clone().unwrap()), stream));
        }
        let (reader, stream) = kept.as_mut().unwrap();
        let (method, body) = if route == "objednavka" { ("POST", format!("order {id}")) } else { ("GET", String::new()) };
        let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let text = format!(
            "{method} /{route}/{id} HTTP/1.1\r\nHost: dilna.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n{length}\r\n{body}"
        );
        let outcome = send(reader, stream, &text, &id, route);
        record.add(&format!(
            "caller {id} {method} /{route}/: {} {} seal {:?} interim {:?}",
            outcome.status, outcome.text, outcome.seal, outcome.interim
        ));
        if outcome.text != "kept" {
            kept = None;
        }
        lock(outcomes).push(outcome);
        // 18 callers send the 50 requests a second of the sheet.
        thread::sleep(Duration::from_millis(200 + random.below(280)));
    }
}

fn send(reader: &mut BufReader<TcpStream>, stream: &mut TcpStream, text: &str, id: &str, route: &'static str) -> Outcome {
    let mut outcome = Outcome {
        id: id.to_owned(),
        route,
        status: 0,
        text: String::new(),
        interim: Vec::new(),
        seal: None,
        body: Vec::new(),
    };
    let result = (|| -> io::Result<&'static str> {
        stream.write_all(text.as_bytes())?;
        let mut answer = loop {
            match read_head(reader)? {
                None => return Ok("closed"),
                // A sound client takes these for interim responses and waits for the final one.
                Some(head) if head.status() / 100 == 1 => outcome.interim.push(head.status()),
                Some(head) => break head,
            }
        };
        read_body(reader, &mut answer, false)?;
        outcome.status = answer.status();
        outcome.seal = answer.header("x-response-seal").map(str::to_owned);
        let closes = answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        outcome.body = answer.body;
        Ok(if closes { "closed after it" } else { "kept" })
    })();
    outcome.text = result.map_or_else(|error| format!("{:?}", error.kind()), str::to_owned);
    outcome
}
