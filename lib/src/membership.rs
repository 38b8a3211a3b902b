//! This daemon's view of the endpoints and the other daemons.

mod cache_reader;
mod demand_reports;
mod directory;
mod load_reader;
mod table;
mod vm_list_reader;

pub use cache_reader::CacheReader;
pub use demand_reports::DemandReports;
pub use directory::{Directory, Endpoint};
pub use load_reader::LoadReader;
pub use table::Table;
pub use vm_list_reader::VmListReader;
