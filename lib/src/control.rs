//! Control of one data centre: the daemon that holds its lease sends orders to the engines, which
//! change their roles and models.

mod call;
mod environment;
mod history;
mod lease_worker;
mod order_worker;
mod plan;
mod shared;
mod takeover_worker;

use std::fmt;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub use environment::Environment;
pub use history::{History, Outcome, Record};
pub use plan::Plan;
use ragwortgrade_policy::authority::LeaseTiming;
use ragwortgrade_schema::Name;
use shared::Shared;

use crate::Node;
use crate::peer::Peers;
use crate::worker::Worker;

const RELEASE_POLL_PERIOD: Duration = Duration::from_millis(20);

/// The running controller of one daemon; dropping it stops its threads.
///
/// When a holder is dropped without [`Control::release`], its lease remains until it expires.
pub struct Control {
    shared: Arc<Shared>,
    _lease: Worker,
    _takeover: Worker,
    _orders: Worker,
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("fence", &self.fence())
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Spawns the controller of `node`; `plan` decides on changes while the node holds the lease.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started or the operating system provides no random numbers.
    pub fn spawn(
        node: Arc<Node>,
        peers: Arc<dyn Peers>,
        environment: Arc<dyn Environment>,
        plan: Box<dyn Plan>,
        timing: LeaseTiming,
    ) -> io::Result<Self> {
        let jitter = getrandom::u32().map_err(io::Error::other)?;
        let shared = Arc::new(Shared::open(node, peers, environment, timing, jitter));
        Ok(Self {
            _lease: lease_worker::spawn(Arc::clone(&shared))?,
            _takeover: takeover_worker::spawn(Arc::clone(&shared))?,
            _orders: order_worker::spawn(Arc::clone(&shared), plan)?,
            shared,
        })
    }

    /// Returns whether this daemon holds the lease and may order engines now.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        self.fence().is_some()
    }

    /// Returns the fencing token of this daemon's lease; `None` when it holds none.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        self.shared.fence()
    }

    /// Returns the former holders that may still be running, each as `<daemon>:<incarnation>`.
    ///
    /// Until this is empty, no order goes to engines that ignore fencing tokens.
    #[must_use]
    pub fn unresolved_former_holders(&self) -> Vec<String> {
        self.shared.unresolved_former_holders()
    }

    /// Returns the recent orders of this daemon, oldest first.
    #[must_use]
    pub fn history(&self) -> Vec<Record> {
        self.shared.lock().history.records()
    }

    /// Returns the engines with an order whose outcome is not known yet.
    #[must_use]
    pub fn engines_with_open_orders(&self) -> Vec<Name> {
        self.shared.lock().orders.engines().cloned().collect()
    }

    /// Releases the lease as soon as no order is in progress; returns whether that happened within
    /// `timeout`. A draining node releases its lease without this call.
    #[must_use]
    pub fn release(&self, timeout: Duration) -> bool {
        self.shared.stop_campaigning();
        let start = Instant::now();
        while start.elapsed() < timeout {
            if self.shared.lock().lease.is_idle() {
                return true;
            }
            thread::sleep(RELEASE_POLL_PERIOD);
        }
        false
    }
}
