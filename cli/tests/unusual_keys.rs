//! Gateway processes that start while other writers' registrations have unusual keys.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use ragwortgrade_standins::site::{Example, Response, Store, Worker};

/// Time within which a process is ready; normally that takes less than a second.
const READY_TIME: Duration = Duration::from_secs(10);
/// Names of endpoints that need an encoding in a query.
const UNUSUAL_NAMES: [&str; 7] = [
    "a00%#",
    "a01%#zz",
    "a02&b=",
    "a03+",
    "a04%C3%A9",
    "a05 é",
    "a06?x=1;y\"\\",
];

/// A JSON object without fields, in base64.
const EMPTY_OBJECT: &str = "e30=";

struct Process {
    child: Child,
    settings: String,
    readiness_address: SocketAddr,
    folder: tempfile::TempDir,
}

impl Process {
    fn start(name: &str, store: SocketAddr) -> Self {
        // The addresses stay the same after a restart, as on a machine of the platform.
        let peers = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let peers_address = peers.local_addr().unwrap();
        let readiness_address = free_address();
        let settings = format!(
            "[gateway]\nname = {name}\ndata_centre = a\ncallers_address = {}\n\
             readiness_address = {readiness_address}\npeers_address = {peers_address}\nmetrics_address =\n\
             store_address = {store}\nretry_ratio = 0.2\nleaving_bound_ms = 2000\n\
             stop_timeout_seconds = 8\nopen_files_max = 1000\nlink_mbps = 20\nlog_level = info\n",
            free_address()
        );
        drop(peers);
        let folder = tempfile::tempdir().unwrap();
        let child = spawn(&folder, &settings);
        Self {
            child,
            settings,
            readiness_address,
            folder,
        }
    }

    /// Ends the process like a failure of its machine, and starts it again.
    fn kill_and_restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = spawn(&self.folder, &self.settings);
    }

    fn is_ready(&self) -> bool {
        let answer = TcpStream::connect(self.readiness_address).and_then(|mut stream| {
            stream.set_read_timeout(Some(READY_TIME))?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\n\r\n")?;
            let mut start = [0; 12];
            stream.read_exact(&mut start)?;
            Ok(start)
        });
        answer.is_ok_and(|start| &start == b"HTTP/1.1 200")
    }

    fn wait_until_ready(&mut self) {
        let end = Instant::now() + READY_TIME;
        while !self.is_ready() {
            assert_eq!(self.child.try_wait().unwrap(), None, "the process ended");
            assert!(Instant::now() < end, "not ready: {}", self.settings);
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }
}

fn spawn(folder: &tempfile::TempDir, settings: &str) -> Child {
    let path = folder.path().join("gateway.ini");
    std::fs::write(&path, settings).unwrap();
    Command::new(env!("CARGO_BIN_EXE_ragwortgrade"))
        .args(["gateway", "--settings"])
        .arg(path)
        .stdout(Stdio::null())
        .spawn()
        .unwrap()
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Guards against daemons that do not become ready after a restart, as the listing of the registrations
/// cannot continue after a key that is not encoded in the query.
#[test]
fn restarted_processes_become_ready_whatever_the_keys() {
    let store = Store::bind();
    store.set_page_items(1);
    let worker = Worker::bind(|_| Response::complete(200, &[Example::SIGNATURE], "served"));
    let example = Example {
        body_bytes_max: 1 << 20,
    };
    example.configure(&store);
    example.register(&store, worker.address());
    let names = ["a-1", "a-2", "a-3"];
    let mut processes = names.map(|name| Process::start(name, store.address()));
    for process in &mut processes {
        process.wait_until_ready();
    }
    for name in UNUSUAL_NAMES {
        let key = format!("servers/{name}");
        store.write(&key, EMPTY_OBJECT);
    }
    for process in &mut processes[1..] {
        process.kill_and_restart();
    }
    for process in &mut processes {
        process.wait_until_ready();
    }
}
