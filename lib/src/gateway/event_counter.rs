/// Maximum size of one event of a stream, in bytes.
const EVENT_BYTES_MAX: usize = 256 << 10;
/// Events beyond one per token that a stream may have: comments, and a mark of its end.
const EVENTS_BEYOND_TOKENS_MAX: u32 = 64;

/// Counts the events of a stream as its bytes arrive.
#[derive(Debug)]
pub(super) struct EventCounter {
    events: u32,
    events_max: u32,
    /// Bytes of the event that has not ended yet.
    unfinished_bytes: usize,
    ends_with_newline: bool,
}

impl EventCounter {
    /// Creates a counter for a stream of at most `tokens_max` tokens; 0 means that the maximum is
    /// not known.
    pub(super) const fn new(tokens_max: u32) -> Self {
        let events_max = match tokens_max {
            0 => u32::MAX,
            _ => tokens_max.saturating_add(EVENTS_BEYOND_TOKENS_MAX),
        };
        Self {
            events: 0,
            events_max,
            unfinished_bytes: 0,
            ends_with_newline: false,
        }
    }

    /// Returns the number of events that have ended.
    pub(super) const fn events(&self) -> u32 {
        self.events
    }

    /// Counts the events that end in these bytes. Returns whether the bytes so far can be a stream
    /// of events; an endpoint in trouble may send other bytes without end.
    pub(super) fn count(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            self.unfinished_bytes += 1;
            // Lines may end in CRLF, too.
            if *byte == b'\r' {
                continue;
            }
            let is_newline = *byte == b'\n';
            if is_newline && self.ends_with_newline {
                self.events = self.events.saturating_add(1);
                self.unfinished_bytes = 0;
                self.ends_with_newline = false;
            } else {
                self.ends_with_newline = is_newline;
            }
        }
        self.unfinished_bytes <= EVENT_BYTES_MAX && self.events <= self.events_max
    }
}
