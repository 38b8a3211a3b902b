//! Minimal HTTP/1.1 for the stand-ins.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads one message; `None` if the connection ends before it is complete.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
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
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message {
        start: start.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|it| it.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

/// A server with a thread for each connection.
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server on a free port of `ip`. The handler returns whether the connection stays
    /// open.
    pub fn start(
        ip: &str,
        handler: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("no free port");
        listener.set_nonblocking(true).expect("listener");
        let address = listener.local_addr().expect("listener");
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(handler);
        let (stopped, open) = (Arc::clone(&is_stopped), Arc::clone(&connections));
        std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("stream");
                stream.set_nodelay(true).expect("stream");
                open.lock()
                    .unwrap()
                    .push(stream.try_clone().expect("stream"));
                let handler = Arc::clone(&handler);
                std::thread::spawn(move || {
                    let mut writer = stream.try_clone().expect("stream");
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read(&mut reader) {
                        if !handler(&request, &mut writer) {
                            break;
                        }
                    }
                    let _closed = writer.shutdown(Shutdown::Both);
                });
            }
        });
        Self {
            address,
            is_stopped,
            connections,
        }
    }

    /// Ends the server as a process would end: the port refuses, connections are closed.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(5));
        for connection in self.connections.lock().unwrap().drain(..) {
            let _closed = connection.shutdown(Shutdown::Both);
        }
    }
}

/// A client's kept connection.
pub struct Connection {
    address: SocketAddr,
    open: Option<BufReader<TcpStream>>,
}

impl Connection {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            open: None,
        }
    }

    /// Sends a request and waits for the answer; `None` if there is none in time.
    pub fn send(&mut self, request: &str, timeout: Duration) -> Option<Message> {
        let sent = self.try_send(request, timeout);
        if sent.as_ref().is_none_or(Message::closes) {
            self.open = None;
        }
        sent
    }

    fn try_send(&mut self, request: &str, timeout: Duration) -> Option<Message> {
        if self.open.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, timeout).ok()?;
            stream.set_nodelay(true).ok()?;
            self.open = Some(BufReader::new(stream));
        }
        let reader = self.open.as_mut()?;
        reader.get_ref().set_read_timeout(Some(timeout)).ok()?;
        reader.get_mut().write_all(request.as_bytes()).ok()?;
        read(reader)
    }
}

/// Waits until `is_done`, for at most `limit`.
pub fn wait_until(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if is_done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}
