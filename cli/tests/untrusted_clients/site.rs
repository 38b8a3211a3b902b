use std::fs;
use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use ragwortgrade_standins::site::{Example, Request, Response, Store, Worker};

use super::crowd::{CONNECTIONS, Crowd};

/// Maximum size of a body in the configuration of the tests.
pub const BODY_BYTES_MAX: usize = 2 << 20;
/// Most memory of the process: the smallest machine has 120 MB, of which a third is left to the
/// system and to other processes.
const MEMORY_MAX_KB: usize = 80 << 10;
/// Descriptors that the settings allow; half of them are for callers. They exceed what the crowd
/// opens, except for connections without a request.
pub const OPEN_FILES_MAX: usize = 400;
pub const FEW_OPEN_FILES_MAX: usize = 120;
/// Size of an ordinary caller's body.
const ORDINARY_BODY_BYTES: usize = 72 << 10;
/// Size of the responses that nobody reads.
const LARGE_RESPONSE_BYTES: usize = 3 << 20;
/// Size of an event of the streams that nobody reads.
const LARGE_EVENT_BYTES: usize = 32 << 10;
/// Ends a test that hangs.
const HANG_TIME: Duration = Duration::from_secs(10);
/// Time without growth after which the peak memory is final.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Pause before an ordinary caller repeats a request that was refused or not accepted.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// Only one test runs at a time, as each measures memory and uses much of it.
static TURN: Mutex<()> = Mutex::new(());

/// The program between test callers and stand-ins.
pub struct Site {
    child: Child,
    callers_address: SocketAddr,
    open_files_max: usize,
    worker: Worker,
    _store: Store,
    _folder: tempfile::TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts the program with this many descriptors.
    pub fn start(open_files_max: usize) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let store = Store::bind();
        let worker = Worker::bind(respond);
        let example = Example {
            body_bytes_max: BODY_BYTES_MAX,
        };
        example.configure(&store);
        example.register(&store, worker.address());
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("gateway.ini");
        let memory = std::env::var("UNTRUSTED_CLIENTS_MEMORY_MB")
            .map(|memory| format!("memory_mb = {memory}\n"))
            .unwrap_or_default();
        let text = format!(
            "[gateway]\nname = a-1\ndata_centre = a\ncallers_address = 127.0.0.1:0\n\
             readiness_address = 127.0.0.1:0\npeers_address = 127.0.0.1:0\nmetrics_address =\n\
             store_address = {}\nretry_ratio = 0.2\nleaving_bound_ms = 2000\n\
             stop_timeout_seconds = 8\nopen_files_max = {open_files_max}\nlink_mbps = 20\n\
             log_level = info\n{memory}",
            store.address()
        );
        fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_ragwortgrade"))
            .args(["gateway", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, addresses) = mpsc::channel();
        let output = BufReader::new(child.stdout.take().unwrap());
        let copies_log = std::env::var_os("UNTRUSTED_CLIENTS_LOG").is_some();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if copies_log {
                    eprintln!("{line}");
                }
                let Ok(line) = serde_json::from_str::<serde_json::Value>(&line) else {
                    continue;
                };
                if line["purpose"] == "callers" {
                    let _ended = sender.send(line["address"].as_str().unwrap().parse().unwrap());
                }
            }
        });
        let callers_address = addresses.recv_timeout(HANG_TIME).unwrap();
        let site = Self {
            child,
            callers_address,
            open_files_max,
            worker,
            _store: store,
            _folder: folder,
            _turn: turn,
        };
        site.post_until_served(ORDINARY_BODY_BYTES);
        site
    }

    pub const fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Waits until the worker has got a request of each connection of the crowd or gets no more, and
    /// its responses have had time to arrive.
    pub fn wait_for_worker_requests(&self) {
        let end = Instant::now() + Duration::from_secs(3);
        while Instant::now() < end && self.worker.requests().len() <= CONNECTIONS {
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(1));
    }

    /// Checks that an ordinary request is answered while the crowd is connected.
    pub fn check_ordinary_caller(&self, crowd: &Crowd) {
        assert_eq!(crowd.len(), CONNECTIONS);
        self.post_until_served(ORDINARY_BODY_BYTES);
    }

    /// Checks that a request with the largest body is answered.
    pub fn check_largest_body(&self) {
        self.post_until_served(BODY_BYTES_MAX);
    }

    /// Checks that the process is alive, and its peak memory and descriptors.
    pub fn check_bounds(mut self) {
        assert_eq!(self.child.try_wait().unwrap(), None, "the process ended");
        let id = self.child.id();
        let peak_kb = self.peak_kb();
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
        println!("peak memory {peak_kb} KB, {descriptors} descriptors");
        assert!(peak_kb <= MEMORY_MAX_KB, "peak memory {peak_kb} KB");
        assert!(
            descriptors <= self.open_files_max,
            "{descriptors} descriptors"
        );
    }

    /// Returns the peak memory once it has not grown for a while: what the crowd sent may still be in
    /// the system's buffers.
    fn peak_kb(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let read = || -> usize {
            let status = fs::read_to_string(&path).unwrap();
            let peak = status.lines().find(|line| line.starts_with("VmHWM:"));
            let peak = peak.and_then(|line| line.split_whitespace().nth(1));
            peak.unwrap().parse().unwrap()
        };
        let end = Instant::now() + HANG_TIME;
        let mut peak_kb = read();
        let mut grown_at = Instant::now();
        while grown_at.elapsed() < SETTLE_TIME && Instant::now() < end {
            thread::sleep(Duration::from_millis(50));
            let now_kb = read();
            if now_kb > peak_kb {
                (peak_kb, grown_at) = (now_kb, Instant::now());
            }
        }
        peak_kb
    }

    /// Sends a request until it is answered with 200, as a caller does that is refused.
    fn post_until_served(&self, bytes: usize) {
        let end = Instant::now() + HANG_TIME;
        loop {
            let answer = self.post(bytes).unwrap_or_else(|error| error.to_string());
            if answer.starts_with("HTTP/1.1 200 ") {
                return;
            }
            assert!(Instant::now() < end, "not answered: {answer}");
            thread::sleep(REPEAT_PAUSE);
        }
    }

    fn post(&self, bytes: usize) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(self.callers_address)?;
        stream.set_read_timeout(Some(HANG_TIME))?;
        stream.set_write_timeout(Some(HANG_TIME))?;
        let head = format!(
            "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\nContent-Length: {bytes}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(&vec![b'x'; bytes])?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer).into_owned())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// Returns the response of the worker: a large one if the path asks for it.
fn respond(request: &Request) -> Response {
    let signature = Example::SIGNATURE;
    match request.target.as_str() {
        "/safe/large" => {
            let body = "x".repeat(LARGE_RESPONSE_BYTES);
            Response::complete(200, &[signature], &body)
        }
        "/talk/large" => {
            let event = format!("data: {}\n\n", "x".repeat(LARGE_EVENT_BYTES));
            let (name, value) = signature;
            let head = format!(
                "HTTP/1.1 200 OK\r\n{name}: {value}\r\nContent-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            // More than a gateway may hold; a fixed length ends the response of each engine call.
            let events = chunk.repeat(LARGE_RESPONSE_BYTES / LARGE_EVENT_BYTES);
            Response::Bytes(format!("{head}{events}0\r\n\r\n").into_bytes())
        }
        _ => Response::complete(200, &[signature], "served"),
    }
}
