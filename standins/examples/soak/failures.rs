mod planned;
mod recovery;

use std::collections::{BTreeMap, HashSet};
use std::fs::File;
use std::io::{self, Write as _};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ragwortgrade_standins::deployment::{DaemonProcess, Deployment};
use ragwortgrade_standins::{Caller, Cut, EngineFault, Error, Fault, PlainFault};
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::observations::{Observations, increment};
use crate::options::Options;
use crate::recovery::{Action, Recovery};
use crate::target::{Kind, Target};

/// Time between two failures in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..2_000;
/// Duration of a failure in milliseconds. Long ones may exceed the control lease of 10 s.
const SHORT_FAILURE_MS: std::ops::Range<u64> = 500..5_000;
const LONG_FAILURE_MS: std::ops::Range<u64> = 1_000..14_000;
/// Time after which a draining daemon is killed, longer than its drain timeout.
const DRAIN_EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which daemons restore from memory what a rollback undid, and receive a new
/// configuration. The system gives no guarantee when memory and stored data are lost together, so
/// no daemon is killed during this time.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time in milliseconds for which an endpoint with an injected fault is not selected again.
const FAULT_RESERVATION_MS: u64 = 3_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Injects seeded random failures and recovers from them.
pub(crate) struct Injector<'a> {
    random: ChaCha8Rng,
    observations: &'a Observations,
    kinds: Vec<Kind>,
    recoveries: Vec<Recovery>,
    reserved: HashSet<Target>,
    next_failure_at: Instant,
    /// Time before which no daemon may be stopped.
    no_kill_before: Instant,
    caller: Caller,
    /// Highest revision of the configuration that the key-value service has accepted.
    highest_revision: u64,
    injected: BTreeMap<&'static str, u32>,
    engine_crashes: u32,
    incomplete_drains: u32,
    unexpected_exits: u32,
    log: File,
}

impl<'a> Injector<'a> {
    /// Creates an injector that logs its events to `failures.log` in `directory`.
    pub(crate) fn open(
        options: &Options,
        observations: &'a Observations,
        directory: &Path,
    ) -> io::Result<Self> {
        Ok(Self {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            observations,
            kinds: options.kinds.clone(),
            recoveries: Vec::new(),
            reserved: HashSet::new(),
            next_failure_at: Instant::now() + Duration::from_secs(1),
            no_kill_before: Instant::now(),
            caller: Caller::with_timeout(CALL_TIMEOUT),
            highest_revision: 1,
            injected: BTreeMap::new(),
            engine_crashes: 0,
            incomplete_drains: 0,
            unexpected_exits: 0,
            log: File::create(directory.join("failures.log"))?,
        })
    }

    /// Recovers from failures whose duration is over, and injects the next one when it is due.
    pub(crate) fn tick(&mut self, deployment: &mut Deployment) {
        self.recover_due(deployment);
        if Instant::now() < self.next_failure_at {
            return;
        }
        let pause = self.random.random_range(PAUSE_MS);
        self.next_failure_at = Instant::now() + Duration::from_millis(pause);
        let Some(kind) = self.kinds.choose(&mut self.random).copied() else {
            return;
        };
        self.log_event(kind.name());
        match self.inject(kind, deployment) {
            Ok(true) => *self.injected.entry(kind.name()).or_default() += 1,
            Ok(false) => {}
            Err(error) => eprintln!("failure {} was not injected: {error}", kind.name()),
        }
    }

    /// Returns the counts of injected failures and of unexpected events as text.
    pub(crate) fn summary(&self) -> String {
        format!(
            "injected {:?}, engine crashes {}, incomplete drains {}, unexpected daemon exits {}",
            self.injected, self.engine_crashes, self.incomplete_drains, self.unexpected_exits
        )
    }

    /// Injects a failure, or returns `false` when its target is reserved or must not fail now.
    fn inject(&mut self, kind: Kind, deployment: &mut Deployment) -> Result<bool, Error> {
        match kind {
            Kind::KillDaemon => Ok(self.kill_daemon(deployment)),
            Kind::PauseDaemon => self.pause_daemon(deployment),
            Kind::DrainDaemon => self.drain_daemon(deployment),
            Kind::CutPlatform | Kind::CutDataCentre => Ok(self.cut_links(kind, deployment)),
            Kind::CutEndpoint => Ok(self.cut_endpoint(deployment)),
            Kind::KeyValueOutage | Kind::KeyValueLostAnswers => {
                self.inject_key_value_fault(kind, deployment)
            }
            Kind::KeyValueRollback => self.roll_back(deployment),
            Kind::KillEngine | Kind::PauseEngine => self.stop_engine(kind, deployment),
            Kind::CrashInChange | Kind::CrossedAnswers => {
                self.inject_engine_fault(kind, deployment)
            }
            Kind::PlainFailures => self.inject_plain_fault(deployment),
            Kind::Operators => self.race_operators(deployment),
            Kind::LeavingEngine | Kind::LeavingVm => self.start_leaving(kind, deployment),
        }
    }

