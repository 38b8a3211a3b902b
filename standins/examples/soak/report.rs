use std::sync::atomic::{AtomicU64, Ordering};

use ragwortgrade_standins::deployment::Deployment;
use serde::Serialize;

use crate::endpoint_logs;
use crate::observations::Observations;
use crate::options::Options;

/// Result of a run, printed as JSON in the last line.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    seed: u64,
    /// Requests of the callers, without retries and without prompts that crash engines.
    sent: u64,
    /// Requests with a complete and correct answer.
    complete: u64,
    /// Requests refused with the guarantee that they did not run.
    refused_not_run: u64,
    /// Requests of which the caller cannot tell whether they ran.
    outcome_unknown: u64,
    /// Requests without a complete answer or a refusal, and calls of the plain service `orders`
    /// that were answered without an effect.
    lost: u64,
    /// Calls of `orders` that took effect more than once.
    doubled: u64,
    /// Requests whose answer contains parts of another answer.
    crossed: u64,
    /// Calls of `orders` that took effect although every attempt was refused as not run.
    false_not_run: u64,
    /// Orders that engines accepted although they share a fencing token with another issuer's
    /// order, or an order id with an order for another target state.
    conflicting_orders: u64,
    /// Orders that engines accepted although they had accepted a higher fencing token before.
    stale_orders: u64,
    /// Accepted configurations that were lost or overwritten.
    config_reverts: u64,
    /// Engines that received work too long after they began to leave.
    late_dispatch_to_leaving: u64,
}

impl Report {
    /// Compares the results seen by callers with the logs of the endpoints.
    pub(crate) fn build(
        options: &Options,
        observations: &Observations,
        deployment: &Deployment,
        summary: &str,
    ) -> Self {
        let effects = endpoint_logs::count_effects(deployment.directory());
        let orders = endpoint_logs::audit_orders(deployment.directory());
        let mut report = Self {
            seed: options.seed,
            sent: load(&observations.sent),
            complete: load(&observations.complete),
            refused_not_run: load(&observations.refused_not_run),
            outcome_unknown: load(&observations.outcome_unknown),
            lost: load(&observations.lost),
            doubled: 0,
            crossed: load(&observations.crossed),
            false_not_run: 0,
            conflicting_orders: orders.conflicting,
            stale_orders: orders.stale,
            config_reverts: load(&observations.config_reverts),
            late_dispatch_to_leaving: load(&observations.late_dispatches),
        };
        for (body, order) in observations.orders() {
            let count = effects.get(&body).copied().unwrap_or(0);
            report.doubled += u64::from(count > 1);
            report.false_not_run += u64::from(order.all_not_run && count > 0);
            report.lost += u64::from(order.complete && count == 0);
            if count > 1 || (order.all_not_run && count > 0) || (order.complete && count == 0) {
                eprintln!("{body}: {count} effects, {order:?}");
            }
        }
        eprintln!(
            "{summary}; resumed {}, crash refusals {}, requests refused after two engine exits {}, \
             orders accepted {}, streams broken by role changes {}",
            load(&observations.resumed),
            load(&observations.crash_refusals),
            load(&observations.refused_after_crashes),
            orders.accepted,
            orders.interrupted
        );
        report
    }

    /// Returns whether requests were sent and every count of violations is 0.
    pub(crate) fn is_clean(&self) -> bool {
        let violations = [
            self.lost,
            self.doubled,
            self.crossed,
            self.false_not_run,
            self.conflicting_orders,
            self.stale_orders,
            self.config_reverts,
            self.late_dispatch_to_leaving,
        ];
        self.sent > 0 && violations.iter().all(|count| *count == 0)
    }
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
