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
    /// Prefill engines in each data centre when the roles are fixed.
    fixed: Option<Vec<usize>>,
}

impl Ragwortgrade {
    /// Time between two role changes of an engine.
    const PAUSE: Duration = Duration::from_secs(20);

    pub(crate) fn new(setup: &Setup, fixed: Option<Vec<usize>>) -> Self {
        let cost = setup.speeds.cost_model();
        let places = setup.deployment.engines.len();
        let routers = (0..places * Deployment::DAEMONS).map(|daemon| {
            let place = Deployment::data_centre(daemon / Deployment::DAEMONS);
            Router::open_with(place, setup.seed ^ ((daemon as u64) << 32), cost)
        });
        Self {
            routers: routers.collect(),
            planners: (0..places)
                .map(|place| Planner::open_with(Self::PAUSE, cost).staggered(place, places))
                .collect(),
            configuration: Arc::new(setup.deployment.configuration(&setup.trace)),
            fixed,
        }
    }

    /// A data centre's part of the demand that the daemons saw; requests cross between data
    /// centres, so each plans for its part of the whole.
    fn demand(&self, daemons: &[usize], part: f64, now: Instant) -> Vec<Demand> {
        let mut sums: Vec<Demand> = Vec::new();
        for daemon in daemons {
            for demand in self.routers[*daemon].demand(now) {
                let demand = demand.scaled(part);
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
    fn initial_role(&self, place: usize, index: usize, count: usize) -> Role {
        let prefill = match &self.fixed {
            Some(fixed) => fixed[place],
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
        place: usize,
        peers: &[usize],
        part: f64,
        members: Vec<Member>,
        now: Instant,
    ) -> Vec<Change> {
        if self.fixed.is_some() {
            return Vec::new();
        }
        let demand = self.demand(peers, part, now);
        let configuration = Arc::clone(&self.configuration);
        let fleet = Fleet {
            engines: members,
            demand,
            configuration: &configuration,
        };
        self.planners[place].plan(&fleet, now)
    }
}
