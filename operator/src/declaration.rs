//! Builders for each kind of declaration.

mod adapter;
mod endpoint;
mod model;
mod policy;
mod service;
mod workspace;

pub use adapter::Adapter;
pub use endpoint::Endpoint;
pub use model::Model;
pub use policy::Policy;
pub use service::Service;
pub use workspace::Workspace;
