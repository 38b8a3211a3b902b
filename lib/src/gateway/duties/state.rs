use std::cell::{Cell, RefCell};
use std::rc::Rc;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::authority::{Holder, Timestamp};
use ragwortgrade_policy::gateway::duties::{
    Delivery, Election, FleetClock, Ledger, Reports, Tally, Timing,
};
use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{DutyOptions, DutyTask};

/// State of the duties of a daemon on which they run.
#[derive(Debug)]
pub(in crate::gateway) struct State {
    pub(super) options: DutyOptions,
    pub(super) timing: Timing,
    pub(super) started_ms: u64,
    pub(super) clock: RefCell<FleetClock>,
    pub(super) ledger: RefCell<Ledger>,
    pub(super) delivery: RefCell<Delivery>,
    pub(super) tally: RefCell<Tally>,
    pub(super) election: RefCell<Election>,
    pub(super) reports: RefCell<Reports>,
    pub(super) tasks: RefCell<Vec<Rc<dyn DutyTask>>>,
    /// Since when this daemon is a candidate, if it is one.
    pub(super) candidate_since: Cell<Option<Instant>>,
    /// Holder that a candidate named, and when.
    pub(super) known_holder: RefCell<Option<(Name, Instant)>>,
    /// Number of duty calls that have got no outcome yet.
    pub(super) calls_in_flight: Cell<usize>,
    /// Earliest time of the next duty call.
    pub(super) next_call_at: Cell<Instant>,
}

impl State {
    pub(super) fn new(name: &Name, options: DutyOptions, now: Timestamp) -> Self {
        let settings = &options.settings;
        let timing = Timing::new(settings.lease_time, settings.thaw);
        let holder = Holder {
            daemon: name.clone(),
            incarnation: xxh3_64_with_seed(name.as_bytes(), now.unix_ms),
            address: String::new(),
            listed: false,
        };
        let jitter = timing.lease.retry_interval / 4;
        let jitter = jitter.mul_f64(f64::from(holder.incarnation as u8) / 256.0);
        Self {
            timing,
            started_ms: now.unix_ms,
            clock: RefCell::new(FleetClock::new(now)),
            ledger: RefCell::new(Ledger::new(settings.usage_window)),
            delivery: RefCell::default(),
            tally: RefCell::default(),
            election: RefCell::new(Election::open(timing, holder, jitter, now.monotonic)),
            reports: RefCell::new(Reports::new(settings.usage_window, settings.usage_late)),
            tasks: RefCell::default(),
            candidate_since: Cell::new(None),
            known_holder: RefCell::default(),
            calls_in_flight: Cell::new(0),
            next_call_at: Cell::default(),
            options,
        }
    }
}
