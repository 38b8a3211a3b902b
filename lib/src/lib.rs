//! The daemon of ragwortgrade: a shell round the decisions of `ragwortgrade-policy`.

mod attempt;

pub mod claims;

mod clock;

pub mod endpoint;

pub mod front;

pub mod membership;
mod node;

pub mod observe;

pub mod peer;

pub mod platform;
mod worker;

pub mod trial;

pub mod settings;

pub use clock::Clock;
pub use node::{Interfaces, Node};
