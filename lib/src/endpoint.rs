//! Clients of the endpoints: model engines and plain services.

mod engine;
mod error;
mod http;
mod http_engine;
mod http_plain_service;
mod plain_service;

pub use engine::{Call, Engine, TokenStream};
pub use error::{Error, Execution};
pub use http_engine::HttpEngine;
pub use http_plain_service::HttpPlainService;
pub use plain_service::{PlainCall, PlainResponse, PlainService};
