use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ragwortgrade_schema::peer::{StreamAnswer, StreamRequest};

/// An ended stream is kept for this time, in which its caller may connect again.
const KEPT: Duration = Duration::from_mins(1);
/// Streams kept; beyond it the oldest ended ones are dropped.
const STREAMS_MAX: usize = 4_096;

/// Recent tokens of the streams that this daemon serves, for callers that connect again.
#[derive(Debug, Default)]
pub struct Streams {
    held: Mutex<Held>,
}

#[derive(Debug, Default)]
struct Held {
    streams: HashMap<String, Stream>,
    /// Ended streams, oldest first.
    ended: VecDeque<(Instant, String)>,
}

#[derive(Debug)]
struct Stream {
    content: String,
    first: u32,
    tokens: VecDeque<String>,
    bytes: usize,
    finished: bool,
}

impl Streams {
    /// Returns the tokens held of a stream after an index; a stream is known only together with
    /// the content of its request.
    #[must_use]
    pub fn answer(&self, request: &StreamRequest) -> StreamAnswer {
        let held = self.lock();
        let stream = held
            .streams
            .get(&request.request)
            .filter(|stream| request.content.as_ref() == Some(&stream.content));
        let tokens = stream.and_then(|stream| stream.after(request.after));
        StreamAnswer {
            known: tokens.is_some(),
            finished: tokens.is_some() && stream.is_some_and(|stream| stream.finished),
            tokens: tokens.unwrap_or_default(),
        }
    }

    /// Starts to hold a stream from the token `first` on.
    pub(crate) fn begin(&self, request: &str, content: &str, first: u32) {
        let mut held = self.lock();
        held.drop_old();
        let stream = Stream {
            content: content.to_owned(),
            first,
            tokens: VecDeque::new(),
            bytes: 0,
            finished: false,
        };
        held.streams.insert(request.to_owned(), stream);
    }

    /// Holds the next token, and at most `bytes_max` of the newest ones.
    pub(crate) fn push(&self, request: &str, token: &str, bytes_max: u64) {
        let mut held = self.lock();
        let Some(stream) = held.streams.get_mut(request) else {
            return;
        };
        stream.bytes += token.len();
        stream.tokens.push_back(token.to_owned());
        while stream.bytes as u64 > bytes_max {
            let Some(oldest) = stream.tokens.pop_front() else {
                return;
            };
            stream.bytes -= oldest.len();
            stream.first += 1;
        }
    }

    /// Marks a stream as ended, `finished` when every token was produced.
    pub(crate) fn end(&self, request: &str, finished: bool) {
        let mut held = self.lock();
        if let Some(stream) = held.streams.get_mut(request) {
            stream.finished = finished;
            held.ended.push_back((Instant::now(), request.to_owned()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    fn drop_old(&mut self) {
        while let Some((ended, _)) = self.ended.front() {
            if self.streams.len() < STREAMS_MAX && ended.elapsed() < KEPT {
                return;
            }
            if let Some((_, request)) = self.ended.pop_front() {
                self.streams.remove(&request);
            }
        }
    }
}

impl Stream {
    fn after(&self, index: u32) -> Option<Vec<String>> {
        let wanted = index.checked_add(1)?.checked_sub(self.first)? as usize;
        (wanted <= self.tokens.len()).then(|| self.tokens.iter().skip(wanted).cloned().collect())
    }
}
