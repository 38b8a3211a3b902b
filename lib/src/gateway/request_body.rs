use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, EXPECT, HeaderValue};
use http::request::Parts;
use http::{Response, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use ragwortgrade_policy::gateway::Holding;

use super::caller_connection::CallerConnection;
use super::local_response::{self, RETRY_AFTER_DEFAULT};
use super::memory_account::{MemoryAccount, Refused};
use super::response_body::ResponseBody;
use super::shared::Shared;

/// Memory of a request beside its body, in bytes: its head and the state of its tasks.
const REQUEST_BYTES: usize = 16 << 10;
/// First capacity for a body of unknown length, in bytes, which grows by doubling.
const CAPACITY_MIN: usize = 8 << 10;
/// What is read of a refused body, so that its caller reads the refusal: a connection that is closed
/// with unread bytes is reset, and the refusal may be lost.
const DISCARD_BYTES_MAX: usize = 256 << 10;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// A complete body, with the memory that its request holds.
#[derive(Debug)]
pub(super) struct RequestBody {
    pub(super) bytes: Bytes,
    pub(super) memory: Rc<MemoryAccount>,
}

/// Why a body was not read to its end. The request has not run.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("body is longer than the limit")]
    TooLong,
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    #[error("body was not sent in time")]
    TooSlow,
    #[error("{0}")]
    NoMemory(#[from] Refused),
}

/// Body of which a part was read.
struct Reader {
    body: Incoming,
    bytes: Vec<u8>,
    bytes_max: usize,
    declared: Option<usize>,
    memory: Rc<MemoryAccount>,
}

impl RequestBody {
    /// Reads the complete body, so that a retry can send the request to another endpoint.
    ///
    /// # Errors
    ///
    /// Returns the response to a caller whose body is not accepted.
    pub(super) async fn read(
        shared: &Rc<Shared>,
        caller: &Rc<CallerConnection>,
        head: &Parts,
        body: Incoming,
        bytes_max: usize,
    ) -> Result<Self, Response<ResponseBody>> {
        let declared = body.size_hint().exact().map(|it| it as usize);
        let mut reader = Reader {
            body,
            bytes: Vec::new(),
            bytes_max,
            declared,
            memory: shared.callers.memory.open(caller),
        };
        let error = if declared.is_some_and(|declared| declared > bytes_max) {
            ReadError::TooLong
        } else {
            let limits = &shared.options.caller_limits;
            let reading = tokio::time::timeout(limits.body_timeout, reader.read(limits.body_idle));
            match reading.await.unwrap_or(Err(ReadError::TooSlow)) {
                Ok(()) => return Ok(reader.finish()),
                Err(error) => error,
            }
        };
        let mut response = error.response();
        // The rest of the body must not be parsed as a request.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
        if let Some(reason) = error.limit() {
            let now = shared.now();
            shared.callers.limit_log.record(reason, caller.client, now);
        } else {
            log::info!(error:% = error; "request body truncated");
        }
        let Reader { body, .. } = reader;
        // A caller that waits for permission to send has sent nothing to discard.
        if !head.headers.contains_key(EXPECT) {
            tokio::task::spawn_local(discard(body));
        }
        Err(response)
    }
}

impl Reader {
    async fn read(&mut self, idle_max: Duration) -> Result<(), ReadError> {
        self.memory.grow(REQUEST_BYTES).await?;
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(idle_max, self.body.frame()) => frame,
                () = self.memory.wait_for_eviction() => return Err(Refused.into()),
            };
            let Some(frame) = frame.map_err(|_elapsed| ReadError::TooSlow)? else {
                return Ok(());
            };
            if let Ok(data) = frame?.into_data() {
                self.append(&data).await?;
            }
        }
    }

    /// Copies the bytes: a small chunk would keep the whole read buffer in memory.
    async fn append(&mut self, data: &[u8]) -> Result<(), ReadError> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes_max {
            return Err(ReadError::TooLong);
        }
        let capacity = self.bytes.capacity();
        if length > capacity {
            let longest = self.declared.unwrap_or(self.bytes_max);
            let doubled = (2 * capacity).max(CAPACITY_MIN).min(longest);
            let wanted = doubled.max(length);
            self.memory.grow(wanted - capacity).await?;
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn finish(mut self) -> RequestBody {
        let spare = self.bytes.capacity() - self.bytes.len();
        self.bytes.shrink_to_fit();
        self.memory.shrink(spare);
        self.memory.set_holding(Holding::Complete);
        RequestBody {
            bytes: self.bytes.into(),
            memory: self.memory,
        }
    }
}

impl ReadError {
    /// Returns the name of the limit that was exceeded, if one was.
    const fn limit(&self) -> Option<&'static str> {
        match self {
            Self::TooLong => Some("body_too_long"),
            Self::TooSlow => Some("body_too_slow"),
            Self::NoMemory(_) => Some("no_memory"),
            Self::Broken(_) => None,
        }
    }

    fn response(&self) -> Response<ResponseBody> {
        match self {
            Self::TooLong => {
                local_response::with_reason(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long")
            }
            Self::Broken(_) => {
                local_response::with_reason(StatusCode::BAD_REQUEST, "body_broke_off")
            }
            Self::TooSlow => {
                local_response::with_reason(StatusCode::REQUEST_TIMEOUT, "body_too_slow")
            }
            Self::NoMemory(_) => local_response::not_run("no_memory", RETRY_AFTER_DEFAULT),
        }
    }
}

/// Reads and drops a part of a refused body while its caller reads the response.
async fn discard(mut body: Incoming) {
    let reading = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded >= DISCARD_BYTES_MAX {
                return;
            }
        }
    };
    let _is_late = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}
