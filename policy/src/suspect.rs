//! Requests that crash endpoints.
//!
//! When an endpoint crashes, every request in its batch may be the cause, and its content gets a
//! strike. A content with one strike runs again only as a trial, on an endpoint that runs no other
//! content with a strike. If that endpoint crashes too, the content is the only one that was in
//! both batches, and it is refused. If the trial completes, its strikes are cleared.

mod reservations;
mod strike_table;

pub use reservations::Reservations;
pub use strike_table::{Admission, StrikeTable};

/// Digest that identifies a request's content: its workspace, service and body, and for a plain
/// service also its method and path.
pub type ContentDigest = u128;

/// Formats a content digest as it is written in messages.
#[must_use]
pub fn format_digest(content: ContentDigest) -> String {
    format!("{content:032x}")
}

/// Parses a content digest; `None` when the text is malformed.
#[must_use]
pub fn parse_digest(text: &str) -> Option<ContentDigest> {
    ContentDigest::from_str_radix(text, 16).ok()
}
