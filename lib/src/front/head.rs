use ragwortgrade_schema::settings::Limits;

use super::{Code, Refusal};

/// Headers that may occur only once. They decide for which workspace and how a request runs; the
/// load balancer sets the workspace, and a second header from the caller must not override it.
const SINGLE_HEADERS: [&str; 4] = [
    "X-Workspace",
    "X-Service",
    "Idempotency-Key",
    "Last-Event-ID",
];

/// How the end of a request's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// By `Content-Length`; 0 when there is no body.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
}

/// Request line and headers of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// HTTP method.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers in the order of the request.
    pub headers: Vec<(String, String)>,
    /// How the end of the body is determined.
    pub body_length: BodyLength,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the connection may serve another request afterwards.
    pub keep_alive: bool,
    /// Whether the caller supports the chunked transfer coding (HTTP/1.1).
    pub supports_chunked: bool,
}

impl Head {
    /// Parses the head at the start of `bytes`. Returns it with its length in bytes, or `None` when
    /// it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the head exceeds the limits or does not follow the protocol.
    pub fn parse(bytes: &[u8], limits: &Limits) -> Result<Option<(Self, usize)>, Refusal> {
        let bytes_max = limits.header_bytes as usize;
        let mut headers = vec![httparse::EMPTY_HEADER; limits.header_count as usize];
        let mut request = httparse::Request::new(&mut headers);
        let seen = &bytes[..bytes.len().min(bytes_max)];
        match request.parse(seen) {
            Ok(httparse::Status::Complete(length)) => Ok(Some((Self::validate(&request)?, length))),
            Ok(httparse::Status::Partial) if bytes.len() > bytes_max => Err(headers_too_large()),
            Ok(httparse::Status::Partial) => Ok(None),
            Err(httparse::Error::TooManyHeaders) => Err(headers_too_large()),
            Err(error) => Err(malformed(error.to_string())),
        }
    }

    /// Returns the value of the first header with a name; case is ignored.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    fn validate(request: &httparse::Request<'_, '_>) -> Result<Self, Refusal> {
        let path = request.path.unwrap_or_default();
        if !path.starts_with('/') || !path.bytes().all(is_path_byte) {
            return Err(malformed("path is malformed"));
        }
        let headers = request
            .headers
            .iter()
            .map(decode_header)
            .collect::<Result<Vec<_>, _>>()?;
        let is_http_1_1 = request.version == Some(1);
        if let Some(name) = SINGLE_HEADERS
            .iter()
            .find(|name| count_headers(&headers, name) > 1)
        {
            return Err(malformed(format!("header {name} is given twice")));
        }
        let body_length = body_length(&headers, is_http_1_1)?;
        let connection = find_header(&headers, "Connection").unwrap_or_default();
        let keep_alive = if is_http_1_1 {
            !has_option(connection, "close")
        } else {
            has_option(connection, "keep-alive")
        };
        let expects_continue = find_header(&headers, "Expect")
            .is_some_and(|expected| expected.eq_ignore_ascii_case("100-continue"));
        Ok(Self {
            method: request.method.unwrap_or_default().to_owned(),
            path: path.to_owned(),
            headers,
            body_length,
            expects_continue,
            keep_alive,
            supports_chunked: is_http_1_1,
        })
    }
}

pub(super) fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(field, _)| field.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn count_headers(headers: &[(String, String)], name: &str) -> usize {
    let has_name = |(field, _): &&(String, String)| field.eq_ignore_ascii_case(name);
    headers.iter().filter(has_name).count()
}

/// Returns whether a byte is allowed in a path or query (RFC 3986). The client of endpoints rejects
/// some of the others.
fn is_path_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"/?:@!$&'()*+,;=-._~%".contains(&byte)
}

fn decode_header(header: &httparse::Header<'_>) -> Result<(String, String), Refusal> {
    match std::str::from_utf8(header.value) {
        Ok(value) => Ok((header.name.to_owned(), value.trim().to_owned())),
        Err(_binary) => Err(malformed("a header is not text")),
    }
}

/// Determines the length of the body. Ambiguous lengths are refused, as a load balancer may resolve
/// them differently and treat a part of the body as the next request (request smuggling).
fn body_length(headers: &[(String, String)], is_http_1_1: bool) -> Result<BodyLength, Refusal> {
    let values = |name: &str| -> Vec<&str> {
        headers
            .iter()
            .filter(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
            .collect()
    };
    match (
        values("Transfer-Encoding").as_slice(),
        values("Content-Length").as_slice(),
    ) {
        ([], []) => Ok(BodyLength::Length(0)),
        ([], [length]) => parse_decimal(length).map(BodyLength::Length),
        ([coding], []) if is_http_1_1 && coding.eq_ignore_ascii_case("chunked") => {
            Ok(BodyLength::Chunked)
        }
        _ => Err(malformed("length of the body is ambiguous")),
    }
}

fn parse_decimal(text: &str) -> Result<u64, Refusal> {
    let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(length) if is_decimal => Ok(length),
        _ => Err(malformed("Content-Length is not a number")),
    }
}

fn has_option(connection: &str, option: &str) -> bool {
    connection
        .split(',')
        .any(|part| part.trim().eq_ignore_ascii_case(option))
}

fn malformed(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::Malformed, message)
}

fn headers_too_large() -> Refusal {
    Refusal::not_run(Code::TooManyHeaders, "the headers exceed the limits")
}
