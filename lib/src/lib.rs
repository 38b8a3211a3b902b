//! The daemon of ragwortgrade: a shell round the decisions of `ragwortgrade-policy`.

mod clock;

pub mod endpoint;

pub mod membership;
mod node;

pub mod peer;

pub mod platform;
mod worker;

pub use clock::Clock;
pub use node::Node;
