use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ragwortgrade_schema::peer::{StreamAnswer, StreamRequest};

/// Time for which the buffer of an ended stream is retained, for its caller to reconnect.
const RETENTION_TIME: Duration = Duration::from_mins(1);
/// Number of buffers at which those of ended streams are evicted early, oldest first.
const BUFFERS_MAX: usize = 4_096;

/// The most recent tokens of each stream that this daemon serves, for callers that reconnect.
#[derive(Debug, Default)]
pub struct ReplayBuffers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    buffers: HashMap<String, ReplayBuffer>,
    /// Ended streams, oldest first.
    ended: VecDeque<(Instant, String)>,
}

#[derive(Debug)]
struct ReplayBuffer {
    content_digest: String,
    /// Index of the first buffered token.
    first_index: u32,
    tokens: VecDeque<String>,
    /// Total length of the buffered tokens.
    bytes: usize,
    finished: bool,
}

impl ReplayBuffers {
    /// Returns the buffered tokens of a stream after an index. `request` must contain the content
    /// digest of the request that started the stream, so that an identity alone gives no access.
    #[must_use]
    pub fn replay(&self, request: &StreamRequest) -> StreamAnswer {
        let state = self.lock();
        let buffer = state
            .buffers
            .get(&request.request)
            .filter(|buffer| request.content.as_ref() == Some(&buffer.content_digest));
        let tokens = buffer.and_then(|buffer| buffer.tokens_after(request.after));
        StreamAnswer {
            known: tokens.is_some(),
            finished: tokens.is_some() && buffer.is_some_and(|buffer| buffer.finished),
            tokens: tokens.unwrap_or_default(),
        }
    }

    /// Creates the buffer of a stream that starts at the token `first_index`.
    pub(crate) fn begin(&self, request: &str, content_digest: &str, first_index: u32) {
        let mut state = self.lock();
        state.evict_expired();
        let buffer = ReplayBuffer {
            content_digest: content_digest.to_owned(),
            first_index,
            tokens: VecDeque::new(),
            bytes: 0,
            finished: false,
        };
        state.buffers.insert(request.to_owned(), buffer);
    }

    /// Appends the next token and evicts the oldest ones beyond `bytes_max` bytes.
    pub(crate) fn push(&self, request: &str, token: &str, bytes_max: u64) {
        let mut state = self.lock();
        let Some(buffer) = state.buffers.get_mut(request) else {
            return;
        };
        buffer.bytes += token.len();
        buffer.tokens.push_back(token.to_owned());
        while buffer.bytes as u64 > bytes_max {
            let Some(oldest) = buffer.tokens.pop_front() else {
                return;
            };
            buffer.bytes -= oldest.len();
            buffer.first_index += 1;
        }
    }

    /// Records that every token of a stream was produced. Precedes the end that its caller reads,
    /// since the caller may reconnect at once.
    pub(crate) fn finish(&self, request: &str) {
        let mut state = self.lock();
        if let Some(buffer) = state.buffers.get_mut(request) {
            buffer.finished = true;
        }
    }

    /// Marks a stream as ended, finished or not.
    pub(crate) fn end(&self, request: &str) {
        let mut state = self.lock();
        if state.buffers.contains_key(request) {
            state.ended.push_back((Instant::now(), request.to_owned()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn evict_expired(&mut self) {
        while let Some((ended, _)) = self.ended.front() {
            if self.buffers.len() < BUFFERS_MAX && ended.elapsed() < RETENTION_TIME {
                return;
            }
            if let Some((_, request)) = self.ended.pop_front() {
                self.buffers.remove(&request);
            }
        }
    }
}

impl ReplayBuffer {
    /// Returns the tokens after `index`; `None` when some of them were evicted or when the token at
    /// `index` has not been buffered yet.
    fn tokens_after(&self, index: u32) -> Option<Vec<String>> {
        let skipped = index.checked_add(1)?.checked_sub(self.first_index)? as usize;
        (skipped <= self.tokens.len()).then(|| self.tokens.iter().skip(skipped).cloned().collect())
    }
}
