//! Attempts at endpoints, each with its own identity.

mod completion;
mod identity;

pub(crate) use completion::{Completed, Completion, TokenSink};
pub(crate) use identity::random_identity;
