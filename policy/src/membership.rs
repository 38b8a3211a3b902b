//! Which daemons and endpoints there are, and how loaded the engines are, as far as gossip tells.
//!
//! The protocol between daemons follows SWIM (Das, Gupta and Motivala, 2002), see section 4.1 of
//! the design page.

mod departures;
mod loads;
mod register;
mod roster;
mod spread;

pub use departures::Departures;
pub use loads::{Loads, Sighting};
pub use register::Register;
pub use roster::{Roster, Target};
