//! Clients that read their answers slowly, and stay well within their deadlines: they pause once, or read
//! at a steady pace. Arguments: the folder of the case, the length of an answer in bytes, the pause in ms,
//! the number of clients, the bytes that a client reads a second (0: as they come), the deadline in ms.
#[path = "common.rs"]
mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between two reads of a client that reads at a steady pace.
const PACE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Copy)]
struct Load {
    /// Length of a long answer. A client that does not read takes less than that into its buffer.
    answer_bytes: usize,
    /// Time for which a client reads nothing.
    pause: Duration,
    clients: usize,
    /// Bytes that a client reads each `PACE_INTERVAL`; 0 without a limit.
    pace: usize,
    /// Deadline of the clients and timeout of the route.
    deadline_ms: u64,
}

/// How the second request of a kept connection ended.
#[derive(Clone, Debug)]
enum End {
    Whole,
    Cut { bytes: usize, why: String, after_ms: u128 },
    Refused(u16),
}

/// Sends a short request and then a long one on one connection; returns how the long one ended.
fn run_client(daemon: SocketAddr, name: &str, load: Load, record: &Record) -> Result<End, String> {
    let stream = TcpStream::connect(daemon).map_err(|error| error.to_string())?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut writer = stream.try_clone().map_err(|error| error.to_string())?;
    let mut reader = BufReader::new(stream);
    let head = |path: &str, id: &str| {
        format!(
            "POST /{path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\nhi",
            load.deadline_ms
        )
    };
    let first = format!("{name}a");
    writer.write_all(head("order/short", &first).as_bytes()).map_err(|error| error.to_string())?;
    let (status, _, _) = read_response(&mut reader)?;
    record.line(&format!("client: request {first} answered {status}"));
    if status != 200 {
        return Err(format!("the short request got {status}"));
    }
    let second = format!("{name}b");
    let sent_at = Instant::now();
    writer.write_all(head("order/long", &second).as_bytes()).map_err(|error| error.to_string())?;
    record.line(&format!("client: request {second} sent on the same connection"));
    // The head and the first bytes are read at once.
    let mut bytes = vec![0; 1024];
    let mut got = reader.read(&mut bytes).map_err(|error| error.to_string())?;
    let start = String::from_utf8_lossy(&bytes[..got]).into_owned();
    let status: u16 = start.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let head_end = start.find("\r\n\r\n").map_or(0, |at| at + 4);
    if status != 200 {
        record.line(&format!("client: request {second} answered {status}"));
        return Ok(End::Refused(status));
    }
    record.line(&format!("client: request {second}: head with status 200 read; pause {:?}, then {} bytes each {PACE_INTERVAL:?} (0: all)", load.pause, load.pace));
    thread::sleep(load.pause);
    let wanted = head_end + load.answer_bytes;
    let mut buffer = vec![0; if load.pace == 0 { 64 << 10 } else { load.pace }];
    while got < wanted {
        if load.pace > 0 {
            thread::sleep(PACE_INTERVAL);
        }
        match reader.read(&mut buffer) {
            Ok(0) => {
                return Ok(End::Cut { bytes: got, why: "end of the connection".into(), after_ms: sent_at.elapsed().as_millis() });
            }
            Ok(length) => got += length,
            Err(error) => {
                return Ok(End::Cut { bytes: got, why: error.to_string(), after_ms: sent_at.elapsed().as_millis() });
            }
        }
    }
    record.line(&format!("client: request {second} answered whole after {} ms", sent_at.elapsed().as_millis()));
    Ok(End::Whole)
}

/// Lets several clients send at once; returns how many answers were cut.
fn run_clients(daemon: SocketAddr, label: &str, load: Load, record: &Record) -> Result<usize, String> {
    let clients: Vec<_> = (0..load.clients)
        .map(|number| {
            let (record, name) = (record.clone(), format!("{label}{number}"));
            thread::spawn(move || (name.clone(), run_client(daemon, &name, load, &record)))
        })
        .collect();
    let mut cut = 0;
    for client in clients {
        let (name, end) = client.join().map_err(|_panic| "a client failed".to_owned())?;
        let end = end?;
        if let End::Cut { bytes, why, after_ms } = &end {
            // What is cut after the deadline does not count.
            cut += usize::from(*after_ms < u128::from(load.deadline_ms));
            record.line(&format!("client: request {name}b CUT after {after_ms} ms and {bytes} bytes: {why}"));
        } else if let End::Refused(status) = end {
            record.line(&format!("client: request {name}b was refused with {status}, which is allowed"));
        }
    }
    Ok(cut)
}

fn run() -> Result<bool, String> {
    let (folder, trouble) = arguments();
    let number = |place: usize| -> Result<usize, String> {
        let text = std::env::args().nth(place).ok_or("an argument is missing")?;
        text.parse().map_err(|error| format!("{text}: {error}"))
    };
    let load = Load {
        answer_bytes: number(2)?,
        pause: Duration::from_millis(if trouble { number(3)? as u64 } else { 0 }),
        clients: number(4)?,
        pace: if trouble { number(5)? / 10 } else { 0 },
        deadline_ms: number(6)? as u64,
    };
    let record = Record::create(&folder);
    record.line(&format!("TROUBLE={}", u8::from(trouble)));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let (worker_runs, worker_record) = (Arc::clone(&runs), record.clone());
    let worker = serve(move |request| {
        let id = request.header("x-request-id").to_owned();
        worker_record.line(&format!("worker: runs {id} {}", request.path));
        worker_runs.lock().unwrap().push(id.clone());
        let body = if request.path.ends_with("long") { vec![b'x'; load.answer_bytes] } else { vec![b'x'; 800] };
        let headers = [("X-Request-Id", id.as_str()), ("X-Response-Seal", "seal"), ("Keep-Alive", "timeout=5")];
        Some(response("200 OK", &headers, &body))
    });
    let store = Store::start(&record);
    let routes = [Route { name: "order", kind: "unsafe", service: "desk", timeout_ms: load.deadline_ms }];
    store.write("op/config", &configuration(1, &routes, &["desk"]));
    store.write("servers/i-1", &registration("desk", worker, "ready"));
    let daemon = Daemon::start("front-a-1", store.address, &record)?;
    // Longer than `contactMs` (4,000) after the start, so that the daemon is in touch.
    thread::sleep(Duration::from_secs(5));
    let at_any_time = run_clients(daemon.callers, "t", load, &record)?;
    record.line("SIGHUP to the daemon (its settings are the same)");
    daemon.signal("HUP");
    thread::sleep(Duration::from_millis(200));
    let around_planned_work = run_clients(daemon.callers, "h", load, &record)?;
    record.line(&format!(
        "cut without an answer at any time: {at_any_time} of {0} (rule: more than 3); after the SIGHUP: \
         {around_planned_work} of {0} (rule: any)",
        load.clients
    ));
    for line in daemon.log_lines("limit") {
        record.line(&format!("daemon: {line}"));
    }
    record.line(&format!("runs at the worker: {}", runs.lock().unwrap().len()));
    Ok(at_any_time > 3 || around_planned_work > 0)
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
