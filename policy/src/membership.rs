//! Known daemons and endpoints, and the load of the engines, as spread by gossip.
//!
//! The protocol between daemons follows SWIM (Das, Gupta and Motivala, 2002).

mod departures;
mod directory;
mod dissemination;
mod loads;
mod roster;

pub use departures::Departures;
pub use directory::Directory;
pub use loads::{LoadObservation, Loads};
pub use roster::{Roster, Target};