    /// Appends an event to `failures.log`, for the analysis of violations.
    fn log_event(&mut self, text: &str) {
        if let Err(error) = writeln!(self.log, "{} {text}", unix_ms()) {
            eprintln!("cannot write to the log of failures: {error}");
        }
    }

    /// Reserves a target until its recovery is done, or returns `false` when it is already
    /// reserved.
    fn reserve(&mut self, target: Target, after_ms: u64, action: Action) -> bool {
        if !self.reserved.insert(target) {
            return false;
        }
        let at = Instant::now() + Duration::from_millis(after_ms);
        self.log_event(&format!("{target:?} for {after_ms} ms, {action:?}"));
        self.recoveries.push(Recovery { at, target, action });
        true
    }

    fn random_duration_ms(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random.random_range(range)
    }

    fn random_daemon(&mut self, deployment: &Deployment) -> Target {
        let centre = self.random.random_range(0..deployment.data_centres.len());
        let daemons = deployment.data_centres[centre].daemons.len();
        Target::Daemon(centre, self.random.random_range(0..daemons))
    }

    fn random_engine(&mut self, deployment: &Deployment) -> (usize, usize) {
        let centre = self.random.random_range(0..deployment.data_centres.len());
        let engines = deployment.data_centres[centre].engines.len();
        (centre, self.random.random_range(0..engines))
    }

    /// Returns whether another daemon may be stopped; at most half of them are down at a time.
    fn may_stop_daemon(&self, deployment: &Deployment) -> bool {
        let reserved = self.reserved.iter();
        let down = reserved.filter(|target| matches!(target, Target::Daemon(..)));
        let all: usize = deployment
            .data_centres
            .iter()
            .map(|centre| centre.daemons.len())
            .sum();
        Instant::now() >= self.no_kill_before && down.count() < all / 2
    }

    fn kill_daemon(&mut self, deployment: &mut Deployment) -> bool {
        let target = self.random_daemon(deployment);
        let after_ms = self.random_duration_ms(SHORT_FAILURE_MS);
        if !self.may_stop_daemon(deployment) || !self.reserve(target, after_ms, Action::Start) {
            return false;
        }
        if let Some(daemon) = daemon(deployment, target) {
            daemon.kill();
        }
        true
    }

    fn pause_daemon(&mut self, deployment: &mut Deployment) -> Result<bool, Error> {
        let target = self.random_daemon(deployment);
        let after_ms = self.random_duration_ms(LONG_FAILURE_MS);
        if !self.may_stop_daemon(deployment) || !self.reserve(target, after_ms, Action::Resume) {
            return Ok(false);
        }
        if let Some(process) = daemon(deployment, target).and_then(|daemon| daemon.process.as_mut())
        {
            process.pause()?;
        }
        Ok(true)
    }

    fn drain_daemon(&mut self, deployment: &mut Deployment) -> Result<bool, Error> {
        let target = self.random_daemon(deployment);
        let until = Instant::now() + DRAIN_EXIT_TIMEOUT;
        let action = Action::FinishDrain { until };
        if !self.may_stop_daemon(deployment) || !self.reserve(target, 0, action) {
            return Ok(false);
        }
        if let Some(daemon) = daemon(deployment, target) {
            self.observations.start_drain(daemon.settings.callers);
            if let Some(process) = daemon.process.as_mut() {
                process.terminate()?;
            }
        }
        Ok(true)
    }

    fn random_cut(&mut self) -> Cut {
        let cuts = [Cut::Both, Cut::ToTarget, Cut::FromTarget];
        cuts[self.random.random_range(0..cuts.len())]
    }

    fn cut_links(&mut self, kind: Kind, deployment: &Deployment) -> bool {
        let centre = self.random.random_range(0..deployment.data_centres.len());
        let after_ms = self.random_duration_ms(LONG_FAILURE_MS);
        let cut = self.random_cut();
        if !self.reserve(Target::Platform(centre), after_ms, Action::Open) {
            return false;
        }
        deployment.data_centres[centre].cut_key_value(cut);
        if kind == Kind::CutDataCentre {
            deployment.cut_data_centre(centre, cut);
        }
        true
    }

    fn cut_endpoint(&mut self, deployment: &Deployment) -> bool {
        let (centre, engine) = self.random_engine(deployment);
        let after_ms = self.random_duration_ms(SHORT_FAILURE_MS);
        let cut = self.random_cut();
        if !self.reserve(Target::Engine(centre, engine), after_ms, Action::Open) {
            return false;
        }
        deployment.data_centres[centre].endpoint_relays[engine].set_cut(cut);
        true
    }

