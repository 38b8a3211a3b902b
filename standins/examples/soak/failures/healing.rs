//! Ends failures and judges what can be judged only then.

use std::thread;
use std::time::{Duration, Instant};

use ragwortgrade_schema::platform::Entry;
use ragwortgrade_standins::deployment::{Deployment, EndpointProcess, Process, revision_of};
use ragwortgrade_standins::{Caller, Cut, Error, Fault, Work};

use super::{Failures, RETRY, daemon};
use crate::heal::{Cure, Heal};
use crate::ledger::{Ledger, count};
use crate::target::Target;

/// The requirement's "few seconds" until a leaving endpoint gets no new work.
const LEAVING_GRACE_MS: u64 = 5_000;
const ENGINE_RESTART: Duration = Duration::from_secs(1);
/// Time for the configuration to be in force everywhere (design section 1.7).
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(11);

impl Failures<'_> {
    /// Ends the failures whose time is over and starts crashed engines again.
    pub(crate) fn heal_due(&mut self, deployment: &mut Deployment) {
        self.find_crashed_engines(deployment);
        self.find_ended_daemons(deployment);
        let now = Instant::now();
        let (due, later): (Vec<Heal>, Vec<Heal>) =
            self.heals.drain(..).partition(|heal| heal.at <= now);
        self.heals = later;
        for heal in due {
            self.apply(&heal, deployment);
        }
    }

    /// Ends every failure at once.
    pub(crate) fn heal_all(&mut self, deployment: &mut Deployment) {
        self.find_crashed_engines(deployment);
        // A drain that has not ended yet is looked at again until it has.
        while !self.heals.is_empty() {
            for heal in std::mem::take(&mut self.heals) {
                self.apply(&heal, deployment);
            }
            thread::sleep(RETRY);
        }
    }

    /// Judges that the newest accepted configuration is in the platform after all failures.
    pub(crate) fn judge_configuration(&self, deployment: &Deployment) {
        let until = Instant::now() + CONFIGURATION_TIMEOUT;
        loop {
            let revision = self.platform_revision(deployment);
            if matches!(&revision, Ok(revision) if *revision >= self.highest_revision) {
                return;
            }
            if Instant::now() > until {
                let highest = self.highest_revision;
                eprintln!("configuration {highest} was lost; the platform has {revision:?}");
                return count(&self.ledger.config_reverts);
            }
            thread::sleep(RETRY);
        }
    }

    fn platform_revision(&self, deployment: &Deployment) -> Result<u64, Error> {
        let url = deployment.key_value.url("/kv/configuration");
        let entry: Entry = self.caller.get(&url)?;
        let document = entry.value.unwrap_or_default();
        Ok(revision_of(&document).unwrap_or(0))
    }

    fn find_crashed_engines(&mut self, deployment: &mut Deployment) {
        let mut crashed = Vec::new();
        for (centre, data_centre) in deployment.data_centres.iter_mut().enumerate() {
            for (number, engine) in data_centre.engines.iter_mut().enumerate() {
                let target = Target::Engine(centre, number);
                if engine.process.ended().is_some() && !self.held.contains(&target) {
                    crashed.push(target);
                }
            }
        }
        for target in crashed {
            self.note("engine crashed");
            self.engine_crashes += 1;
            count(&self.ledger.engine_deaths);
            self.hold(target, ENGINE_RESTART.as_millis() as u64, Cure::Start);
        }
    }

    /// Starts daemons again that ended although nobody asked them to.
    fn find_ended_daemons(&mut self, deployment: &mut Deployment) {
        for (centre, data_centre) in deployment.data_centres.iter_mut().enumerate() {
            for (number, daemon) in data_centre.daemons.iter_mut().enumerate() {
                let status = daemon.process.as_mut().and_then(Process::ended);
                if let Some(status) = status
                    && !self.held.contains(&Target::Daemon(centre, number))
                {
                    eprintln!("{} ended by itself: {status}", daemon.settings.id);
                    self.unasked_ends += 1;
                    daemon.kill();
                    if let Err(error) = daemon.start() {
                        eprintln!("{error}");
                    }
                }
            }
        }
    }

    fn apply(&mut self, heal: &Heal, deployment: &mut Deployment) {
        match self.cure(heal, deployment) {
            Ok(true) => {
                self.note(&format!("healed {:?}", heal.target));
                self.held.remove(&heal.target);
            }
            Ok(false) => self.heals.push(Heal {
                at: Instant::now() + RETRY,
                ..heal.clone()
            }),
            Err(error) => {
                eprintln!("{:?} was not healed: {error}", heal.target);
                self.held.remove(&heal.target);
            }
        }
    }

    /// Ends one failure; `false` when it has to be looked at again.
    fn cure(&mut self, heal: &Heal, deployment: &mut Deployment) -> Result<bool, Error> {
        match heal.target {
            Target::Daemon(..) => return self.cure_daemon(heal, deployment),
            Target::Engine(centre, number) => {
                self.cure_engine(&heal.cure, centre, number, deployment)?;
            }
            Target::Platform(centre) => {
                deployment.data_centres[centre].cut_platform(Cut::None);
                deployment.cut_data_centre(centre, Cut::None);
            }
            Target::KeyValue if heal.cure == Cure::RollBack => {
                self.set_key_value_fault(deployment, &Fault::Rollback)?;
            }
            Target::KeyValue => self.set_key_value_fault(deployment, &Fault::None)?,
            Target::Plain(..) | Target::Configuration => {}
        }
        Ok(true)
    }

    fn cure_daemon(&mut self, heal: &Heal, deployment: &mut Deployment) -> Result<bool, Error> {
        let Some(daemon) = daemon(deployment, heal.target) else {
            return Ok(true);
        };
        match (&heal.cure, daemon.process.as_mut()) {
            (Cure::Resume, Some(process)) => {
                process.resume()?;
                return Ok(true);
            }
            (Cure::FinishDrain { until }, Some(process)) => {
                let ended = process.ended();
                if ended.is_none() && Instant::now() < *until {
                    return Ok(false);
                }
                if !ended.is_some_and(|status| status.success()) {
                    eprintln!("{} ended its drain with {ended:?}", daemon.settings.id);
                    self.incomplete_drains += 1;
                }
                self.ledger.end_drain(daemon.settings.callers);
            }
            _ => {}
        }
        daemon.kill();
        daemon.start()?;
        deployment.publish_vms()?;
        Ok(true)
    }

    fn cure_engine(
        &mut self,
        cure: &Cure,
        centre: usize,
        number: usize,
        deployment: &mut Deployment,
    ) -> Result<(), Error> {
        let data_centre = &mut deployment.data_centres[centre];
        let relay = &data_centre.endpoint_relays[number];
        let engine = &mut data_centre.engines[number];
        match cure {
            Cure::Resume => return engine.process.resume(),
            Cure::Open => {
                relay.set_cut(Cut::None);
                return Ok(());
            }
            Cure::FinishLeaving { since_ms } => {
                judge_leaving(&self.caller, self.ledger, engine, *since_ms);
                engine.is_leaving = false;
            }
            Cure::Start => {}
            _ => return Ok(()),
        }
        if engine.process.ended().is_none() {
            count(&self.ledger.engine_deaths);
        }
        engine.restart()?;
        deployment.publish_vms()
    }
}

/// Counts work that reached an engine long after it was said to leave.
fn judge_leaving(caller: &Caller, ledger: &Ledger, engine: &EndpointProcess, since_ms: u64) {
    let Ok(work) = caller.get::<Work>(&engine.url("/debug/work")) else {
        // The engine crashed meanwhile, so nothing can have reached it.
        return;
    };
    if work.last_arrival_ms > since_ms + LEAVING_GRACE_MS {
        let late = work.last_arrival_ms - since_ms;
        eprintln!(
            "{} received work {late} ms after it was leaving",
            engine.name
        );
        count(&ledger.late_dispatch);
    }
}
