//! Stand-ins and helpers of the review cases: the platform's store, plain workers, clients, and the
//! project's daemon as a process. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

// ---------------------------------------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|error| {
            eprintln!("record.txt cannot be written: {error}");
            std::process::exit(CANNOT_RUN)
        });
        Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {text}");
        let _ = file.flush();
    }
}

// ------------------------------------------------------------------------------------------------ HTTP

/// A request as a stand-in has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|it| it.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), percent_decode(value)));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection in a thread of its own. The handler returns the bytes to send, or `None` if
/// nothing is ever sent on this connection again.
pub fn serve(handler: impl Fn(&Request) -> Option<Vec<u8>> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let Some(bytes) = handler(&request) else {
                        // The connection stays open and returns nothing further.
                        let _ = reader.read_to_end(&mut Vec::new());
                        return;
                    };
                    if writer.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

// ------------------------------------------------------------------------------------------------ JSON

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_value(&bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|it| it.is_whitespace()) {
        *at += 1;
    }
}

fn parse_value(text: &[char], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match text.get(*at)? {
        '{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    ',' => *at += 1,
                    _ => {
                        let name = parse_text(text, at)?;
                        skip_space(text, at);
                        if *text.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(name, parse_value(text, at)?);
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(parse_value(text, at)?),
                }
            }
        }
        '"' => Some(Json::Text(parse_text(text, at)?)),
        _ => {
            let start = *at;
            while text
                .get(*at)
                .is_some_and(|it| it.is_ascii_alphanumeric() || "+-.".contains(*it))
            {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn parse_text(text: &[char], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != '"' {
        return None;
    }
    *at += 1;
    let mut out = String::new();
    loop {
        match text.get(*at)? {
            '"' => {
                *at += 1;
                return Some(out);
            }
            '\\' => {
                let escaped = *text.get(*at + 1)?;
                *at += 2;
                match escaped {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'u' => {
                        let code: String = text.get(*at..*at + 4)?.iter().collect();
                        out.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                        *at += 4;
                    }
                    other => out.push(other),
                }
            }
            other => {
                out.push(*other);
                *at += 1;
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(LETTERS[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ----------------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    silent_until: Option<Instant>,
    renewals: u64,
    /// Prefix of which the next watch that has changes gets no answer.
    lost_watch: Option<String>,
    /// Calls that arrived while the store was silent.
    unanswered: Vec<String>,
}

/// The platform's store: linearizable, with watches, transactions and leases.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let state = StoreState {
            revision: 10,
            next_lease: 1,
            ..StoreState::default()
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let handler_shared = Arc::clone(&shared);
        let handler_record = record.clone();
        let address = serve(move |request| handle(&handler_shared, &handler_record, request));
        let expiry_shared = Arc::clone(&shared);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            let mut state = expiry_shared.0.lock().unwrap();
            let now = Instant::now();
            let ended: Vec<u64> = state
                .leases
                .iter()
                .filter(|(_, (ttl, renewed_at))| now.duration_since(*renewed_at) > *ttl)
                .map(|(lease, _)| *lease)
                .collect();
            for lease in ended {
                state.end_lease(lease);
            }
            expiry_shared.1.notify_all();
        });
        Self { address, shared }
    }

    /// Writes as the operator and the workers do.
    pub fn write(&self, key: &str, text: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.put(key, base64(text.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Calls that arrive from now on for this long are never answered; those that wait are served.
    pub fn be_silent(&self, time: Duration) {
        self.shared.0.lock().unwrap().silent_until = Some(Instant::now() + time);
    }

    /// Writes a value; calls that arrive after it are not answered for this long. Watches that wait are.
    pub fn write_before_silence(&self, key: &str, text: &str, silence: Duration) {
        let mut state = self.shared.0.lock().unwrap();
        state.silent_until = Some(Instant::now() + silence);
        state.put(key, base64(text.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// The next answer to a watch of this prefix that has changes is lost.
    pub fn lose_next_answer(&self, prefix: &str) {
        self.shared.0.lock().unwrap().lost_watch = Some(prefix.to_owned());
    }

    /// Returns the number of renewals that were answered.
    pub fn renewals(&self) -> u64 {
        self.shared.0.lock().unwrap().renewals
    }

    pub fn unanswered(&self) -> Vec<String> {
        self.shared.0.lock().unwrap().unanswered.clone()
    }
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| lease != 0 && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
        is_known
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn answer(status: &str, body: &str) -> Option<Vec<u8>> {
    let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
    Some(response(status, &headers, body.as_bytes()))
}

fn handle(
    shared: &Arc<(Mutex<StoreState>, Condvar)>,
    record: &Record,
    request: &Request,
) -> Option<Vec<u8>> {
    let mut state = shared.0.lock().unwrap();
    if state.silent_until.is_some_and(|until| Instant::now() < until) {
        let call = format!("{} {} {:?}", request.method, request.path, request.query);
        record.line(&format!("store: call gets no answer: {call}"));
        state.unanswered.push(call);
        return None;
    }
    let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
    let (path, tail) = match request.path.rsplit_once('/') {
        Some((path @ ("/api/kv-keep" | "/api/kv-lease-end"), tail)) => (path, tail),
        _ => (request.path.as_str(), ""),
    };
    match path {
        "/api/kv-key" => match state.items.get(&query("key")) {
            Some(item) => {
                let text = item_json(&query("key"), item);
                let text = text.trim_end_matches('}').to_owned();
                answer("200 OK", &format!("{text},\"storeRevision\":{}}}", state.revision))
            }
            None => answer("404 Not Found", "{}"),
        },
        "/api/kv-range" => {
            let (prefix, after) = (query("prefix"), query("after"));
            let items = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
            let body = format!(
                "{{\"items\":[{}],\"morePages\":false,\"storeRevision\":{}}}",
                items.join(","),
                state.revision
            );
            answer("200 OK", &body)
        }
        "/api/kv-watch" => {
            let prefix = query("prefix");
            let after: u64 = query("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(query("waitMs").parse().unwrap_or(0));
            let until = Instant::now() + wait;
            loop {
                let events = state.events.iter();
                let events: Vec<String> = events
                    .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                    .map(|event| match &event.item {
                        Some(item) => item_json(&event.key, item),
                        None => format!(
                            "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
                            event.key, event.revision
                        ),
                    })
                    .collect();
                let now = Instant::now();
                if !events.is_empty() && state.lost_watch.as_ref() == Some(&prefix) {
                    state.lost_watch = None;
                    record.line(&format!("store: the answer to a watch of {prefix} is lost"));
                    return None;
                }
                if !events.is_empty() || now >= until {
                    let body = format!(
                        "{{\"events\":[{}],\"storeRevision\":{}}}",
                        events.join(","),
                        state.revision
                    );
                    return answer("200 OK", &body);
                }
                state = shared.1.wait_timeout(state, until - now).unwrap().0;
            }
        }
        "/api/kv-txn" => {
            let Some(call) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
                return answer("400 Bad Request", "{}");
            };
            for row in call.get("expected").list() {
                let key = row.get("key").text();
                let revision = state.items.get(key).map_or(0, |item| item.revision);
                if revision != row.get("revision").number() {
                    return answer("412 Precondition Failed", "{\"items\":[]}");
                }
            }
            for put in call.get("puts").list() {
                let lease = put.get("lease").number();
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return answer("404 Not Found", "{}");
                }
            }
            for put in call.get("puts").list() {
                let value = put.get("value").text().to_owned();
                state.put(put.get("key").text(), value, put.get("lease").number());
            }
            for key in call.get("remove").list() {
                state.remove(key.text());
            }
            shared.1.notify_all();
            answer("200 OK", &format!("{{\"revision\":{}}}", state.revision))
        }
        "/api/kv-lease" => {
            let call = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
            let ttl_ms = call.get("ttlMs").number();
            let lease = state.next_lease;
            state.next_lease += 1;
            let ttl = Duration::from_millis(ttl_ms);
            state.leases.insert(lease, (ttl, Instant::now()));
            answer("200 OK", &format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
        }
        "/api/kv-keep" => {
            let lease: u64 = tail.parse().unwrap_or(0);
            let Some((_, renewed_at)) = state.leases.get_mut(&lease) else {
                return answer("404 Not Found", "{}");
            };
            *renewed_at = Instant::now();
            state.renewals += 1;
            answer("200 OK", "{}")
        }
        "/api/kv-lease-end" => {
            let is_known = state.end_lease(tail.parse().unwrap_or(0));
            shared.1.notify_all();
            answer(if is_known { "200 OK" } else { "404 Not Found" }, "{}")
        }
        _ => answer("404 Not Found", "{}"),
    }
}

// ---------------------------------------------------------------------------------- configuration

pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
}

/// Returns a configuration for `op/config` with these routes of the host `shop.example`.
pub fn configuration(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|it| {
            format!(
                "{{\"name\":\"{0}\",\"host\":\"shop.example\",\"prefix\":\"/{0}/\",\"routeType\":\"{1}\",\
                 \"timeoutMs\":{3},\"targetLatencyMs\":100,\"priority\":2,\"service\":\"{2}\",\
                 \"maxAttempts\":2,\"resumable\":false}}",
                it.name, it.kind, it.service, it.timeout_ms
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":110}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Returns the registration of a plain worker.
pub fn registration(service: &str, address: SocketAddr, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":0,\"born\":{}}}",
        unix_ms()
    )
}

// ---------------------------------------------------------------------------------------------- daemon

/// A daemon of the project, started with the command of the deploy file.
pub struct Daemon {
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    folder: PathBuf,
}

fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    listener.local_addr().expect("no address")
}

fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("no free port");
    socket.local_addr().expect("no address")
}

/// Returns the value of `key` in a line `key = "value"` of the deploy file.
fn deploy_value(key: &str) -> Option<String> {
    let text = std::fs::read_to_string("deploy/system.toml").ok()?;
    let line = text
        .lines()
        .find(|line| line.split('=').next().map(str::trim) == Some(key))?;
    Some(line.split_once('=')?.1.trim().trim_matches('"').to_owned())
}

impl Daemon {
    /// Starts a daemon and waits until it is ready.
    pub fn start(name: &str, store: SocketAddr, record: &Record) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-3-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (callers, readiness, peers) = (free_tcp(), free_tcp(), free_udp());
        let template = deploy_value("template").ok_or("deploy/system.toml has no template")?;
        let template = std::fs::read_to_string(template).map_err(|error| error.to_string())?;
        let values = [
            ("{{nodeName}}", name.to_owned()),
            ("{{zone}}", "a".to_owned()),
            ("{{listen.frontend}}", callers.to_string()),
            ("{{listen.readiness}}", readiness.to_string()),
            ("{{ip}}:{{internalPorts.0}}", peers.to_string()),
            ("{{ip}}:7390", String::new()),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
            ("{{bounds.drainMs}}", "2000".to_owned()),
            ("{{bounds.graceS}}", "8".to_owned()),
            ("{{limits.maxFds}}", "4100".to_owned()),
            ("{{limits.memoryMb}}", "260".to_owned()),
            ("{{limits.linkMbps}}", "1000".to_owned()),
            ("{{bounds.fencingRequired}}", "true".to_owned()),
            ("{{bounds.leaseMs}}", "3000".to_owned()),
            ("{{bounds.thawMs}}", "300".to_owned()),
        ];
        let mut settings = template;
        for (placeholder, value) in values {
            settings = settings.replace(placeholder, &value);
        }
        // A placeholder without a value is empty.
        while let (Some(start), Some(end)) = (settings.find("{{"), settings.find("}}")) {
            settings.replace_range(start..end + 2, "");
        }
        let path = folder.join("node.ini");
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let run = deploy_value("run").ok_or("deploy/system.toml has no command")?;
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::create(folder.join("log.txt")).map_err(|error| error.to_string())?;
        let child = Command::new(program)
            .args(words)
            .env("RAGWORTGRADE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        record.line(&format!("daemon {name} started: {run}"));
        let daemon = Self {
            child,
            callers,
            readiness,
            folder,
        };
        let until = Instant::now() + Duration::from_secs(15);
        while !daemon.is_ready() {
            if Instant::now() > until {
                return Err(format!("daemon {name} is not ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.line(&format!("daemon {name} is ready"));
        Ok(daemon)
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.starts_with("HTTP/1.1 200")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Returns the lines of its log that have a word.
    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let text = std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default();
        text.lines().filter(|line| line.contains(word)).map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// ---------------------------------------------------------------------------------------------- client

/// Reads a response with a length; returns its status, headers in lower case and body, or why not.
pub fn read_response(
    reader: &mut BufReader<TcpStream>,
) -> Result<(u16, HashMap<String, String>, Vec<u8>), String> {
    let mut line = String::new();
    reader.read_line(&mut line).map_err(|error| error.to_string())?;
    let status = line.split_whitespace().nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| format!("no status line, but {line:?}"))?;
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).map_err(|error| error.to_string())? == 0 {
            return Err("the connection ended in the head".to_owned());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|it| it.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).map_err(|error| error.to_string())?;
    Ok((status, headers, body))
}

/// Sends a request on a new connection; returns the status, or what happened instead.
pub fn send_once(daemon: SocketAddr, head: &str) -> Result<(u16, HashMap<String, String>, Vec<u8>), String> {
    let mut stream = TcpStream::connect(daemon).map_err(|error| error.to_string())?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    stream.write_all(head.as_bytes()).map_err(|error| error.to_string())?;
    read_response(&mut BufReader::new(stream))
}

/// Returns the folder of the case, from the first argument, and whether there is a disruption.
pub fn arguments() -> (PathBuf, bool) {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    (PathBuf::from(folder), trouble)
}
