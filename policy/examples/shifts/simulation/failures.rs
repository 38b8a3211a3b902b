use ragwortgrade_policy::event::Event;

use super::{Simulation, What};
use crate::faults::Faults;

impl Simulation<'_> {
    /// Time after which daemons without work on an endpoint notice that it is gone or back, and
    /// after which a broken stream across a partition is noticed, in microseconds.
    const DETECTION_US: u64 = 1_000_000;
    /// Time after which the list of VMs shows that an engine is leaving, in microseconds.
    const VM_LIST_LAG_US: u64 = 2_000_000;

    pub(super) fn schedule_faults(&mut self) {
        let (begin, end) = Faults::thirds(self.setup.trace.length_ms());
        let (begin, end) = (begin * 1_000, end * 1_000);
        if self.setup.faults.crash {
            self.calendar.add(begin, What::Crash(0));
            let last = self.engines.len() - 1;
            self.calendar.add(end, What::CrashIfNone(last));
        }
        if self.setup.faults.cut {
            self.calendar.add(begin, What::Cut(true));
            self.calendar.add(end, What::Cut(false));
        }
        if self.setup.faults.withdraw {
            self.calendar.add(begin, What::Withdraw);
        }
    }

    pub(super) fn crash(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        let lost = self.engines[engine].crash();
        for lost in lost {
            if self.is_current(lost.call, lost.attempt) {
                let daemon = self.calls[lost.call].daemon;
                let place = self.engines[engine].place;
                let detected = self.now + self.one_way(Self::place_of(daemon), place);
                let event = self.reachable(engine, false);
                self.calendar.add(detected, What::Hear { daemon, event });
                self.fail(lost.call, lost.tokens, lost.long_gaps, detected);
            }
        }
        let event = self.reachable(engine, false);
        let at = self.now + Self::DETECTION_US;
        self.calendar.add(at, What::HearAll { event, place: None });
        let restart = self.now + Faults::RESTART_MS * 1_000;
        self.calendar.add(restart, What::Restart(engine));
    }

    pub(super) fn restart(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.alive = true;
        state.incarnation += 1;
        state.link_free = self.now;
        let joined = Event::Joined(self.endpoint(engine));
        let at = self.now + Self::DETECTION_US;
        for event in [joined, self.reachable(engine, true)] {
            self.calendar.add(at, What::HearAll { event, place: None });
        }
    }

    fn reachable(&self, engine: usize, reachable: bool) -> Event {
        Event::Reachable {
            endpoint: self.engines[engine].name.clone(),
            reachable,
        }
    }

    /// Begins or ends the partition of the last data centre.
    pub(super) fn cut(&mut self, begins: bool) {
        self.cut = begins;
        let detected = self.now + Self::DETECTION_US;
        let last = self.setup.deployment.engines.len() - 1;
        for daemon in 0..self.daemon_count() {
            for engine in 0..self.engines.len() {
                let far = (Self::place_of(daemon) == last) != (self.engines[engine].place == last);
                if far {
                    let event = self.reachable(engine, !begins);
                    self.calendar.add(detected, What::Hear { daemon, event });
                }
            }
        }
        if begins {
            self.break_streams(detected);
        }
    }

    /// Fails the calls whose engine is on the other side of the partition.
    fn break_streams(&mut self, detected: u64) {
        for call in 0..self.calls.len() {
            let state = &self.calls[call];
            if state.verdict.is_some() || state.attempt == 0 {
                continue;
            }
            let is_plain = self.setup.trace.rows[call].kind == crate::trace::Kind::Plain;
            let place = Self::place_of(state.daemon);
            let used = [state.endpoint, state.prefill];
            let mut used = used.into_iter().flatten().filter(|_| !is_plain);
            if used.any(|engine| self.separated(place, self.engines[engine].place)) {
                let progress = state
                    .endpoint
                    .and_then(|engine| self.engines[engine].progress(call, state.attempt));
                let (tokens, long_gaps) = progress.unwrap_or((0, 0));
                self.fail(call, tokens, long_gaps, detected);
            }
        }
    }

    /// Withdraws the first engine of each data centre but the last.
    pub(super) fn withdraw(&mut self) {
        let last = self.setup.deployment.engines.len() - 1;
        let first_of = |place| self.engines.iter().position(|it| it.place == place);
        for engine in (0..last).filter_map(first_of).collect::<Vec<_>>() {
            self.engines[engine].draining = true;
            let event = Event::Leaving {
                endpoint: self.engines[engine].name.clone(),
                leaving: true,
            };
            let at = self.now + Self::VM_LIST_LAG_US;
            self.calendar.add(at, What::HearAll { event, place: None });
        }
    }
}
