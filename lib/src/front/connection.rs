use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use ragwortgrade_schema::settings::Limits;

use super::body_memory::{BodyMemory, Reservation};
use super::head::BodyLength;
use super::{Code, Head, IncomingRequest, Refusal};

/// Size of one read from the socket.
const READ_BYTES: usize = 16 * 1_024;
/// Longest line of a chunked body outside its chunks: a chunk size in hexadecimal with chunk
/// extensions, or a trailer.
const CHUNK_LINE_BYTES_MAX: usize = 256;
/// Maximum number of unread bytes of a refused request that are read and discarded before the
/// connection is closed. Closing with unread bytes resets the connection, and the caller may lose
/// the refusal.
const DISCARD_BYTES_MAX: usize = 256 * 1_024;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a caller that reads nothing of its response is considered disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller's connection, read with limits on size and time.
///
/// `tiny_http`, which the stand-ins use, is not used here: it limits neither the length of a
/// request head nor the time to send a request, and its accept loop exits when the process runs out
/// of file descriptors.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that have been consumed.
    consumed: usize,
    memory: BodyMemory,
    /// Memory for the body of the request that is being read or served.
    reservation: Option<Reservation>,
}

/// Why no request was read.
#[derive(Debug)]
pub(super) enum ReadError {
    /// The connection was closed or broke in the middle of a request.
    Closed,
    /// The request is refused. The connection must be closed, as it is unknown where the next
    /// request starts.
    Refused(Refusal),
}

impl From<Refusal> for ReadError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl Connection {
    pub(super) fn open(stream: TcpStream, memory: BodyMemory) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
            consumed: 0,
            memory,
            reservation: None,
        })
    }

    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Waits for the first byte of the next request; returns `false` when none arrives.
    pub(super) fn wait_for_request(&mut self, timeout: Duration) -> bool {
        self.reservation = None;
        if self.consumed == self.buffer.len() {
            // Release the memory of the last request while the connection is idle.
            self.buffer = Vec::new();
            self.consumed = 0;
        }
        if !self.unread().is_empty() {
            return true;
        }
        self.fill(Instant::now() + timeout)
            .is_ok_and(|read| read > 0)
    }

    /// Reads the rest of a request whose first byte has arrived, within the read timeout.
    pub(super) fn read(&mut self, limits: &Limits) -> Result<(Head, IncomingRequest), ReadError> {
        let deadline = Instant::now() + Duration::from_millis(limits.read_timeout_ms);
        self.reservation = None;
        let head = self.read_head(limits, deadline)?;
        let length_max = match head.body_length {
            BodyLength::Length(length) if length > limits.body_bytes => return Err(too_large()),
            BodyLength::Length(length) => length,
            BodyLength::Chunked => limits.body_bytes,
        };
        self.reservation = self.memory.reserve(length_max);
        if self.reservation.is_none() {
            let message = "too many bodies are being read";
            return Err(Refusal::not_run(Code::OverLimit, message).into());
        }
        if head.expects_continue {
            self.stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .map_err(|_disconnected| ReadError::Closed)?;
        }
        let body = match head.body_length {
            BodyLength::Length(length) => self.read_exactly(length as usize, deadline)?,
            BodyLength::Chunked => self.read_chunked(limits.body_bytes as usize, deadline)?,
        };
        let incoming = IncomingRequest {
            method: head.method.clone(),
            path: head.path.clone(),
            headers: head.headers.clone(),
            body,
        };
        Ok((head, incoming))
    }

    /// Closes the connection after a refusal in such a way that the caller can still read the
    /// refusal.
    pub(super) fn close_after_refusal(mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let deadline = Instant::now() + DISCARD_TIMEOUT;
        let mut discarded = 0;
        while discarded < DISCARD_BYTES_MAX {
            self.consumed = self.buffer.len();
            match self.fill(deadline) {
                Ok(read) if read > 0 => discarded += read,
                _ => return,
            }
        }
    }

    fn read_head(&mut self, limits: &Limits, deadline: Instant) -> Result<Head, ReadError> {
        loop {
            if let Some((head, length)) = Head::parse(self.unread(), limits)? {
                self.consumed += length;
                return Ok(head);
            }
            self.read_more(deadline)?;
        }
    }

    fn read_exactly(&mut self, length: usize, deadline: Instant) -> Result<Vec<u8>, ReadError> {
        while self.unread().len() < length {
            self.read_more(deadline)?;
        }
        Ok(self.consume(length))
    }

    fn unread(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    fn consume(&mut self, length: usize) -> Vec<u8> {
        let consumed = self.unread()[..length].to_vec();
        self.consumed += length;
        consumed
    }

    fn read_chunked(&mut self, bytes_max: usize, deadline: Instant) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        loop {
            let size = chunk_size(&self.read_line(deadline)?)?;
            if body.len() + size > bytes_max {
                return Err(too_large());
            }
            if size == 0 {
                break;
            }
            body.extend_from_slice(&self.read_exactly(size, deadline)?);
            if !self.read_line(deadline)?.is_empty() {
                return Err(malformed_chunk());
            }
        }
        // Trailers end with an empty line; each line is limited in length and its content ignored.
        while !self.read_line(deadline)?.is_empty() {}
        Ok(body)
    }

    fn read_line(&mut self, deadline: Instant) -> Result<Vec<u8>, ReadError> {
        loop {
            let unread = self.unread();
            let seen = &unread[..unread.len().min(CHUNK_LINE_BYTES_MAX)];
            if let Some(end) = seen.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.consume(end);
                self.consumed += 2;
                return Ok(line);
            }
            if unread.len() >= CHUNK_LINE_BYTES_MAX {
                return Err(malformed_chunk());
            }
            self.read_more(deadline)?;
        }
    }

    /// Reads further bytes of a request of which a part has arrived; refuses the request when none
    /// arrive before `deadline`.
    fn read_more(&mut self, deadline: Instant) -> Result<(), ReadError> {
        match self.fill(deadline) {
            Ok(read) if read > 0 => Ok(()),
            Err(error) if is_timeout(&error) => {
                let message = "the request was not sent in time";
                Err(Refusal::not_run(Code::SlowSender, message).into())
            }
            _ => Err(ReadError::Closed),
        }
    }

    /// Discards the consumed bytes and reads from the socket once; returns the number of bytes
    /// read, 0 at the end of the stream.
    fn fill(&mut self, deadline: Instant) -> io::Result<usize> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        let filled = self.buffer.len();
        self.buffer.resize(filled + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buffer[filled..]);
        self.buffer
            .truncate(filled + read.as_ref().copied().unwrap_or_default());
        read
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn chunk_size(line: &[u8]) -> Result<usize, ReadError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default().trim_end();
    let is_hexadecimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    match u32::from_str_radix(text, 16) {
        Ok(size) if is_hexadecimal => Ok(size as usize),
        _ => Err(malformed_chunk()),
    }
}

fn malformed_chunk() -> ReadError {
    Refusal::not_run(Code::Malformed, "chunked body is malformed").into()
}

fn too_large() -> ReadError {
    Refusal::not_run(Code::TooLarge, "the body is too large").into()
}
