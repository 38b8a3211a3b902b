use std::io::{self, BufRead as _, BufReader, Read as _};
use std::net::TcpStream;

/// A request as a stand-in received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers with their names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// What a stand-in writes in answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// These bytes; the connection stays open.
    Bytes(Vec<u8>),
    /// These bytes, then the connection is closed.
    Last(Vec<u8>),
    /// Nothing; the connection is closed.
    Close,
    /// Nothing; the connection stays open until the peer closes it.
    Silence,
}

impl Request {
    /// Returns a header's value by its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Reads one request; `None` at the end of the connection.
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
    /// Builds a whole answer with a length.
    #[must_use]
    pub fn whole(status: u16, headers: &[(&str, &str)], body: &str) -> Self {
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
