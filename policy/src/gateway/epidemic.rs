//! Spread of what daemons tell each other beside their loads.
//!
//! What a daemon has seen itself is told to a few others, each of which passes it on once to a few
//! more; daemons that were missed, or could not be reached, find what they lack by comparing
//! digests with a random other daemon (rumor mongering and anti-entropy; A. Demers et al.,
//! "Epidemic Algorithms for Replicated Database Maintenance", 1987). The traffic of a daemon
//! depends on how much there is to tell, and not on the number of daemons.

mod broadcast;
mod byte_budget;
mod digest;
mod message;
mod push;
mod statement;

pub use broadcast::Broadcast;
pub use byte_budget::ByteBudget;
pub use digest::Digest;
pub use message::Message;
pub use push::Push;
pub use statement::Statement;
