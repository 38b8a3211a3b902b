use ragwortgrade_policy::event::Event;

use super::{SimEvent, Simulation};
use crate::faults::Faults;

impl Simulation<'_> {
    /// Time until daemons without work on an engine detect that it has failed or restarted, and
    /// until a stream broken by a partition is detected, in microseconds.
    const DETECTION_US: u64 = 1_000_000;
    /// Delay until the list of VMs shows that an engine is leaving, in microseconds.
    const VM_LIST_LAG_US: u64 = 2_000_000;

    pub(super) fn schedule_faults(&mut self) {
        let (begin, end) = Faults::window_ms(self.setup.trace.length_ms());
        let (begin, end) = (begin * 1_000, end * 1_000);
        if self.setup.faults.crash {
            self.event_queue.schedule(begin, SimEvent::Crash(0));
            let last = self.engines.len() - 1;
            self.event_queue
                .schedule(end, SimEvent::FallbackCrash(last));
        }
        if self.setup.faults.cut {
            self.event_queue.schedule(begin, SimEvent::Partition(true));
            self.event_queue.schedule(end, SimEvent::Partition(false));
        }
        if self.setup.faults.withdraw {
            self.event_queue.schedule(begin, SimEvent::Withdraw);
        }
    }

    pub(super) fn crash(&mut self, engine: usize) {
        if !self.engines[engine].is_alive {
            return;
        }
        let lost = self.engines[engine].crash();
        for lost in lost {
            if self.is_current(lost.call, lost.attempt) {
                let daemon = self.calls[lost.call].daemon;
                let data_centre = self.engines[engine].data_centre;
                let detected_us =
                    self.now_us + self.one_way_delay_us(Self::data_centre_of(daemon), data_centre);
                let event = self.reachable(engine, false);
                self.event_queue
                    .schedule(detected_us, SimEvent::Deliver { daemon, event });
                self.reroute(lost.call, lost.tokens, lost.long_gaps, detected_us);
            }
        }
        let event = self.reachable(engine, false);
        let at = self.now_us + Self::DETECTION_US;
        self.event_queue.schedule(
            at,
            SimEvent::Broadcast {
                event,
                data_centre: None,
            },
        );
        let restart = self.now_us + Faults::RESTART_MS * 1_000;
        self.event_queue
            .schedule(restart, SimEvent::Restart(engine));
    }

    pub(super) fn restart(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.is_alive = true;
        state.incarnation += 1;
        state.link_free_us = self.now_us;
        let joined = Event::Joined(self.endpoint(engine));
        let at = self.now_us + Self::DETECTION_US;
        for event in [joined, self.reachable(engine, true)] {
            self.event_queue.schedule(
                at,
                SimEvent::Broadcast {
                    event,
                    data_centre: None,
                },
            );
        }
    }

    fn reachable(&self, engine: usize, reachable: bool) -> Event {
        Event::Reachable {
            endpoint: self.engines[engine].name.clone(),
            reachable,
        }
    }

    /// Begins or ends the partition of the last data centre from the others.
    pub(super) fn set_partition(&mut self, begins: bool) {
        self.is_partitioned = begins;
        let detected_us = self.now_us + Self::DETECTION_US;
        let last = self.setup.deployment.engines.len() - 1;
        for daemon in 0..self.daemon_count() {
            for engine in 0..self.engines.len() {
                let is_separated = (Self::data_centre_of(daemon) == last)
                    != (self.engines[engine].data_centre == last);
                if is_separated {
                    let event = self.reachable(engine, !begins);
                    self.event_queue
                        .schedule(detected_us, SimEvent::Deliver { daemon, event });
                }
            }
        }
        if begins {
            self.break_streams(detected_us);
        }
    }

    /// Reroutes the calls whose engine is on the other side of the partition.
    fn break_streams(&mut self, detected_us: u64) {
        for call in 0..self.calls.len() {
            let state = &self.calls[call];
            if state.outcome.is_some() || state.attempt == 0 {
                continue;
            }
            let is_plain = self.setup.trace.rows[call].kind == crate::trace::Kind::Plain;
            let data_centre = Self::data_centre_of(state.daemon);
            let used = [state.endpoint, state.prefill];
            let mut used = used.into_iter().flatten().filter(|_| !is_plain);
            if used
                .any(|engine| self.are_partitioned(data_centre, self.engines[engine].data_centre))
            {
                let progress = state
                    .endpoint
                    .and_then(|engine| self.engines[engine].progress(call, state.attempt));
                let (tokens, long_gaps) = progress.unwrap_or((0, 0));
                self.reroute(call, tokens, long_gaps, detected_us);
            }
        }
    }

    /// Marks the first engine of each data centre but the last as leaving.
    pub(super) fn withdraw(&mut self) {
        let last = self.setup.deployment.engines.len() - 1;
        let first_of = |data_centre| {
            self.engines
                .iter()
                .position(|it| it.data_centre == data_centre)
        };
        for engine in (0..last).filter_map(first_of).collect::<Vec<_>>() {
            self.engines[engine].is_draining = true;
            let event = Event::Leaving {
                endpoint: self.engines[engine].name.clone(),
                leaving: true,
            };
            let at = self.now_us + Self::VM_LIST_LAG_US;
            self.event_queue.schedule(
                at,
                SimEvent::Broadcast {
                    event,
                    data_centre: None,
                },
            );
        }
    }
}
