//! Messages, documents and settings of ragwortgrade.
//!
//! The modules are generated from the JSON Schema files in `schema/`. Only the types that are sent
//! most often ([`Digest`], [`Row`], [`Name`]) implement their serialization by hand.

mod digest;
mod generated;
mod name;
mod row;

pub use digest::Digest;
pub use generated::{admin, configuration, engine, peer, platform, settings};
pub use name::Name;
pub use row::Row;

/// JSON Schema of the settings.
///
/// The daemon validates its settings file against the schema from which the types are generated, so
/// ranges and defaults are defined only once.
pub const SETTINGS_SCHEMA: &str = include_str!("../schema/settings.json");
