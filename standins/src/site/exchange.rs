use std::io::{self, BufRead as _, BufReader, Read as _};
use std::net::TcpStream;
use std::time::Duration;

/// Bytes after which an endless response pauses, so that a peer without a limit does not use up the
/// memory.
pub const ENDLESS_BYTES_MAX: usize = 64 << 20;

/// HTTP request received by a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// Raw HTTP response of a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Sends these bytes and keeps the connection open.
    Bytes(Vec<u8>),
    /// Sends these bytes and closes the connection.
    BytesThenClose(Vec<u8>),
    /// Sends these bytes and resets the connection.
    BytesThenReset(Vec<u8>),
    /// Sends bytes without end, until the peer closes the connection or [`ENDLESS_BYTES_MAX`] are
    /// sent; keeps it open then.
    Endless {
        /// Bytes that are sent once.
        start: Vec<u8>,
        /// Bytes that are sent again and again.
        repeated: Vec<u8>,
    },
    /// Sends these pieces with a pause before each but the first, and keeps the connection open.
    Paced {
        /// Pieces in order.
        pieces: Vec<Vec<u8>>,
        /// Pause between two pieces.
        pause: Duration,
    },
    /// Closes the connection without a response.
    Close,
    /// Ends the worker like a crash: it closes all connections and refuses new ones.
    Crash,
    /// Sends nothing and keeps the connection open until the peer closes it.
    NoResponse,
}

impl Request {
    /// Returns the value of a header; `name` is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Reads one request, or returns `None` when the connection is closed.
    pub(super) fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split_whitespace();
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut request = Self {
            method,
            target,
            headers,
            body: Vec::new(),
        };
        let length = request
            .header("content-length")
            .and_then(|it| it.parse().ok());
        request.body = vec![0; length.unwrap_or_default()];
        reader.read_exact(&mut request.body)?;
        Ok(Some(request))
    }
}

impl Response {
    /// Creates a complete response with a `Content-Length` header.
    #[must_use]
    pub fn complete(status: u16, headers: &[(&str, &str)], body: &str) -> Self {
        let mut text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            text.extend([*name, ": ", *value, "\r\n"]);
        }
        text.push_str("\r\n");
        text.push_str(body);
        Self::Bytes(text.into_bytes())
    }
}
