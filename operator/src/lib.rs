//! Library for operators: declares, validates, renders, compares and applies the configuration.
//!
//! Declarations are written in Rust, so the compiler checks their fields and types:
//!
//! ```
//! use ragwortgrade_operator::{Declarations, Endpoint, Model, Service, Workspace, render};
//!
//! let configuration = Declarations::new("maria")
//!     .model(Model::named("pattern").version("v3").floor(2).weight_bytes(140_000_000_000))
//!     .service(Service::model("stitch", "pattern").share(60.0).priority(8).deadline_ms(400))
//!     .service(Service::plain("stock").share(100.0).priority(5).deadline_ms(800).idempotent())
//!     .workspace(Workspace::named("weavers").service("stitch").service("stock"))
//!     .endpoint(Endpoint::with_checked_fencing("engine-1"))
//!     .check()?;
//! print!("{}", render(&configuration));
//! # Ok::<(), ragwortgrade_operator::Problems>(())
//! ```

mod apply;
mod check;
mod declaration;
mod declarations;
mod difference;
pub mod ini;
mod parse;
mod problem;
mod problems;
mod render;

pub use apply::{
    Applier, ApplyError, ApplyOutcome, Retry, Store, StoreError, StoredDocument, backoff,
};
pub use check::{NAME_RULE, is_valid_name};
pub use declaration::{Adapter, Endpoint, Model, Policy, Service, Workspace};
pub use declarations::Declarations;
pub use difference::Difference;
pub use parse::{parse, parse_header};
pub use problem::Problem;
pub use problems::Problems;
pub use render::{DOCUMENT_BYTES_MAX, render, render_sections};
