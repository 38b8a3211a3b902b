//! A small deployment on loopback: the store, workers, daemons and clients.

use std::collections::HashSet;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Message, Server, wait_until};
use crate::store::Store;
use crate::wire;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl` by which a process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Writes what happened to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &PathBuf) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("record"))),
            started: Instant::now(),
        }
    }

    pub fn add(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{at:9.3} {line}");
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }
}

/// A request that a worker began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    /// Method, path and body.
    pub content: String,
    /// Whether the worker wrote a complete answer.
    pub is_answered: bool,
}

/// The places of a worker: requests that run and requests that wait.
#[derive(Default)]
struct Places {
    taken: Mutex<(usize, usize)>,
    freed: Condvar,
    is_ended: AtomicBool,
}

/// Number of requests that a worker runs at once, and of those that wait.
const SLOTS: usize = 6;
const QUEUE: usize = 24;

impl Places {
    /// Waits for a slot; `None` if the queue is full or the worker has ended.
    fn take(&self) -> Option<()> {
        let mut taken = self.taken.lock().unwrap();
        if taken.1 >= QUEUE {
            return None;
        }
        taken.1 += 1;
        while taken.0 >= SLOTS && !self.is_ended.load(Ordering::SeqCst) {
            taken = self.freed.wait(taken).unwrap();
        }
        taken.1 -= 1;
        if self.is_ended.load(Ordering::SeqCst) {
            return None;
        }
        taken.0 += 1;
        Some(())
    }

    fn free(&self) {
        self.taken.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    fn end(&self) {
        let _taken = self.taken.lock().unwrap();
        self.is_ended.store(true, Ordering::SeqCst);
        self.freed.notify_all();
    }
}

/// A worker of a plain service.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub born: u64,
    pub server: Server,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Requests that reached the worker: when, and their contents.
    pub arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    places: Arc<Places>,
}

impl Worker {
    /// Starts a worker that takes `work` for a request.
    pub fn start(id: &str, service: &str, zone: &str, work: Duration, record: &Record) -> Self {
        Self::start_with(id, service, zone, move |_body| work, |_index| None, record)
    }

    /// Starts a worker that takes `work` of a request's body for the request, and sends the `stray`
    /// bytes of the run's number before its answer, if there are any.
    pub fn start_with(
        id: &str,
        service: &str,
        zone: &str,
        work: impl Fn(&str) -> Duration + Send + Sync + 'static,
        stray: impl Fn(usize) -> Option<&'static str> + Send + Sync + 'static,
        record: &Record,
    ) -> Self {
        let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
        let (own_runs, own_id, record) = (Arc::clone(&runs), id.to_owned(), record.clone());
        let used = Mutex::new(HashSet::new());
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let places = Arc::new(Places::default());
        let (own_arrivals, own_places) = (Arc::clone(&arrivals), Arc::clone(&places));
        let server = Server::start("127.0.0.1", move |request, stream| {
            let text = |key| request.header(key).unwrap_or_default().to_owned();
            let id = text(wire::REQUEST_ID_KEY);
            if text(wire::EXPECTED_KEY) != own_id {
                record.add(&format!(
                    "worker {own_id}: {id} rejected, another worker is named"
                ));
                let headers = [(wire::REQUEST_ID, id.as_str()), (wire::INSTANCE, &own_id)];
                return http::respond(stream, "421 Misdirected Request", &headers, "").is_ok();
            }
            let body = String::from_utf8_lossy(&request.body);
            let content = format!("{} {} {body}", request.method(), request.target());
            let arrival = (Instant::now(), content.clone());
            own_arrivals.lock().unwrap().push(arrival);
            if own_places.take().is_none() {
                record.add(&format!(
                    "worker {own_id}: {id} rejected, the queue is full"
                ));
                let headers = [(wire::REQUEST_ID, id.as_str()), (wire::NOT_RUN, "1")];
                return http::respond(stream, "503 Service Unavailable", &headers, "").is_ok();
            }
            record.add(&format!("worker {own_id}: {id} begins {}", request.start));
            let run = Run {
                id: id.clone(),
                at: Instant::now(),
                content,
                is_answered: false,
            };
            let index = {
                let mut runs = own_runs.lock().unwrap();
                runs.push(run);
                runs.len() - 1
            };
            // Only a connection that has carried a complete answer gets bytes after it.
            let is_used = !used.lock().unwrap().insert(stream.peer_addr().ok());
            if let Some(bytes) = is_used.then(|| stray(index)).flatten() {
                record.add(&format!(
                    "worker {own_id}: stray bytes before the answer to {id}"
                ));
                let _written = stream.write_all(bytes.as_bytes());
            }
            std::thread::sleep(work(&body));
            own_places.free();
            let headers = [
                (wire::REQUEST_ID, id.as_str()),
                (wire::SEAL, "seal"),
                ("Keep-Alive", "timeout=5"),
            ];
            let body = format!("done by {own_id}: {id}");
            let is_written = http::respond(stream, "200 OK", &headers, &body).is_ok();
            own_runs.lock().unwrap()[index].is_answered = is_written;
            record.add(&format!(
                "worker {own_id}: {id} answered, written: {is_written}"
            ));
            is_written
        });
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: unix_ms(),
            server,
            runs,
            arrivals,
            places,
        }
    }

    /// Ends the worker while it runs a request, if one comes within a second.
    pub fn stop_in_run(&self) {
        let limit = Duration::from_secs(1);
        let _runs = wait_until(limit, || self.places.taken.lock().unwrap().0 > 0);
        self.stop();
    }

    /// Ends the worker as a process would end.
    pub fn stop(&self) {
        self.places.end();
        self.server.stop();
    }

    pub fn key(&self) -> String {
        format!("{}{}", wire::REGISTRATION_PREFIX, self.id)
    }

    /// Returns when the worker began a request whose body is `body`, if it has.
    pub fn began(&self, body: &str) -> Option<Instant> {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .find(|run| run.content.ends_with(body))
            .map(|run| run.at)
    }

    /// Writes the worker's entry.
    pub fn register(&self, store: &Store, state: &str, sequence: u64) {
        let address = self.server.address;
        let (service, zone) = (&self.service, &self.zone);
        let entry = wire::registration(service, address, zone, state, self.born, sequence);
        store.write(&self.key(), entry.as_bytes());
    }

    pub fn runs_after(&self, at: Instant) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.at > at).cloned().collect()
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// A daemon, started with the command of the deploy file.
pub struct Daemon {
    pub name: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    child: Mutex<Child>,
}

/// Returns a free TCP port, which is free for UDP too.
fn free_port(ip: &str) -> u16 {
    loop {
        let tcp = TcpListener::bind((ip, 0)).expect("no free port");
        let port = tcp.local_addr().expect("port").port();
        if UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

impl Daemon {
    /// Starts a daemon of the site at `ip`, with the settings template filled in.
    pub fn start(name: &str, ip: &str, zone: &str, store: SocketAddr, folder: &PathBuf) -> Self {
        let template = std::fs::read_to_string("deploy/gateway.ini").expect("settings template");
        let (frontend, readiness) = (free_port(ip), free_port(ip));
        let fields = [
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.frontend", format!("{ip}:{frontend}")),
            ("listen.readiness", format!("{ip}:{readiness}")),
            ("ip", ip.to_owned()),
            ("internalPorts.0", free_port(ip).to_string()),
            ("platform.address", store.to_string()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.drainMs", "2000".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("limits.maxFds", "4100".to_owned()),
            ("limits.linkMbps", "1000.0".to_owned()),
        ];
        let mut settings = template;
        for (field, value) in fields {
            settings = settings.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let path = folder.join(format!("{name}.ini"));
        std::fs::write(&path, settings).expect("settings");
        let log = File::create(folder.join(format!("{name}.log"))).expect("log");
        let mut command = Command::new("target/release/ragwortgrade");
        command
            .arg("gateway")
            .env(wire::SETTINGS_VARIABLE, &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log);
        // SAFETY: `prctl` may be called between fork and exec. The daemon ends with this process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| {
            eprintln!("the daemon cannot be started: {error}");
            std::process::exit(2)
        });
        Self {
            name: name.to_owned(),
            frontend: format!("{ip}:{frontend}").parse().expect("address"),
            readiness: format!("{ip}:{readiness}").parse().expect("address"),
            child: Mutex::new(child),
        }
    }

    pub fn is_ready(&self) -> bool {
        let mut connection = Connection::new(self.readiness);
        let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = connection.send(request, Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _killed = child.kill();
        let _ended = child.wait();
    }
}

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// Status, or `None` if the connection ended without an answer.
    pub status: Option<u16>,
    pub body: String,
}

/// Statuses by which a client learns that its request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

impl Outcome {
    /// Returns whether the answer says that the request has not run and never will.
    pub fn is_refused(&self) -> bool {
        self.status
            .is_some_and(|status| NOT_RUN_STATUSES.contains(&status))
    }
}

/// Returns an ID that no request had before.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Clients that send requests to one daemon, each on a kept connection.
pub struct Clients {
    is_stopped: Arc<AtomicBool>,
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts clients that each send a request every `interval`, and once more with the same body
    /// if `is_retried` and the answer says that it has not run.
    pub fn start(
        daemon: &Daemon,
        clients: usize,
        interval: Duration,
        (method, path): (&'static str, &'static str),
        is_retried: bool,
        record: &Record,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..clients).map(|client| {
            let (stopped, outcomes) = (Arc::clone(&is_stopped), Arc::clone(&outcomes));
            let (address, name, record) = (daemon.frontend, daemon.name.clone(), record.clone());
            std::thread::spawn(move || {
                let mut connection = Connection::new(address);
                std::thread::sleep(interval.mul_f64(client as f64 / clients as f64));
                while !stopped.load(Ordering::SeqCst) {
                    let sent = Instant::now();
                    let id = next_id();
                    let body = if method == "POST" {
                        format!("order {id}")
                    } else {
                        String::new()
                    };
                    let request = (id, body.as_str());
                    let outcome = send(&mut connection, &name, method, path, request, &record);
                    let is_refused = outcome.is_refused();
                    outcomes.lock().unwrap().push(outcome);
                    std::thread::sleep(interval.saturating_sub(sent.elapsed()));
                    if is_refused && is_retried {
                        let request = (next_id(), body.as_str());
                        let outcome = send(&mut connection, &name, method, path, request, &record);
                        outcomes.lock().unwrap().push(outcome);
                    }
                }
            })
        });
        let threads = threads.collect();
        Self {
            is_stopped,
            outcomes,
            threads,
        }
    }

    /// Stops the clients and returns what they saw.
    pub fn stop(self) -> Vec<Outcome> {
        self.is_stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("client");
        }
        self.outcomes.lock().unwrap().clone()
    }
}

/// Sends one request with this ID and body, and records it.
pub fn send(
    connection: &mut Connection,
    daemon: &str,
    method: &str,
    path: &str,
    (id, body): (String, &str),
    record: &Record,
) -> Outcome {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {}\r\n{}: {id}\r\n{}: 1500\r\nContent-Length: {}\r\n\r\n{body}",
        wire::HOST,
        wire::REQUEST_ID,
        wire::DEADLINE,
        body.len(),
    );
    record.add(&format!("client: {id} sent to {daemon}: {method} {path}"));
    let answer = connection.send(&request, Duration::from_millis(1_900));
    let outcome = Outcome {
        id,
        status: answer.as_ref().map(Message::status),
        body: answer.map_or(String::new(), |answer| {
            String::from_utf8_lossy(&answer.body).into_owned()
        }),
    };
    record.add(&format!(
        "client: {} answered {:?} {}",
        outcome.id, outcome.status, outcome.body
    ));
    outcome
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A running deployment of three daemons in three zones.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub folder: PathBuf,
    pub has_trouble: bool,
}

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Site {
    /// Starts the store, writes the configuration and the workers' entries, and starts the daemons.
    pub fn start(record: Record, configuration: &str, workers: &[&Worker]) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let has_trouble = has_trouble();
        let store = Store::start();
        store.write(wire::CONFIGURATION_KEY, configuration.as_bytes());
        for worker in workers {
            worker.register(&store, "ready", 1);
        }
        let mut site = Self {
            record,
            store,
            daemons: Vec::new(),
            folder,
            has_trouble,
        };
        for (number, zone) in ZONES.iter().enumerate() {
            site.start_daemon(number, zone);
        }
        site.wait_until_ready();
        site
    }

    /// Starts a daemon at a loopback address of its own.
    pub fn start_daemon(&mut self, number: usize, zone: &str) {
        let process = std::process::id();
        let ip = format!(
            "127.{}.{}.{}",
            1 + process % 250,
            process / 250 % 250,
            10 + number
        );
        let name = format!("front-{number}");
        let store = self.store.server.address;
        let daemon = Daemon::start(&name, &ip, zone, store, &self.folder);
        self.daemons.push(daemon);
    }

    pub fn wait_until_ready(&self) {
        let limit = Duration::from_secs(15);
        if !wait_until(limit, || self.daemons.iter().all(Daemon::is_ready)) {
            self.record.say("the daemons did not become ready");
            std::process::exit(2);
        }
    }

    /// Copies the lines of the daemons' logs that hold one of the texts to the record.
    pub fn record_logs(&self, texts: &[&str]) {
        for daemon in &self.daemons {
            let path = self.folder.join(format!("{}.log", daemon.name));
            let Ok(file) = File::open(path) else { continue };
            for line in BufReader::new(file).lines().map_while(Result::ok) {
                if texts.iter().any(|text| line.contains(text)) {
                    self.record.add(&format!("log of {}: {line}", daemon.name));
                }
            }
        }
    }

    /// Ends all processes and exits with 1 if the rule was broken.
    pub fn finish(mut self, is_broken: bool) -> ! {
        self.daemons.clear();
        let _removed = std::fs::remove_dir_all(&self.folder);
        let result = if is_broken {
            "the rule was broken"
        } else {
            "the rule held"
        };
        self.record.say(result);
        std::process::exit(i32::from(is_broken))
    }
}