    fn inject_key_value_fault(
        &mut self,
        kind: Kind,
        deployment: &Deployment,
    ) -> Result<bool, Error> {
        let after_ms = self.random_duration_ms(LONG_FAILURE_MS);
        let fault = match (kind, self.random.random_range(0..3)) {
            (Kind::KeyValueLostAnswers, _) => Fault::LostAnswers { count: 10 },
            (_, 0) => Fault::Outage,
            (_, 1) => Fault::Silent { hold_ms: 3_000 },
            _ => Fault::Slow { delay_ms: 800 },
        };
        if !self.reserve(Target::KeyValue, after_ms, Action::Restore) {
            return Ok(false);
        }
        self.set_key_value_fault(deployment, &fault)?;
        Ok(true)
    }

    fn set_key_value_fault(&self, deployment: &Deployment, fault: &Fault) -> Result<(), Error> {
        let url = deployment.key_value.url("/debug/fault");
        self.caller.post(&url, fault)
    }

    fn roll_back(&mut self, deployment: &Deployment) -> Result<bool, Error> {
        let is_daemon_down = self
            .reserved
            .iter()
            .any(|reserved| matches!(reserved, Target::Daemon(..)));
        if is_daemon_down || self.reserved.contains(&Target::Configuration) {
            return Ok(false);
        }
        let after_ms = self.random_duration_ms(200..1_500);
        if !self.reserve(Target::KeyValue, after_ms, Action::RollBack) {
            return Ok(false);
        }
        // Until the daemons have restored what the rollback undoes, no operator changes the
        // document and no daemon is killed.
        self.reserve(
            Target::Configuration,
            after_ms + SETTLE_TIME.as_millis() as u64,
            Action::Release,
        );
        self.no_kill_before = Instant::now() + Duration::from_millis(after_ms) + SETTLE_TIME;
        let url = deployment.key_value.url("/debug/snapshot");
        self.caller.post(&url, &())?;
        Ok(true)
    }

    fn stop_engine(&mut self, kind: Kind, deployment: &mut Deployment) -> Result<bool, Error> {
        let (centre, number) = self.random_engine(deployment);
        let after_ms = self.random_duration_ms(SHORT_FAILURE_MS);
        let action = match kind {
            Kind::KillEngine => Action::Start,
            _ => Action::Resume,
        };
        if !self.reserve(Target::Engine(centre, number), after_ms, action) {
            return Ok(false);
        }
        let engine = &mut deployment.data_centres[centre].engines[number];
        if kind == Kind::KillEngine {
            engine.process.kill();
            increment(&self.observations.engine_exits);
        } else {
            engine.process.pause()?;
        }
        Ok(true)
    }

    fn inject_engine_fault(&mut self, kind: Kind, deployment: &Deployment) -> Result<bool, Error> {
        let (centre, number) = self.random_engine(deployment);
        if !self.reserve(
            Target::Engine(centre, number),
            FAULT_RESERVATION_MS,
            Action::Release,
        ) {
            return Ok(false);
        }
        let fault = match kind {
            Kind::CrashInChange => EngineFault {
                crash_in_change: true,
                order_delay_ms: self.random_duration_ms(0..1_500),
                ..EngineFault::default()
            },
            _ => EngineFault {
                crossed_answers: 3,
                lost_order_answers: 2,
                ..EngineFault::default()
            },
        };
        let engine = &deployment.data_centres[centre].engines[number];
        self.caller.post(&engine.url("/debug/fault"), &fault)?;
        Ok(true)
    }

    fn inject_plain_fault(&mut self, deployment: &Deployment) -> Result<bool, Error> {
        let centre = self.random.random_range(0..deployment.data_centres.len());
        let plain_endpoints = &deployment.data_centres[centre].plain_endpoints;
        let number = self.random.random_range(0..plain_endpoints.len());
        if !self.reserve(
            Target::Plain(centre, number),
            FAULT_RESERVATION_MS,
            Action::Release,
        ) {
            return Ok(false);
        }
        let fault = if self.random.random_bool(0.5) {
            PlainFault::Before { count: 2 }
        } else {
            PlainFault::After { count: 2 }
        };
        self.caller
            .post(&plain_endpoints[number].url("/debug/fault"), &fault)?;
        Ok(true)
    }
}

fn daemon(deployment: &mut Deployment, target: Target) -> Option<&mut DaemonProcess> {
    let Target::Daemon(centre, number) = target else {
        return None;
    };
    deployment
        .data_centres
        .get_mut(centre)?
        .daemons
        .get_mut(number)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
