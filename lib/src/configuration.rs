//! The configuration in force: one daemon of each data centre reads it from the platform, and the
//! others pull it from their peers.

mod key_watcher;
mod reader;
mod replica;
mod state;

pub use reader::Reader;
pub use replica::{Replica, ReplicaThreads};

/// Key of the configuration document in the platform's key-value service.
pub const KEY: &str = "configuration";
