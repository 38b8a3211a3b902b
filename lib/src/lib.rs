//! The daemon and the gateway of ragwortgrade: I/O and threads around the decisions of
//! `ragwortgrade-policy`.

pub mod admin;
mod attempt;
pub mod claims;
mod clock;
pub mod configuration;
pub mod control;
pub mod daemon;
pub mod endpoint;
pub mod front;
pub mod gateway;
pub mod gossip;
mod lock;
pub mod membership;
mod node;
pub mod observe;
pub mod peer;
pub mod platform;
pub mod settings;
pub mod trial;
mod worker;

pub use clock::Clock;
pub use daemon::Daemon;
pub use node::{Clients, Node};
