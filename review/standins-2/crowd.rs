//! Many callers at once whose requests stay within the configured limits, stop one byte short of their
//! end and stay open, at one machine after the other. The platform ends a process whose memory exceeds that
//! of its machine, and starts it again.

mod common;
mod small;

use common::*;
use small::*;
use std::io::{self, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CALLERS: u64 = 3_800;
/// Longest time for which the crowd stays at a machine.
const CROWD_TIME: Duration = Duration::from_secs(52);
/// The rule is broken if processes end by themselves on a tenth of the machines, two at least, three times.
const MACHINES: usize = 2;
const ENDS: usize = 3;
/// `maxHeaderBytes` is 16,384 and `maxBodyBytes` 4,194,304.
const HEADERS: usize = 90;
const HEADER_BYTES: usize = 150;
const BODY_BYTES: usize = 120_000;
/// The crowd comes at once, leaves after this time, and comes again.
const WAVE_TIME: Duration = Duration::from_secs(5);
const WAVE_PAUSE: Duration = Duration::from_millis(500);
/// Pause before a caller that was refused, or whose connection was closed, sends its request again.
const PAUSE: Duration = Duration::from_millis(50);
/// Delay after which the platform starts a process that has ended.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Memory of the machine, as in the settings of the daemon.
const MEMORY_MB: u64 = 260;

#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    refused: AtomicU64,
    closed: AtomicU64,
}

/// Sends a request up to its last byte but one, and waits for what the daemon does.
fn stop_short(target: SocketAddr, number: u64, counts: &Counts, is_over: &dyn Fn() -> bool) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&target, Duration::from_secs(3))?;
    let mut head = format!(
        "POST /objednavka/o{number} HTTP/1.1\r\nHost: dilna.example\r\nX-Request-Id: o{number}\r\nX-Deadline-Ms: 10000\r\n"
    );
    for header in 0..HEADERS {
        head.push_str(&format!("X-Header-{header}: {}\r\n", "h".repeat(HEADER_BYTES)));
    }
    head.push_str(&format!("Content-Length: {BODY_BYTES}\r\n\r\n"));
    counts.requests.fetch_add(1, Ordering::SeqCst);
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'b'; BODY_BYTES - 1])?;
    stream.set_read_timeout(Some(Duration::from_millis(300)))?;
    let mut answer = [0; 512];
    while !is_over() {
        match stream.read(&mut answer) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {
                counts.refused.fetch_add(1, Ordering::SeqCst);
                return Ok(());
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn order(target: SocketAddr, number: u64) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let text = format!(
        "POST /objednavka/s{number} HTTP/1.1\r\nHost: dilna.example\r\nX-Request-Id: s{number}\r\nX-Deadline-Ms: 1500\r\n\
         Content-Length: 5\r\nConnection: close\r\n\r\norder"
    );
    stream.write_all(text.as_bytes())?;
    Ok(read_message(&mut BufReader::new(stream), false)?.map_or(0, |answer| answer.status()))
}

/// Returns the anonymous memory of a process in MB; 0 if it has ended.
fn memory_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|kb| kb.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}

