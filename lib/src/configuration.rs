//! The configuration in force: read from the platform by one daemon of the data centre, learned
//! from peers by the others.

mod keeper;
mod platform_reader;
mod reader;
mod state;

pub use keeper::{Keeper, KeeperThreads};
pub use reader::Reader;

/// Key of the configuration in the platform's key-value service.
pub const KEY: &str = "configuration";
