//! Test doubles of the systems around ragwortgrade: small, fast servers with fault injection.
//!
//! Each stand-in implements the public protocol of the system that it replaces. `bind(settings)`
//! starts it and returns a handle with `address()` and `stop()`. Those in [`site`] have no settings
//! and run until the process ends.

mod caller;
mod control_server;
pub mod deployment;
mod engine;
mod error;
mod http;
mod http_server;
mod key_value;
mod plain;
mod record_log;
mod relay;
pub mod site;
mod standin;
mod token_bucket;
mod usage;
mod vm_list;
mod weights;

pub use caller::{Answer, Caller, ChatRequest, End, PlainRequest, Refusal, Verdict};
pub use engine::{
    Engine, EngineFault, EngineSettings, OrderAudit, OrderRecord, WorkCounters, answer_token,
};
pub use error::Error;
pub use key_value::{Fault, KeyValue, KeyValueSettings};
pub use plain::{Effect, Plain, PlainFault, PlainSettings};
pub use relay::{Cut, Relay};
pub use standin::run_standin;
pub use usage::Usage;
pub use vm_list::{VmList, VmListSettings};
pub use weights::{Weights, WeightsSettings};

/// Generates an incarnation number: the start time in the upper bits, so that a restarted process
/// has a higher number, and random bits below.
fn incarnation() -> u64 {
    const TIME_BITS: u32 = 42;
    let time = http::unix_ms() << (u64::BITS - TIME_BITS);
    let entropy = u64::from(std::process::id()) ^ (&raw const time as usize as u64) ^ unix_ns();
    time | (xxhash_rust::xxh3::xxh3_64(&entropy.to_le_bytes()) >> TIME_BITS)
}

fn unix_ns() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_nanos() as u64
}
