//! Recovery from failures, and the checks that are possible only afterwards.

use std::thread;
use std::time::{Duration, Instant};

use ragwortgrade_schema::platform::Entry;
use ragwortgrade_standins::deployment::{Deployment, Process, StandinProcess, document_revision};
use ragwortgrade_standins::{Caller, Cut, Error, Fault, WorkCounters};

use super::{Injector, RETRY_INTERVAL, daemon};
use crate::observations::{Observations, increment};
use crate::recovery::{Action, Recovery};
use crate::target::Target;

/// Time after which a leaving endpoint must not receive new work.
const LEAVING_GRACE_MS: u64 = 5_000;
const ENGINE_RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time within which the key-value service must have the newest configuration after all failures:
/// the time within which a new configuration must be in force everywhere.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(11);

impl Injector<'_> {
    /// Recovers from failures whose duration is over, and restarts crashed engines and daemons.
    pub(crate) fn recover_due(&mut self, deployment: &mut Deployment) {
        self.schedule_engine_restarts(deployment);
        self.restart_exited_daemons(deployment);
        let now = Instant::now();
        let (due, later): (Vec<Recovery>, Vec<Recovery>) = self
            .recoveries
            .drain(..)
            .partition(|recovery| recovery.at <= now);
        self.recoveries = later;
        for recovery in due {
            self.apply(&recovery, deployment);
        }
    }

    /// Recovers from all failures now.
    pub(crate) fn recover_all(&mut self, deployment: &mut Deployment) {
        self.schedule_engine_restarts(deployment);
        // The recovery of an unfinished drain is queued again until the drain has ended.
        while !self.recoveries.is_empty() {
            for recovery in std::mem::take(&mut self.recoveries) {
                self.apply(&recovery, deployment);
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Checks that the newest accepted configuration is in the key-value service after all
    /// failures.
    pub(crate) fn check_configuration(&self, deployment: &Deployment) {
        let until = Instant::now() + CONFIGURATION_TIMEOUT;
        loop {
            let revision = self.platform_revision(deployment);
            if matches!(&revision, Ok(revision) if *revision >= self.highest_revision) {
                return;
            }
            if Instant::now() > until {
                let highest = self.highest_revision;
                eprintln!(
                    "configuration {highest} was lost; the key-value service has {revision:?}"
                );
                return increment(&self.observations.config_reverts);
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    fn platform_revision(&self, deployment: &Deployment) -> Result<u64, Error> {
        let url = deployment.key_value.url("/kv/configuration");
        let entry: Entry = self.caller.get(&url)?;
        let document = entry.value.unwrap_or_default();
        Ok(document_revision(&document).unwrap_or(0))
    }

    fn schedule_engine_restarts(&mut self, deployment: &mut Deployment) {
        let mut crashed = Vec::new();
        for (centre, data_centre) in deployment.data_centres.iter_mut().enumerate() {
            for (number, engine) in data_centre.engines.iter_mut().enumerate() {
                let target = Target::Engine(centre, number);
                if engine.process.exit_status().is_some() && !self.reserved.contains(&target) {
                    crashed.push(target);
                }
            }
        }
        for target in crashed {
            self.log_event("engine crashed");
            self.engine_crashes += 1;
            increment(&self.observations.engine_exits);
            self.reserve(
                target,
                ENGINE_RESTART_DELAY.as_millis() as u64,
                Action::Start,
            );
        }
    }

    /// Restarts daemons that exited although the injector did not stop them.
    fn restart_exited_daemons(&mut self, deployment: &mut Deployment) {
        for (centre, data_centre) in deployment.data_centres.iter_mut().enumerate() {
            for (number, daemon) in data_centre.daemons.iter_mut().enumerate() {
                let status = daemon.process.as_mut().and_then(Process::exit_status);
                if let Some(status) = status
                    && !self.reserved.contains(&Target::Daemon(centre, number))
                {
                    eprintln!("{} exited unexpectedly: {status}", daemon.settings.id);
                    self.unexpected_exits += 1;
                    daemon.kill();
                    if let Err(error) = daemon.start() {
                        eprintln!("{error}");
                    }
                }
            }
        }
    }

    fn apply(&mut self, recovery: &Recovery, deployment: &mut Deployment) {
        match self.recover(recovery, deployment) {
            Ok(true) => {
                self.log_event(&format!("recovered {:?}", recovery.target));
                self.reserved.remove(&recovery.target);
            }
            Ok(false) => self.recoveries.push(Recovery {
                at: Instant::now() + RETRY_INTERVAL,
                ..recovery.clone()
            }),
            Err(error) => {
                eprintln!("recovery of {:?} failed: {error}", recovery.target);
                self.reserved.remove(&recovery.target);
            }
        }
    }

    /// Recovers from one failure, or returns `false` when that must be tried again.
    fn recover(&mut self, recovery: &Recovery, deployment: &mut Deployment) -> Result<bool, Error> {
        match recovery.target {
            Target::Daemon(..) => return self.recover_daemon(recovery, deployment),
            Target::Engine(centre, number) => {
                self.recover_engine(&recovery.action, centre, number, deployment)?;
            }
            Target::Platform(centre) => {
                deployment.data_centres[centre].cut_key_value(Cut::None);
                deployment.cut_data_centre(centre, Cut::None);
            }
            Target::KeyValue if recovery.action == Action::RollBack => {
                self.set_key_value_fault(deployment, &Fault::Rollback)?;
            }
            Target::KeyValue => self.set_key_value_fault(deployment, &Fault::None)?,
            Target::Plain(..) | Target::Configuration => {}
        }
        Ok(true)
    }

    fn recover_daemon(
        &mut self,
        recovery: &Recovery,
        deployment: &mut Deployment,
    ) -> Result<bool, Error> {
        let Some(daemon) = daemon(deployment, recovery.target) else {
            return Ok(true);
        };
        match (&recovery.action, daemon.process.as_mut()) {
            (Action::Resume, Some(process)) => {
                process.resume()?;
                return Ok(true);
            }
            (Action::FinishDrain { until }, Some(process)) => {
                let exit_status = process.exit_status();
                if exit_status.is_none() && Instant::now() < *until {
                    return Ok(false);
                }
                if !exit_status.is_some_and(|status| status.success()) {
                    eprintln!(
                        "{} did not complete its drain: {exit_status:?}",
                        daemon.settings.id
                    );
                    self.incomplete_drains += 1;
                }
                self.observations.end_drain(daemon.settings.callers);
            }
            _ => {}
        }
        daemon.kill();
        daemon.start()?;
        deployment.publish_vms()?;
        Ok(true)
    }

    fn recover_engine(
        &mut self,
        action: &Action,
        centre: usize,
        number: usize,
        deployment: &mut Deployment,
    ) -> Result<(), Error> {
        let data_centre = &mut deployment.data_centres[centre];
        let relay = &data_centre.endpoint_relays[number];
        let engine = &mut data_centre.engines[number];
        match action {
            Action::Resume => return engine.process.resume(),
            Action::Open => {
                relay.set_cut(Cut::None);
                return Ok(());
            }
            Action::FinishLeaving { since_ms } => {
                check_leaving(&self.caller, self.observations, engine, *since_ms);
                engine.is_leaving = false;
            }
            Action::Start => {}
            _ => return Ok(()),
        }
        if engine.process.exit_status().is_none() {
            increment(&self.observations.engine_exits);
        }
        engine.restart()?;
        deployment.publish_vms()
    }
}

/// Counts a violation when an engine received work after its grace period for leaving.
fn check_leaving(
    caller: &Caller,
    observations: &Observations,
    engine: &StandinProcess,
    since_ms: u64,
) {
    let Ok(work) = caller.get::<WorkCounters>(&engine.url("/debug/work")) else {
        // The engine crashed in the meantime; its counters are lost.
        return;
    };
    if work.last_arrival_ms > since_ms + LEAVING_GRACE_MS {
        let late_ms = work.last_arrival_ms - since_ms;
        eprintln!(
            "{} received work {late_ms} ms after it began to leave",
            engine.name
        );
        increment(&observations.late_dispatches);
    }
}
