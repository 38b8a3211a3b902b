use ragwortgrade_policy::Instant;
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::fleet::Member;
use ragwortgrade_schema::engine::Load;
use rand::RngExt as _;

use super::{SimEvent, Simulation};
use crate::engine::Engine;

impl Simulation<'_> {
    /// Samples the load of each engine. The report reaches the engine's own data centre after the
    /// lag and the others after twice the lag.
    pub(super) fn sample_loads(&mut self) {
        let lag = (self.setup.parameters.report_lag_ms * 1_000.0) as u64;
        for engine in 0..self.engines.len() {
            if !self.engines[engine].is_alive {
                continue;
            }
            let load = self.engines[engine].load(self.now_us, &self.setup.parameters);
            for (is_local, delay) in [(true, lag), (false, 2 * lag)] {
                let sim_event = SimEvent::LoadReport {
                    engine,
                    load: load.clone(),
                    observed_us: self.now_us,
                    is_local,
                };
                self.event_queue.schedule(self.now_us + delay, sim_event);
            }
        }
        let interval = (self.setup.parameters.report_interval_ms * 1_000.0) as u64;
        self.event_queue
            .schedule(self.now_us + interval, SimEvent::SampleLoads);
    }

    /// Delivers a load report to the engine's own data centre (`is_local`) or to the others.
    pub(super) fn deliver_load(
        &mut self,
        engine: usize,
        load: Load,
        observed_us: u64,
        is_local: bool,
    ) {
        let data_centre = self.engines[engine].data_centre;
        let event = Event::Reported {
            load: load.clone(),
            observed: Instant::from_micros(observed_us),
        };
        for daemon in 0..self.daemon_count() {
            let other = Self::data_centre_of(daemon);
            if (other == data_centre) == is_local && !self.are_partitioned(other, data_centre) {
                self.deliver(daemon, &event);
            }
        }
        if is_local {
            self.latest_loads[engine] = Some(load);
        }
    }

    /// Sends the engine's new cache events to the daemons of its data centre, with the configured
    /// lag and loss.
    pub(super) fn emit_cache_events(&mut self, engine: usize) {
        let lag = (self.setup.parameters.cache_event_lag_ms * 1_000.0) as u64;
        for event in self.engines[engine].cache.take_events() {
            if self.rng.random::<f64>() < self.setup.parameters.cache_event_loss {
                continue;
            }
            let event = Event::Cached {
                engine: self.engines[engine].name.clone(),
                event,
            };
            let data_centre = Some(self.engines[engine].data_centre);
            self.event_queue.schedule(
                self.now_us + lag,
                SimEvent::Broadcast { event, data_centre },
            );
        }
    }

    /// Returns the daemons that a data centre can reach, and its fraction of the serving engines in
    /// the data centres that it can reach.
    fn peers(&self, data_centre: usize) -> (Vec<usize>, f64) {
        let reaches = |other: usize| !self.are_partitioned(data_centre, other);
        let daemons = 0..self.daemon_count();
        let peers = daemons.filter(|daemon| reaches(Self::data_centre_of(*daemon)));
        let serving = |it: &&Engine| it.is_alive && !it.is_draining && reaches(it.data_centre);
        let engines = self.engines.iter().filter(serving);
        let own = engines
            .clone()
            .filter(|it| it.data_centre == data_centre)
            .count();
        let fraction = own as f64 / engines.count().max(1) as f64;
        (peers.collect(), fraction)
    }

    /// Runs the planner of each data centre and applies the ordered role changes.
    pub(super) fn run_planners(&mut self) {
        let now = self.instant();
        for data_centre in 0..self.setup.deployment.engines.len() {
            let indices: Vec<_> = (0..self.engines.len())
                .filter(|engine| self.engines[*engine].data_centre == data_centre)
                .collect();
            let member = |engine: &usize| {
                let state = &self.engines[*engine];
                Some(Member {
                    load: self.latest_loads[*engine].clone()?,
                    is_unavailable: state.is_draining || !state.is_alive,
                    has_pending_order: state.ordered_role.is_some(),
                })
            };
            let members = indices.iter().filter_map(member).collect();
            let (peers, fraction) = self.peers(data_centre);
            for change in self
                .strategy
                .plan(data_centre, &peers, fraction, members, now)
            {
                let ordered = indices
                    .iter()
                    .find(|it| self.engines[**it].name == change.engine);
                if let Some(engine) = ordered {
                    self.order_role(*engine, change.want.role);
                }
            }
        }
        self.event_queue
            .schedule(self.now_us + Self::PLAN_INTERVAL_US, SimEvent::Plan);
    }
}