fn main() {
    let record = Record::new(&std::env::args().nth(1).unwrap_or(".".to_owned()));
    let folder = Folder::new();
    let (store, store_address) = Store::start();
    store.put("op/config", &configuration(1));
    for (number, zone) in ZONES.iter().enumerate() {
        let name = format!("i-{number}");
        let worker = name.clone();
        let address = serve("127.0.0.1:0", move |stream| {
            let _ = (|| -> io::Result<()> {
                let mut reader = BufReader::new(stream.try_clone()?);
                let mut stream = stream;
                while let Some(request) = read_message(&mut reader, true)? {
                    let id = request.header("x-request-id").unwrap_or("").to_owned();
                    let seal = format!("{id}.{worker}");
                    let headers = [("X-Request-Id", id.as_str()), ("X-Response-Seal", &seal)];
                    stream.write_all(&response(200, &headers, &answer_body(&id, &worker)))?;
                }
                Ok(())
            })();
        });
        store.put(&format!("servers/{name}"), &registration("dilna-app", address, zone, None, unix_ms()));
    }
    let mut daemons: Vec<Daemon> = ZONES[..MACHINES]
        .iter()
        .map(|zone| start_daemon(&folder, &format!("front-{zone}-1"), zone, store_address, ""))
        .collect();
    if !daemons.iter().all(Daemon::is_ready) {
        finish(&record, daemons, folder, &[], Some("a daemon is not ready"));
    }
    let targets: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.callers).collect();
    // Number of the machine at which the crowd is, and of its wave.
    let place = Arc::new(AtomicUsize::new(0));
    let wave = Arc::new(AtomicUsize::new(0));
    let end = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    if has_trouble() {
        for number in 0..CALLERS {
            let (place, wave) = (Arc::clone(&place), Arc::clone(&wave));
            let (end, counts, targets) = (Arc::clone(&end), Arc::clone(&counts), targets.clone());
            let caller = move || {
                while !end.load(Ordering::SeqCst) {
                    let (machine, present) = (place.load(Ordering::SeqCst), wave.load(Ordering::SeqCst));
                    let is_over = || end.load(Ordering::SeqCst) || wave.load(Ordering::SeqCst) != present;
                    if stop_short(targets[machine], number, &counts, &is_over).is_err() {
                        counts.closed.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(if is_over() { WAVE_PAUSE } else { PAUSE });
                }
            };
            if thread::Builder::new().stack_size(192 << 10).spawn(caller).is_err() {
                finish(&record, daemons, folder, &[], Some("too many threads"));
            }
        }
    }
    let mut ends = [0; MACHINES];
    let mut peak_mb = 0;
    let (mut orders, mut served) = (0, 0);
    for machine in 0..MACHINES {
        place.store(machine, Ordering::SeqCst);
        wave.fetch_add(1, Ordering::SeqCst);
        let mut wave_at = Instant::now();
        let started_at = Instant::now();
        let mut ordered_at = Instant::now();
        let stay = if has_trouble() { CROWD_TIME } else { Duration::from_secs(8) };
        while started_at.elapsed() < stay && ends[machine] < ENDS {
            thread::sleep(Duration::from_millis(100));
            if wave_at.elapsed() >= WAVE_TIME {
                wave_at = Instant::now();
                wave.fetch_add(1, Ordering::SeqCst);
            }
            let daemon = &mut daemons[machine];
            let memory = memory_mb(daemon.pid());
            peak_mb = peak_mb.max(memory);
            let has_ended = daemon.has_ended();
            if memory > MEMORY_MB || has_ended {
                ends[machine] += 1;
                record.add(&format!("{}: {memory} MB of {MEMORY_MB}, ended by itself: {has_ended}; killed and started again", daemon.name));
                daemon.kill();
                thread::sleep(RESTART_TIME);
                daemon.start();
            } else if ordered_at.elapsed() >= Duration::from_millis(500) {
                ordered_at = Instant::now();
                orders += 1;
                let status = order(daemon.callers, orders).unwrap_or(0);
                served += u64::from(status == 200);
                record.add(&format!("{}: {memory} MB; ordinary order s{orders}: {status}", daemon.name));
            }
        }
    }
    end.store(true, Ordering::SeqCst);
    let crowd = format!(
        "{} requests of the crowd, {} answered, {} closed; at most {peak_mb} MB; {served} of {orders} ordinary orders served",
        counts.requests.load(Ordering::SeqCst),
        counts.refused.load(Ordering::SeqCst),
        counts.closed.load(Ordering::SeqCst),
    );
    record.add(&crowd);
    println!("{crowd}");
    let mut violations = Vec::new();
    if ends.iter().all(|ends| *ends >= ENDS) {
        violations.push(format!("Fault: processes on {MACHINES} machines ended {ends:?} times for their memory"));
    } else if ends.iter().any(|ends| *ends > 0) {
        println!("ends, too few for the rule: {ends:?}");
    }
    let problem = (!has_trouble() && served * 2 < orders).then_some("hardly an order was served");
    finish(&record, daemons, folder, &violations, problem);
}
