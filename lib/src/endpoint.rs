//! The endpoints: model engines and plain services.

mod engine;
mod error;
mod http;
mod http_engine;
mod http_plain;
mod plain;

pub use engine::{Call, Engine, TokenStream};
pub use error::{Error, Ran};
pub use http_engine::HttpEngine;
pub use http_plain::HttpPlain;
pub use plain::{Plain, PlainAnswer, PlainCall};
