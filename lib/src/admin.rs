//! HTTP interface for operators: status, recent log lines and drain. Every request is signed.

mod authenticator;
mod backend;
mod credential;
mod rejection;
mod reply;
mod server;

pub use authenticator::Authenticator;
pub use backend::Backend;
pub use credential::Credential;
pub use rejection::Rejection;
pub use server::Admin;

/// Header with the key's name, the time of the request and its HMAC.
pub const AUTH_HEADER: &str = "X-Operator-Auth";
