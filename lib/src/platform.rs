//! Clients of the platform's services: the key-value store and the list of VMs.

mod error;
mod http_key_value;
mod http_vm_list;
mod key_value;
mod vm_list;

pub use error::Error;
pub use http_key_value::HttpKeyValue;
pub use http_vm_list::HttpVmList;
pub use key_value::KeyValue;
pub use vm_list::VmList;
