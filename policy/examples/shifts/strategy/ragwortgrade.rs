use std::sync::Arc;
use std::time::Duration;

use ragwortgrade_policy::decision::Decision;
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::fleet::{Demand, Member};
use ragwortgrade_policy::planner::Change;
use ragwortgrade_policy::{Fleet, Instant, Planner, Request, Router};
use ragwortgrade_schema::configuration::Configuration;
use ragwortgrade_schema::engine::Role;

use super::Strategy;
use crate::deployment::Deployment;
use crate::simulation::Setup;

/// The policy under test: a `Router` for each daemon and a `Planner` for each data centre.
#[derive(Debug)]
pub(crate) struct Ragwortgrade {
    routers: Vec<Router>,
    planners: Vec<Planner>,
    configuration: Arc<Configuration>,
    /// Number of prefill engines in each data centre if the roles are fixed.
    fixed_prefill_counts: Option<Vec<usize>>,
}

impl Ragwortgrade {
    /// Minimum time between two role changes of an engine.
    const ROLE_CHANGE_COOLDOWN: Duration = Duration::from_secs(20);

    pub(crate) fn new(setup: &Setup, fixed_prefill_counts: Option<Vec<usize>>) -> Self {
        let cost = setup.parameters.cost_model();
        let data_centres = setup.deployment.engines.len();
        let routers = (0..data_centres * Deployment::DAEMONS).map(|daemon| {
            let data_centre = Deployment::data_centre_name(daemon / Deployment::DAEMONS);
            Router::open_with(data_centre, setup.seed ^ ((daemon as u64) << 32), cost)
        });
        Self {
            routers: routers.collect(),
            planners: (0..data_centres)
                .map(|data_centre| {
                    Planner::open_with(Self::ROLE_CHANGE_COOLDOWN, cost)
                        .staggered(data_centre, data_centres)
                })
                .collect(),
            configuration: Arc::new(setup.deployment.configuration(&setup.trace)),
            fixed_prefill_counts,
        }
    }

    /// Returns a data centre's fraction of the demand that the daemons observed. Requests may run
    /// in other data centres than they arrive in, so each data centre plans for its fraction of the
    /// total.
    fn demand(&self, daemons: &[usize], fraction: f64, now: Instant) -> Vec<Demand> {
        let mut sums: Vec<Demand> = Vec::new();
        for daemon in daemons {
            for demand in self.routers[*daemon].demand(now) {
                let demand = demand.scaled(fraction);
                match sums.iter_mut().find(|it| it.model == demand.model) {
                    Some(sum) => sum.add(&demand),
                    None => sums.push(demand),
                }
            }
        }
        sums
    }
}

impl Strategy for Ragwortgrade {
    fn initial_role(&self, data_centre: usize, index: usize, count: usize) -> Role {
        let prefill = match &self.fixed_prefill_counts {
            Some(fixed_prefill_counts) => fixed_prefill_counts[data_centre],
            None => Planner::initial_prefill(count),
        };
        if index < prefill {
            Role::Prefill
        } else {
            Role::Decode
        }
    }

    fn observe(&mut self, daemon: usize, event: &Event, now: Instant) {
        self.routers[daemon].observe(event.clone(), now);
    }

    fn route(&mut self, daemon: usize, request: &Request, now: Instant) -> Decision {
        self.routers[daemon].route(request, now)
    }

    fn plan(
        &mut self,
        data_centre: usize,
        peers: &[usize],
        fraction: f64,
        members: Vec<Member>,
        now: Instant,
    ) -> Vec<Change> {
        if self.fixed_prefill_counts.is_some() {
            return Vec::new();
        }
        let demand = self.demand(peers, fraction, now);
        let configuration = Arc::clone(&self.configuration);
        let fleet = Fleet {
            engines: members,
            demand,
            configuration: &configuration,
        };
        self.planners[data_centre].plan(&fleet, now)
    }
}
