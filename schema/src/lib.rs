//! Messages, documents and settings of ragwortgrade.
//!
//! The modules are generated from the JSON Schema files in `schema/`; only the types that are
//! sent most often ([`Digest`], [`Row`], [`Name`]) have their serialization written by hand.

mod digest;
mod generated;
mod name;
mod row;

pub use digest::Digest;
pub use generated::{admin, configuration, engine, peer, platform, settings};
pub use name::Name;
pub use row::Row;

/// The JSON Schema of the settings: the daemon checks its file against the same text from which
/// the types are generated, so ranges and defaults are stated once.
pub const SETTINGS_SCHEMA: &str = include_str!("../schema/settings.json");
