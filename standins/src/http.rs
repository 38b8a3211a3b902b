//! Helpers for reading requests and writing responses with `tiny_http`.

use std::io::{self, Read as _, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Request, Response};

pub(crate) const ATTEMPT_HEADER: &str = "X-Attempt-Id";
/// Limit for request bodies. The largest legitimate one is a 1 MB value with JSON escapes.
const BODY_BYTES_MAX: u64 = 16 << 20;

/// An empty JSON object.
#[derive(Serialize)]
pub(crate) struct Empty {}

pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// Returns the path of the request URL without the query.
pub(crate) fn path(request: &Request) -> String {
    let url = request.url();
    url.split('?').next().unwrap_or(url).to_owned()
}

/// Returns a percent-decoded query parameter.
pub(crate) fn query(request: &Request, name: &str) -> Option<String> {
    let (_, query) = request.url().split_once('?')?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| percent_decode(value))
    })
}

/// Returns a numeric query parameter, or 0 when it is absent or not a number.
pub(crate) fn query_number(request: &Request, name: &str) -> u64 {
    query(request, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

/// Decodes percent-encoding. Invalid escapes are copied unchanged.
pub(crate) fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let hex = tail
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        if let (b'%', Some(byte)) = (first, hex) {
            bytes.push(byte);
            rest = &tail[2..];
        } else {
            bytes.push(first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Decodes a value of a query like an HTML form: `+` is a space. Returns `None` for an invalid escape.
pub(crate) fn form_decode(text: &str) -> Option<String> {
    let mut escapes = text.split('%').skip(1);
    let is_valid = escapes.all(|rest| {
        let digits = rest.get(..2);
        digits.is_some_and(|digits| digits.bytes().all(|digit| digit.is_ascii_hexdigit()))
    });
    is_valid.then(|| percent_decode(&text.replace('+', " ")))
}

/// Returns the value of a header, whose name is compared without case.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
    Some(found.value.as_str().to_owned())
}

/// Reads the body, up to `BODY_BYTES_MAX`.
pub(crate) fn read_body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    request
        .as_reader()
        .take(BODY_BYTES_MAX)
        .read_to_end(&mut body)?;
    Ok(body)
}

/// Parses a JSON body. Handlers respond to an error with status 400.
pub(crate) fn read_json<T: DeserializeOwned>(request: &mut Request) -> io::Result<T> {
    let body = read_body(request)?;
    serde_json::from_slice(&body).map_err(io::Error::from)
}

/// Sends a JSON response that repeats the `X-Attempt-Id` header of the request.
pub(crate) fn respond(request: Request, status: u16, body: &impl Serialize) {
    let text =
        serde_json::to_string(body).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"));
    let mut response = Response::from_string(text).with_status_code(status);
    if let Some(attempt) = header(&request, ATTEMPT_HEADER) {
        add_header(&mut response, ATTEMPT_HEADER, &attempt);
    }
    add_header(&mut response, "Content-Type", "application/json");
    // An error means that the client has disconnected.
    drop(request.respond(response));
}

/// Sends bytes that are not HTTP, which the client reports as a broken connection.
pub(crate) fn break_connection(request: Request) {
    let mut writer = request.into_writer();
    drop(writer.write_all(b"connection broken on request\r\n\r\n"));
    drop(writer.flush());
}

/// Writes the header of a streamed response with chunked encoding.
pub(crate) fn start_stream(writer: &mut dyn Write, attempt: &str) -> io::Result<()> {
    write!(
        writer,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{ATTEMPT_HEADER}: {attempt}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )?;
    writer.flush()
}

/// Writes and flushes one chunk of a streamed response.
pub(crate) fn write_chunk(writer: &mut dyn Write, text: &str) -> io::Result<()> {
    write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
    writer.flush()
}

/// Writes the last chunk of a streamed response.
pub(crate) fn end_stream(writer: &mut dyn Write) -> io::Result<()> {
    writer.write_all(b"0\r\n\r\n")?;
    writer.flush()
}

fn add_header<R: io::Read>(response: &mut Response<R>, name: &str, value: &str) {
    if let Ok(header) = Header::from_bytes(name, value) {
        response.add_header(header);
    }
}
