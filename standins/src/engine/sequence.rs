use std::sync::mpsc::Sender;

/// Message from the batch thread to the thread that writes the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The token at this index was generated.
    Token(u32),
    /// The completion or the export has ended.
    Done,
}

/// Sequence in the batch or in the queue for it.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) attempt: String,
    pub(super) priority: u8,
    /// Hash of the prompt prefix, if the request has one.
    pub(super) prefix: Option<u64>,
    pub(super) prefix_tokens: u32,
    pub(super) prompt_tokens: u32,
    /// Tokens left to prefill; for a resumed answer, they include the tokens generated before.
    pub(super) prefill_left: u32,
    /// Reserved blocks of KV cache memory; 0 until the sequence is in the batch.
    pub(super) blocks: u64,
    /// Index of the next token of the answer.
    pub(super) next_index: u32,
    /// Index after the last token of the answer.
    pub(super) end_index: u32,
    /// Whether the prompt crashes an engine that runs it.
    pub(super) has_crash_marker: bool,
    pub(super) progress: Sender<Progress>,
}

impl Sequence {
    /// Sends the next token and returns whether the sequence stays in the batch.
    pub(super) fn generate_token(&mut self) -> bool {
        if self.next_index < self.end_index {
            let sent = self.progress.send(Progress::Token(self.next_index));
            if sent.is_err() {
                return false;
            }
            self.next_index += 1;
        }
        if self.next_index >= self.end_index {
            // An error means that the client has disconnected.
            let _ = self.progress.send(Progress::Done);
            return false;
        }
        true
    }
}
