//! Replication of the configuration: which document a daemon has in force, which ones it accepts
//! from the platform and from peers, and which daemon reads the platform.
//!
//! A daemon keeps the highest revision that it has seen and never goes back to a lower one. The
//! platform can be restored from older data, so its document is compared with the daemon's own; a
//! daemon with a newer document writes it back. Documents here are sections of text: the caller
//! validates their declarations before it calls [`DocumentHistory::accept`].

mod change;
mod document;
mod document_history;
mod error;
mod reader_election;
mod reconciliation;

pub use document::{Document, HEADER};
pub use document_history::{DocumentHistory, PeerUpdate};
pub use error::Error;
pub use reader_election::ReaderElection;
pub use reconciliation::Reconciliation;
