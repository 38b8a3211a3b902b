use std::io::{self, Write};

use super::Refusal;

const JSON: &str = "application/json";

/// Writes one answer to a caller, whole or as server-sent events.
///
/// Events are flushed one by one: a token must reach the caller when the engine produces it.
pub struct Reply {
    writer: Box<dyn Write + Send>,
    started: bool,
}

impl Reply {
    /// Wraps the writing half of a caller's connection.
    #[must_use]
    pub fn new(writer: Box<dyn Write + Send>) -> Self {
        Self {
            writer,
            started: false,
        }
    }

    /// Tells whether the head was sent, after which no other status can follow.
    #[must_use]
    pub fn started(&self) -> bool {
        self.started
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller has gone away.
    pub fn whole(&mut self, status: u16, content_type: &str, body: &[u8]) -> io::Result<()> {
        self.started = true;
        write!(
            self.writer,
            "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\r\n",
            reason(status),
            body.len()
        )?;
        self.writer.write_all(body)?;
        self.writer.flush()
    }

    /// Sends a refusal, as an answer or, inside a stream, as its last event.
    ///
    /// # Errors
    ///
    /// Fails when the caller has gone away.
    pub fn refuse(&mut self, refusal: &Refusal) -> io::Result<()> {
        let body = refusal.body();
        if self.started {
            self.chunk(&format!("event: error\ndata: {body}\n\n"))?;
            return self.end();
        }
        self.whole(refusal.code.status(), JSON, body.as_bytes())
    }

    /// Sends the head of a stream of events.
    ///
    /// # Errors
    ///
    /// Fails when the caller has gone away.
    pub fn start_events(&mut self) -> io::Result<()> {
        self.started = true;
        self.writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
              Transfer-Encoding: chunked\r\n\r\n",
        )
    }

    /// Sends one event with its identity.
    ///
    /// # Errors
    ///
    /// Fails when the caller has gone away.
    pub fn event(&mut self, id: &str, data: &str) -> io::Result<()> {
        self.chunk(&format!("id: {id}\ndata: {data}\n\n"))
    }

    /// Ends a complete stream of events.
    ///
    /// # Errors
    ///
    /// Fails when the caller has gone away.
    pub fn done(&mut self) -> io::Result<()> {
        self.chunk("data: [DONE]\n\n")?;
        self.end()
    }

    fn chunk(&mut self, text: &str) -> io::Result<()> {
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }

    fn end(&mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reply")
            .field("started", &self.started)
            .finish_non_exhaustive()
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
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
