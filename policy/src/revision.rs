//! Order of configurations: which document a daemon holds, what it takes from the platform and
//! from peers, and who reads the platform.
//!
//! A daemon holds the highest revision that it has seen and never goes lower. The platform may
//! come back with older data, so what it holds is judged, not believed; a daemon that knows better
//! writes its document back. Documents here are sections of text: whether their declarations are
//! valid is checked by the caller before it calls [`Ledger::accept`].

mod change;
mod document;
mod duty;
mod error;
mod ledger;
mod verdict;

pub use document::{Document, HEADER};
pub use duty::Duty;
pub use error::Error;
pub use ledger::{Ledger, Proposal};
pub use verdict::Verdict;
