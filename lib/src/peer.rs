//! Authenticated remote procedure calls between daemons.

mod counting_stream;
mod error;
mod handler;
mod handshake;
mod keyring;
mod network;
mod peers;
mod server;
mod service;

pub use error::Error;
pub use handler::Handler;
pub use keyring::Keyring;
pub use network::Network;
pub use peers::Peers;
