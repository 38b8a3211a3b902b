use super::{Digest, Statement};
use crate::gateway::ChangesRequest;

/// Message between two daemons about what they hold.
///
/// A daemon sends its digest. If the other one's differs, it answers with the IDs of all that it
/// holds; the first daemon then tells it what it lacks, and asks for what it lacks itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// What the sender holds, in short.
    Digest(Digest),
    /// IDs of all that the sender holds.
    Held(Vec<u64>),
    /// IDs of statements that the sender asks for.
    Wanted(Vec<u64>),
    /// What the sender tells.
    Statements(Vec<Statement>),
    /// The sender has missed changes of registrations.
    Changes(ChangesRequest),
}
