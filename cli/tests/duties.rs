//! Duties of gateway processes that are killed or stopped.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use ragwortgrade_standins::site::{DutyCall, DutyService, Store};
use rustix::process::{Pid, Signal, kill_process};

/// Timeout of waits that normally take some seconds.
const WAIT: Duration = Duration::from_secs(20);
/// Time within which another daemon must act after the holder has ended, and during which former holders
/// must not act after another holder.
const REPLACEMENT_TIME: Duration = Duration::from_secs(5);
const LEASE_TIME: Duration = Duration::from_secs(3);

struct Fleet {
    platform: DutyService,
    processes: Vec<Child>,
    _store: Store,
    _folder: tempfile::TempDir,
}

impl Fleet {
    /// Starts gateways and waits until they report and know each other.
    fn start(gateways: usize) -> Self {
        let store = Store::bind();
        store.expire_leases();
        let platform = DutyService::bind();
        let folder = tempfile::tempdir().unwrap();
        let spawn = |index: usize| {
            let path = folder.path().join(format!("{index}.ini"));
            let text = settings(index, store.address(), platform.address());
            std::fs::write(&path, text).unwrap();
            Command::new(env!("CARGO_BIN_EXE_ragwortgrade"))
                .args(["gateway", "--settings"])
                .arg(path)
                .stdout(Stdio::null())
                .spawn()
                .unwrap()
        };
        let fleet = Self {
            processes: (0..gateways).map(spawn).collect(),
            platform,
            _store: store,
            _folder: folder,
        };
        fleet.wait_until(|calls| !calls.is_empty());
        thread::sleep(Duration::from_secs(6));
        fleet
    }

    fn wait_until(&self, condition: impl Fn(&[DutyCall]) -> bool) {
        let end = Instant::now() + WAIT;
        while !condition(&self.platform.calls()) {
            assert!(Instant::now() < end, "condition did not hold in time");
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn holder(&self) -> usize {
        index(self.platform.calls().last().unwrap())
    }

    fn signal(&self, gateway: usize, signal: Signal) {
        let pid = Pid::from_child(&self.processes[gateway]);
        kill_process(pid, signal).unwrap();
    }

    /// Checks the tokens and the windows of all reports.
    fn check(&self) {
        let calls = self.platform.calls();
        for pair in calls.windows(2) {
            let is_repeat = pair[0].body == pair[1].body;
            let window = |call: &DutyCall| call.window.unwrap();
            let is_next = window(&pair[1]) == window(&pair[0]) + 1;
            assert!(is_repeat || is_next, "{pair:?}");
            let is_same_holder = pair[0].holder == pair[1].holder;
            assert!(pair[0].token <= pair[1].token, "{pair:?}");
            assert!(is_same_holder || pair[0].token < pair[1].token, "{pair:?}");
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // A killed process is not running any more.
            let _result = process.kill();
            let _status = process.wait();
        }
    }
}

/// Returns which gateway has made a call.
fn index(call: &DutyCall) -> usize {
    call.holder[2..].parse().unwrap()
}

fn settings(index: usize, store: SocketAddr, platform: SocketAddr) -> String {
    // The registration has this address, so the system's choice must be known before.
    let peers = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let peers = peers.local_addr().unwrap();
    format!(
        "[gateway]\nname = a-{index}\ndata_centre = a\ncallers_address = 127.0.0.1:0\n\
         readiness_address = 127.0.0.1:0\npeers_address = {peers}\nmetrics_address =\n\
         store_address = {store}\nretry_ratio = 0.2\nleaving_bound_ms = 2000\n\
         stop_timeout_seconds = 8\nopen_files_max = 1000\nlink_mbps = 20\nlog_level = info\n\
         duties_address = {platform}\nduties = usage\nusage_window_seconds = 1\n"
    )
}

/// Guards against windows that are left out, and a late successor, when the holder is killed.
#[test]
fn holder_is_killed() {
    let mut fleet = Fleet::start(3);
    let former = fleet.holder();
    fleet.processes[former].kill().unwrap();
    let killed_at = Instant::now();
    fleet.wait_until(|calls| calls.last().is_some_and(|call| index(call) != former));
    let elapsed = killed_at.elapsed();
    assert!(elapsed <= REPLACEMENT_TIME, "{elapsed:?}");
    thread::sleep(Duration::from_secs(4));
    fleet.check();
}

/// Guards against a holder that goes on after it was stopped for longer than its lease.
#[test]
fn holder_is_stopped_and_continued() {
    let fleet = Fleet::start(3);
    let former = fleet.holder();
    fleet.signal(former, Signal::STOP);
    fleet.wait_until(|calls| calls.last().is_some_and(|call| index(call) != former));
    fleet.signal(former, Signal::CONT);
    thread::sleep(LEASE_TIME + Duration::from_secs(2));
    assert_ne!(fleet.holder(), former);
    fleet.check();
}
