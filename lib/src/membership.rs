//! Endpoints and daemons as this daemon knows them.

mod cache_reader;
mod demands;
mod directory;
mod lister;
mod observer;
mod table;

pub use cache_reader::CacheReader;
pub use demands::Demands;
pub use directory::{Directory, Endpoint};
pub use lister::Lister;
pub use observer::Observer;
pub use table::Table;
