//! Types generated from the JSON Schema files by `examples/generate.rs`.
#![allow(
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    missing_docs,
    reason = "generated code does not follow this workspace's lints"
)]

#[rustfmt::skip]
pub mod admin;
#[rustfmt::skip]
pub mod configuration;
#[rustfmt::skip]
pub mod engine;
#[rustfmt::skip]
pub mod peer;
#[rustfmt::skip]
pub mod platform;
#[rustfmt::skip]
pub mod settings;
