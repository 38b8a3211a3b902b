use std::io::{self, Write as _};
use std::net::TcpStream;

use super::{Head, Refusal};

const JSON: &str = "application/json";

/// Writes one response to a caller, as a single body or as server-sent events.
///
/// Events are not buffered, so that each token reaches the caller when the engine produces it.
#[derive(Debug)]
pub struct Reply {
    stream: TcpStream,
    started: bool,
    framing: Framing,
    /// Whether the method is `HEAD`, whose responses have no body.
    head_only: bool,
    keep_alive: bool,
}

/// How the end of an event stream is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Chunked,
    /// HTTP/1.0 has no chunked coding: closing the connection ends the response.
    UntilClose,
}

impl Reply {
    /// Prepares the response to one request.
    ///
    /// # Errors
    ///
    /// Fails when the process has no file descriptor left.
    pub fn open(stream: &TcpStream, head: &Head) -> io::Result<Self> {
        Ok(Self {
            stream: stream.try_clone()?,
            started: false,
            framing: if head.supports_chunked {
                Framing::Chunked
            } else {
                Framing::UntilClose
            },
            head_only: head.method == "HEAD",
            keep_alive: head.keep_alive,
        })
    }

    /// Prepares the refusal of a connection or of a request that could not be read; the connection
    /// must be closed afterwards.
    ///
    /// # Errors
    ///
    /// Fails when the process has no file descriptor left.
    pub fn closing(stream: &TcpStream) -> io::Result<Self> {
        Ok(Self {
            stream: stream.try_clone()?,
            started: false,
            framing: Framing::Chunked,
            head_only: false,
            keep_alive: false,
        })
    }

    /// Returns whether the connection can serve another request.
    #[must_use]
    pub fn keep_alive(&self) -> bool {
        self.keep_alive
    }

    /// Returns whether the head was sent, after which the status can no longer change.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.started
    }

    /// Returns whether the caller has closed its connection.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let seen = self.stream.peek(&mut [0]);
        if self.stream.set_nonblocking(false).is_err() {
            return true;
        }
        match seen {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
    pub fn respond(&mut self, status: u16, content_type: &str, body: &[u8]) -> io::Result<()> {
        self.started = true;
        let mut response = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n{}\r\n",
            reason_phrase(status),
            body.len(),
            self.connection_header(),
        )
        .into_bytes();
        if !self.head_only {
            response.extend_from_slice(body);
        }
        self.write(&response)
    }

    /// Sends a refusal: as the response or, when an event stream has started, as its last event.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
    pub fn refuse(&mut self, refusal: &Refusal) -> io::Result<()> {
        let body = refusal.body();
        if self.started {
            self.write_chunk(&format!("event: error\ndata: {body}\n\n"))?;
            return self.write_end();
        }
        self.respond(refusal.code.status(), JSON, body.as_bytes())
    }

    /// Sends the head of an event stream.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
    pub fn start_events(&mut self) -> io::Result<()> {
        self.started = true;
        self.keep_alive &= self.framing == Framing::Chunked;
        let coding = match self.framing {
            Framing::Chunked => "Transfer-Encoding: chunked\r\n",
            Framing::UntilClose => "",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
             {coding}{}\r\n",
            self.connection_header(),
        );
        self.write(head.as_bytes())
    }

    /// Sends one event with its `id`.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
    pub fn send_event(&mut self, id: &str, data: &str) -> io::Result<()> {
        self.write_chunk(&format!("id: {id}\ndata: {data}\n\n"))
    }

    /// Ends an event stream that is complete.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
    pub fn end_events(&mut self) -> io::Result<()> {
        self.write_chunk("data: [DONE]\n\n")?;
        self.write_end()
    }

    fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        match self.framing {
            Framing::Chunked => {
                let framed = format!("{:x}\r\n{text}\r\n", text.len());
                self.write(framed.as_bytes())
            }
            Framing::UntilClose => self.write(text.as_bytes()),
        }
    }

    fn write_end(&mut self) -> io::Result<()> {
        match self.framing {
            Framing::Chunked => self.write(b"0\r\n\r\n"),
            Framing::UntilClose => Ok(()),
        }
    }

    fn connection_header(&self) -> &'static str {
        if self.keep_alive {
            "Connection: keep-alive\r\n"
        } else {
            "Connection: close\r\n"
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.stream.write_all(bytes);
        self.keep_alive &= written.is_ok();
        written
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
