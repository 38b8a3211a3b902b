//! Attempts at endpoints, each with its own identity.

mod completion;
mod crash;
mod identity;
mod incarnations;
mod placed;
mod plain_run;
mod prober;
mod renewal;
mod sink;

pub(crate) use completion::{Completed, Completion};
pub(crate) use identity::{daemon_tag, random_identity, request_identity};
pub(crate) use placed::Placed;
pub(crate) use plain_run::PlainRun;
pub(crate) use prober::Prober;
pub(crate) use sink::TokenSink;

/// Attempts without any progress after which a request is given up.
const FAILURES_MAX: u32 = 4;
