//! The operators' library: declares, checks, renders, compares and applies the configuration.

pub mod ini;
