use ragwortgrade_policy::Instant;
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::fleet::Member;
use ragwortgrade_schema::engine::Load;
use rand::RngExt as _;

use super::{Simulation, What};
use crate::engine::Engine;

impl Simulation<'_> {
    /// Makes a report of each engine; it reaches the own data centre after the lag and the others
    /// after twice the lag.
    pub(super) fn report(&mut self) {
        let lag = (self.setup.speeds.report_lag_ms * 1_000.0) as u64;
        for engine in 0..self.engines.len() {
            if !self.engines[engine].alive {
                continue;
            }
            let load = self.engines[engine].load(self.now, &self.setup.speeds);
            for (near, delay) in [(true, lag), (false, 2 * lag)] {
                let what = What::Reported {
                    engine,
                    load: load.clone(),
                    observed: self.now,
                    near,
                };
                self.calendar.add(self.now + delay, what);
            }
        }
        let interval = (self.setup.speeds.report_interval_ms * 1_000.0) as u64;
        self.calendar.add(self.now + interval, What::Report);
    }

    /// Delivers a report to the engine's own (`near`) or to the other data centres.
    pub(super) fn reported(&mut self, engine: usize, load: Load, observed: u64, near: bool) {
        let place = self.engines[engine].place;
        let event = Event::Reported {
            load: load.clone(),
            observed: Instant::from_micros(observed),
        };
        for daemon in 0..self.daemon_count() {
            let other = Self::place_of(daemon);
            if (other == place) == near && !self.separated(other, place) {
                self.hear(daemon, &event);
            }
        }
        if near {
            self.reports[engine] = Some(load);
        }
    }

    /// Sends the engine's new cache events to the daemons of its data centre, late and with gaps.
    pub(super) fn emit_cache_events(&mut self, engine: usize) {
        let lag = (self.setup.speeds.cache_event_lag_ms * 1_000.0) as u64;
        for event in self.engines[engine].cache.take_events() {
            if self.random.random::<f64>() < self.setup.speeds.cache_event_loss {
                continue;
            }
            let event = Event::Cached {
                engine: self.engines[engine].name.clone(),
                event,
            };
            let place = Some(self.engines[engine].place);
            self.calendar
                .add(self.now + lag, What::HearAll { event, place });
        }
    }

    /// Daemons that a data centre can reach, and its part of the engines that these use.
    fn peers(&self, place: usize) -> (Vec<usize>, f64) {
        let reaches = |other: usize| !self.separated(place, other);
        let daemons = 0..self.daemon_count();
        let peers = daemons.filter(|daemon| reaches(Self::place_of(*daemon)));
        let serving = |it: &&Engine| it.alive && !it.draining && reaches(it.place);
        let engines = self.engines.iter().filter(serving);
        let own = engines.clone().filter(|it| it.place == place).count();
        let part = own as f64 / engines.count().max(1) as f64;
        (peers.collect(), part)
    }

    /// Asks the planner of each data centre.
    pub(super) fn plan(&mut self) {
        let now = self.instant();
        for place in 0..self.setup.deployment.engines.len() {
            let indices: Vec<_> = (0..self.engines.len())
                .filter(|engine| self.engines[*engine].place == place)
                .collect();
            let member = |engine: &usize| {
                let state = &self.engines[*engine];
                Some(Member {
                    load: self.reports[*engine].clone()?,
                    unavailable: state.draining || !state.alive,
                    ordered: state.ordered.is_some(),
                })
            };
            let members = indices.iter().filter_map(member).collect();
            let (peers, part) = self.peers(place);
            for change in self.strategy.plan(place, &peers, part, members, now) {
                let ordered = indices
                    .iter()
                    .find(|it| self.engines[**it].name == change.engine);
                if let Some(engine) = ordered {
                    self.order(*engine, change.want.role);
                }
            }
        }
        self.calendar.add(self.now + Self::PLAN_US, What::Plan);
    }
}
