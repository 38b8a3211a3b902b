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
    /// Whether the event that has not ended yet has any text.
    has_text: bool,
    ends_with_line: bool,
    /// Whether the last byte was a carriage return, with which a line feed makes one line end.
    ends_with_cr: bool,
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
            has_text: false,
            ends_with_line: false,
            ends_with_cr: false,
        }
    }

    /// Returns the number of events that have ended.
    pub(super) const fn events(&self) -> u32 {
        self.events
    }

    /// Returns whether the bytes so far end inside an event.
    pub(super) const fn is_inside_event(&self) -> bool {
        self.has_text
    }

    /// Counts the events that end in these bytes. Returns whether the bytes so far can be a stream
    /// of events; an endpoint in trouble may send other bytes without end.
    pub(super) fn count(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            let is_rest_of_line_end = *byte == b'\n' && self.ends_with_cr;
            self.ends_with_cr = *byte == b'\r';
            if is_rest_of_line_end {
                continue;
            }
            self.unfinished_bytes += 1;
            let is_line_end = matches!(*byte, b'\r' | b'\n');
            if is_line_end && self.ends_with_line {
                self.events = self.events.saturating_add(1);
                self.unfinished_bytes = 0;
                self.has_text = false;
                self.ends_with_line = false;
            } else {
                self.has_text |= !is_line_end;
                self.ends_with_line = is_line_end;
            }
        }
        self.unfinished_bytes <= EVENT_BYTES_MAX && self.events <= self.events_max
    }
}
