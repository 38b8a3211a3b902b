//! Duties: calls to the platform that only one daemon at a time, the holder, may make.
//!
//! `ragwortgrade_policy::gateway::duties` decides; this module calls the store and the platform and
//! exchanges datagrams with the candidates.

mod duty_platform;
mod duty_task;

pub use duty_platform::{DutyAnswer, DutyPlatform, DutyStamp};
pub use duty_task::{DutyTask, Tenure};

/// Maximum size of the section `demand` of a datagram, in bytes.
pub const DEMAND_BYTES_MAX: usize = 1_024;
