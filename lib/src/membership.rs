//! Endpoints and daemons as this daemon knows them.

mod directory;

pub use directory::{Directory, Endpoint};
