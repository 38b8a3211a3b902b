use std::io;

/// Receives the tokens of a completion.
pub(crate) trait TokenSink {
    /// Sends or stores the next token; fails when the caller has disconnected.
    fn push_token(&mut self, index: u32, text: &str) -> io::Result<()>;

    /// Returns whether the caller has disconnected, for use while there is no token to send.
    fn is_abandoned(&self) -> bool;
}
