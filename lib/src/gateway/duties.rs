//! Duties: calls to the platform that only one daemon at a time, the holder, may make.
//!
//! `ragwortgrade_policy::gateway::duties` decides; this module calls the store and the platform and
//! exchanges datagrams with the candidates.

mod deposit_worker;
mod duty_options;
mod duty_platform;
mod duty_settings;
mod duty_task;
mod election_worker;
mod exchange;
mod handle;
mod message;
mod run_guard;
mod state;
mod task_worker;
mod usage_worker;
mod worker;

pub use duty_options::DutyOptions;
pub use duty_platform::{DutyAnswer, DutyPlatform, DutyStamp};
pub use duty_settings::{Duty, DutySettings};
pub use duty_task::{DutyTask, Tenure};
pub(super) use exchange::receive;
pub(super) use handle::Duties;
pub(super) use message::Message;
pub(super) use run_guard::RunGuard;
pub(super) use worker::run;

/// Maximum size of the section `demand` of a datagram, in bytes.
pub const DEMAND_BYTES_MAX: usize = 1_024;
