//! The key-value service of the simulation, as far as authority uses it.

use ragwortgrade_policy::authority::{Answer, Call, Terms};

use super::simulation::Simulation;

impl Simulation {
    pub fn answer(&mut self, call: &Call) -> Answer {
        if *call == Call::Survey {
            let tokens = self.engines.iter().map(|engine| engine.highest);
            return Answer::Surveyed(tokens.max().unwrap_or(0));
        }
        if self.is_platform_down {
            return Answer::Failed;
        }
        let answer = self.perform(call);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return Answer::Lost;
        }
        answer
    }

    fn perform(&mut self, call: &Call) -> Answer {
        let ends_ms = self.now_ms + Terms::default().ttl.as_millis() as u64;
        let is_live = |lease: u64| self.leases[lease as usize - 1] > self.now_ms;
        match call {
            Call::ReadLock => Answer::Lock(self.lock.clone()),
            Call::ReadTenure => Answer::Tenure(self.tenure.clone()),
            Call::Survey => Answer::Failed,
            Call::Grant => {
                self.leases.push(ends_ms);
                Answer::Granted(self.leases.len() as u64)
            }
            Call::Lock(lock) if self.lock.is_none() && is_live(lock.lease) => {
                self.revision += 1;
                self.lock = Some((lock.clone(), self.revision));
                Answer::Written(self.revision)
            }
            Call::Record { expect, tenure } if *expect == self.tenure_revision() => {
                self.revision += 1;
                self.tenure = Some((tenure.clone(), self.revision));
                Answer::Written(self.revision)
            }
            Call::Lock(_) | Call::Record { .. } => Answer::Conflict,
            Call::KeepAlive(lease) if is_live(*lease) => {
                self.leases[*lease as usize - 1] = ends_ms;
                Answer::Done
            }
            Call::KeepAlive(_) => Answer::Ended,
            Call::Revoke(lease) => {
                self.leases[*lease as usize - 1] = 0;
                self.lapse();
                Answer::Done
            }
        }
    }

    fn tenure_revision(&self) -> u64 {
        self.tenure.as_ref().map_or(0, |(_, revision)| *revision)
    }

    pub fn lapse(&mut self) {
        let (leases, now_ms) = (&self.leases, self.now_ms);
        self.lock
            .take_if(|(lock, _)| leases[lock.lease as usize - 1] <= now_ms);
    }
}
