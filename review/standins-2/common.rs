//! Stand-ins for the platform's store and workers, daemons as processes, and raw callers.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Small random generator (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound.max(1)
    }
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { line: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or chunks. Without either, a request has none and a response ends with
/// its connection.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, is_request: bool) -> io::Result<()> {
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
        return Ok(());
    }
    if message.header("transfer-encoding").is_none() {
        if !is_request {
            let mut body = Vec::new();
            reader.read_to_end(&mut body)?;
            message.body = body;
        }
        return Ok(());
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim_end().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let start = message.body.len();
        message.body.resize(start + size, 0);
        reader.read_exact(&mut message.body[start..])?;
        let mut end = String::new();
        if reader.read_line(&mut end)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if size == 0 {
            return Ok(());
        }
    }
}

pub fn read_message(reader: &mut impl BufRead, is_request: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, is_request)?;
    Ok(Some(message))
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    out
}

/// Serves each connection on a thread of its own.
pub fn serve(address: &str, handler: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a loopback port is free");
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = stream.set_nodelay(true);
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || handler(stream));
        }
    });
    address
}

/// Returns free loopback addresses that differ from each other.
pub fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let held = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a loopback port is free"));
    held.map(|listener| listener.local_addr().expect("the listener is bound"))
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }
    fn space(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }
    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::space(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                let mut table = Vec::new();
                *at += 1;
                loop {
                    Self::space(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Self::Table(table));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(key) = Self::value(bytes, at)? else { return None };
                            Self::space(bytes, at);
                            *at += 1;
                            table.push((key, Self::value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                let mut list = Vec::new();
                *at += 1;
                loop {
                    Self::space(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                let mut text = Vec::new();
                *at += 1;
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Self::Text(String::from_utf8_lossy(&text).into_owned()));
                        }
                        b'\\' => {
                            *at += 1;
                            text.push(match *bytes.get(*at)? {
                                b'n' => b'\n',
                                b't' => b'\t',
                                b'r' => b'\r',
                                other => other,
                            });
                            *at += 1;
                        }
                        byte => {
                            text.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                    *at += 1;
                }
                match std::str::from_utf8(&bytes[start..*at]).ok()? {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Self::Table(table) => table.iter().find(|(name, _)| name == key).map_or(&Json::Null, |it| &it.1),
            _ => &Json::Null,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for digit in 0..4 {
            if digit <= group.len() {
                out.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- store

#[derive(Clone, Default)]
pub struct Item {
    pub value: String,
    pub revision: u64,
    pub created: u64,
    pub lease: u64,
}

#[derive(Clone, Default)]
pub struct Data {
    pub items: BTreeMap<String, Item>,
    pub revision: u64,
    pub events: Vec<(u64, String, Option<Item>)>,
    pub leases: HashMap<u64, (Duration, Instant)>,
    pub next_lease: u64,
}

impl Data {
    pub fn write(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((self.revision, key.to_owned(), Some(item)));
    }
    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

/// Fault of one address of the store, or of another service.
#[derive(Default)]
pub struct Fault {
    pub kind: AtomicU64,
    draws: AtomicU64,
}

impl Fault {
    pub const NONE: u64 = 0;
    /// No call is answered.
    pub const SILENT: u64 = 1;
    /// Each call is answered 503 and not done.
    pub const BUSY: u64 = 2;
    /// A third of the writes are done and not answered.
    pub const LOST: u64 = 3;
    /// A third of the writes are not answered and done 1 to 6 s later if their condition still holds.
    pub const LATE: u64 = 4;

    pub fn set(&self, kind: u64) {
        self.kind.store(kind, Ordering::SeqCst);
    }
    fn draws(&self) -> bool {
        self.draws.fetch_add(1, Ordering::SeqCst) % 3 == 0
    }
    /// Keeps the connection open without an answer: it returns nothing further.
    pub fn hold(&self) -> io::Result<()> {
        thread::sleep(Duration::from_secs(20));
        Ok(())
    }
}

/// The platform's store; loses nothing and answers at once unless a fault is set.
#[derive(Default)]
pub struct Store {
    pub data: Mutex<Data>,
    pub changed: Condvar,
    pub era: AtomicU64,
    pub calls: Mutex<Vec<(u64, String)>>,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        lock(&store.data).revision = 10;
        store.era.store(1, Ordering::SeqCst);
        let served = Arc::clone(&store);
        let address = served.open_entrance(Arc::default());
        let expiring = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            lock(&expiring.data).expire();
            expiring.changed.notify_all();
        });
        (store, address)
    }

    /// Opens an address with faults of its own: the store may turn some machines away.
    pub fn open_entrance(self: &Arc<Self>, fault: Arc<Fault>) -> SocketAddr {
        let store = Arc::clone(self);
        serve("127.0.0.1:0", move |stream| {
            let _ = store.connection(stream, &fault);
        })
    }

    /// Replaces the data by an older copy, as in a drill.
    pub fn restore(&self, mut copy: Data) {
        let now = Instant::now();
        for (ttl, end) in copy.leases.values_mut() {
            *end = now + *ttl;
        }
        let mut data = lock(&self.data);
        *data = copy;
        self.era.fetch_add(1, Ordering::SeqCst);
        drop(data);
        self.changed.notify_all();
    }

    pub fn put(&self, key: &str, text: &str) {
        let mut data = lock(&self.data);
        data.revision += 1;
        data.write(key, &base64(text.as_bytes()), 0);
        drop(data);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut data = lock(&self.data);
        data.revision += 1;
        data.remove(key);
        drop(data);
        self.changed.notify_all();
    }

    fn connection(self: &Arc<Self>, stream: TcpStream, fault: &Fault) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = read_message(&mut reader, true)? {
            match fault.kind.load(Ordering::SeqCst) {
                Fault::SILENT => return fault.hold(),
                Fault::BUSY => {
                    stream.write_all(&response(503, &[], b"{}"))?;
                    continue;
                }
                Fault::LOST if request.method() != "GET" && fault.draws() => {
                    self.answer(&request);
                    return fault.hold();
                }
                Fault::LATE if request.method() != "GET" && fault.draws() => {
                    let store = Arc::clone(self);
                    let delay = Duration::from_millis(1_000 + unix_ms() % 5_000);
                    thread::spawn(move || {
                        thread::sleep(delay);
                        store.answer(&request);
                    });
                    return fault.hold();
                }
                _ => {}
            }
            let (status, body) = self.answer(&request);
            if fault.kind.load(Ordering::SeqCst) == Fault::SILENT {
                return fault.hold();
            }
            let era = self.era.load(Ordering::SeqCst).to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            stream.write_all(&response(status, &headers, body.as_bytes()))?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map_or("", |it| it.1)
        };
        lock(&self.calls).push((unix_ms(), format!("{} {path}", request.method())));
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let item_text = |key: &str, item: &Item| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
                item.value, item.revision, item.created, item.lease
            )
        };
        match path {
            "/api/kv-range" => {
                let data = lock(&self.data);
                let prefix = parameter("prefix");
                let items: Vec<String> = data
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix))
                    .map(|(key, item)| item_text(key, item))
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"morePages\":false,\"storeRevision\":{}}}",
                    items.join(","),
                    data.revision
                );
                (200, text)
            }
            "/api/kv-key" => {
                let key = parameter("key");
                let data = lock(&self.data);
                match data.items.get(key) {
                    Some(item) => (200, item_text(key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            "/api/kv-watch" => {
                let prefix = parameter("prefix");
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait: u64 = parameter("waitMs").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let era = self.era.load(Ordering::SeqCst);
                let mut data = lock(&self.data);
                loop {
                    if after > data.revision || era != self.era.load(Ordering::SeqCst) {
                        return (410, "{}".to_owned());
                    }
                    let events: Vec<String> = data
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_text(key, item),
                            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        let text = format!("{{\"events\":[{}],\"storeRevision\":{}}}", events.join(","), data.revision);
                        return (200, text);
                    }
                    let waited = self.changed.wait_timeout(data, end - now);
                    data = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            "/api/kv-txn" => {
                let mut data = lock(&self.data);
                for put in body.get("puts").list() {
                    let lease = put.get("lease").number();
                    if lease != 0 && !data.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                }
                for expected in body.get("expected").list() {
                    let current = data.items.get(expected.get("key").text()).map_or(0, |item| item.revision);
                    if current != expected.get("revision").number() {
                        return (412, "{\"items\":[]}".to_owned());
                    }
                }
                data.revision += 1;
                for put in body.get("puts").list() {
                    data.write(put.get("key").text(), put.get("value").text(), put.get("lease").number());
                }
                for key in body.get("remove").list() {
                    data.remove(key.text());
                }
                let revision = data.revision;
                drop(data);
                self.changed.notify_all();
                (200, format!("{{\"revision\":{revision}}}"))
            }
            "/api/kv-lease" => {
                let mut data = lock(&self.data);
                data.next_lease += 1;
                let lease = data.next_lease;
                let ttl = Duration::from_millis(body.get("ttlMs").number());
                data.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            _ => {
                let Some((call, lease)) = path.rsplit_once('/') else {
                    return (404, "{}".to_owned());
                };
                let lease: u64 = lease.parse().unwrap_or(0);
                let mut data = lock(&self.data);
                let Some((ttl, _)) = data.leases.get(&lease).copied() else {
                    return (404, "{}".to_owned());
                };
                if call == "/api/kv-keep" {
                    data.leases.insert(lease, (ttl, Instant::now() + ttl));
                } else {
                    data.end_lease(lease);
                    self.changed.notify_all();
                }
                (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
            }
        }
    }
}

/// Registration of a worker as it writes it.
pub fn registration(service: &str, address: SocketAddr, zone: &str, stage: Option<&str>, born: u64) -> String {
    let stage = stage.map_or(String::new(), |stage| format!("\"stage\":\"{stage}\",\"models\":[],"));
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\
         \"state\":\"ready\",\"coldRemainingMs\":0,{stage}\"sequence\":0,\"born\":{born}}}"
    )
}

// ---------------------------------------------------------------- daemons

/// A daemon, started with the command of the deploy file and settings of the deploy template.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// `further` are more lines of the settings.
    pub fn new(directory: &Path, name: &str, zone: &str, store: SocketAddr, further: &str) -> Self {
        let [callers, readiness, peers, metrics] = free_addresses();
        let text = format!(
            "[gateway]\nname = {name}\ndata_centre = {zone}\ncallers_address = {callers}\n\
             readiness_address = {readiness}\npeers_address = {peers}\nmetrics_address = {metrics}\n\
             store_address = {store}\nretry_ratio = 0.2\nleaving_bound_ms = 2000\nstop_timeout_seconds = 8\n\
             open_files_max = 4100\nmemory_mb = 260\nlink_mbps = 1000\nlog_level = info\n{further}"
        );
        let settings = directory.join(format!("{name}.ini"));
        fs::write(&settings, text).unwrap();
        let log = directory.join(format!("{name}.log"));
        Self { name: name.to_owned(), callers, readiness, settings, log, child: None }
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/ragwortgrade")
            .arg("gateway")
            .env_clear()
            .env("RAGWORTGRADE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the daemon is built");
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let number = match name {
                "HUP" => 1,
                "KILL" => 9,
                "TERM" => 15,
                "CONT" => 18,
                "STOP" => 19,
                _ => return,
            };
            // SAFETY: `kill` only takes numbers; the process is a child that was not waited for.
            let _ = unsafe { kill(child.id() as i32, number) };
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits for the end of the process; kills it after `limit`, as the platform does.
    pub fn wait(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        while !self.has_ended() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.child = None;
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.readiness, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")?;
            let head = read_head(&mut BufReader::new(stream))?;
            Ok(head.map_or(0, |head| head.status()))
        };
        ask().unwrap_or(0) == 200
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Temporary folder of this run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("ragwortgrade-review-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
