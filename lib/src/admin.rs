//! Operators' HTTP interface: status, recent log lines and drain, each request signed.

mod credential;
mod guard;
mod rejection;
mod reply;
mod server;
mod source;

pub use credential::Credential;
pub use guard::Guard;
pub use rejection::Rejection;
pub use server::Admin;
pub use source::Source;

/// Header that carries the key's identity, the time and the code of a request.
pub const AUTH_HEADER: &str = "X-Operator-Auth";
