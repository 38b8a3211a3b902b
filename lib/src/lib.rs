//! The daemon of ragwortgrade: a shell round the decisions of `ragwortgrade-policy`.

mod clock;

pub mod endpoint;

pub mod membership;
mod node;

pub mod observe;

pub mod peer;

pub mod platform;

pub mod settings;

pub use clock::Clock;
pub use node::Node;
