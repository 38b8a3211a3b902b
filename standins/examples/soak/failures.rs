mod healing;
mod planned;

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

use crate::heal::{Cure, Heal};
use crate::ledger::{Ledger, count};
use crate::options::Options;
use crate::target::{Kind, Target};

/// Time between two failures, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..2_000;
/// Duration of a failure, in milliseconds; pauses may outlive the control lease of 10 s.
const SHORT_MS: std::ops::Range<u64> = 500..5_000;
const LONG_MS: std::ops::Range<u64> = 1_000..14_000;
/// A drained daemon that has not ended by then is killed: its drain timeout and some more.
const DRAIN_MAX: Duration = Duration::from_secs(20);
/// Daemons repeat what a rollback undid from their memory within this time, and learn of a new
/// configuration. Losing the memory and the data together is outside the guarantee (design
/// section 5.8), so no daemon is killed meanwhile.
const SETTLE: Duration = Duration::from_secs(6);
const HOLD_MS: u64 = 3_000;
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY: Duration = Duration::from_millis(100);

/// Causes failures by a seed and heals them.
pub(crate) struct Failures<'a> {
    random: ChaCha8Rng,
    ledger: &'a Ledger,
    kinds: Vec<Kind>,
    heals: Vec<Heal>,
    held: HashSet<Target>,
    next: Instant,
    no_kill_before: Instant,
    caller: Caller,
    highest_revision: u64,
    caused: BTreeMap<&'static str, u32>,
    engine_crashes: u32,
    incomplete_drains: u32,
    unasked_ends: u32,
    log: File,
}

impl<'a> Failures<'a> {
    /// Opens the failures; what happens is noted in `failures.log` in `directory`.
    pub(crate) fn open(
        options: &Options,
        ledger: &'a Ledger,
        directory: &Path,
    ) -> io::Result<Self> {
        Ok(Self {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            ledger,
            kinds: options.kinds.clone(),
            heals: Vec::new(),
            held: HashSet::new(),
            next: Instant::now() + Duration::from_secs(1),
            no_kill_before: Instant::now(),
            caller: Caller::with_timeout(CONTROL_TIMEOUT),
            highest_revision: 1,
            caused: BTreeMap::new(),
            engine_crashes: 0,
            incomplete_drains: 0,
            unasked_ends: 0,
            log: File::create(directory.join("failures.log"))?,
        })
    }

    /// Ends the failures whose time is over, and causes the next one when it is due.
    pub(crate) fn tick(&mut self, deployment: &mut Deployment) {
        self.heal_due(deployment);
        if Instant::now() < self.next {
            return;
        }
        let pause = self.random.random_range(PAUSE_MS);
        self.next = Instant::now() + Duration::from_millis(pause);
        let Some(kind) = self.kinds.choose(&mut self.random).copied() else {
            return;
        };
        self.note(kind.name());
        match self.cause(kind, deployment) {
            Ok(true) => *self.caused.entry(kind.name()).or_default() += 1,
            Ok(false) => {}
            Err(error) => eprintln!("{} was not caused: {error}", kind.name()),
        }
    }

    /// Returns what was caused.
    pub(crate) fn summary(&self) -> String {
        format!(
            "caused {:?}, engine crashes {}, incomplete drains {}, daemons that ended by \
             themselves {}",
            self.caused, self.engine_crashes, self.incomplete_drains, self.unasked_ends
        )
    }

    /// Causes one failure; `false` when its target is not free.
    fn cause(&mut self, kind: Kind, deployment: &mut Deployment) -> Result<bool, Error> {
        match kind {
            Kind::KillDaemon => Ok(self.kill_daemon(deployment)),
            Kind::PauseDaemon => self.pause_daemon(deployment),
            Kind::DrainDaemon => self.drain_daemon(deployment),
            Kind::CutPlatform | Kind::CutDataCentre => Ok(self.cut_off(kind, deployment)),
            Kind::CutEndpoint => Ok(self.cut_endpoint(deployment)),
            Kind::KeyValueOutage | Kind::KeyValueLostAnswers => {
                self.break_key_value(kind, deployment)
            }
            Kind::KeyValueRollback => self.roll_back(deployment),
            Kind::KillEngine | Kind::PauseEngine => self.stop_engine(kind, deployment),
            Kind::CrashInChange | Kind::CrossedAnswers => self.break_engine(kind, deployment),
            Kind::PlainFailures => self.break_plain(deployment),
            Kind::Operators => self.race_operators(deployment),
            Kind::LeavingEngine | Kind::LeavingVm => self.leave(kind, deployment),
        }
    }

    /// Appends a line to the log of failures, which explains a violation afterwards.
    fn note(&mut self, text: &str) {
        if let Err(error) = writeln!(self.log, "{} {text}", unix_ms()) {
            eprintln!("the log of failures cannot be written: {error}");
        }
    }

    /// Takes hold of a target until a cure; `false` when another failure has it.
    fn hold(&mut self, target: Target, after_ms: u64, cure: Cure) -> bool {
        if !self.held.insert(target) {
            return false;
        }
        let at = Instant::now() + Duration::from_millis(after_ms);
        self.note(&format!("{target:?} for {after_ms} ms, {cure:?}"));
        self.heals.push(Heal { at, target, cure });
        true
    }

    fn duration(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random.random_range(range)
    }

    fn some_daemon(&mut self, deployment: &Deployment) -> Target {
        let centre = self.random.random_range(0..deployment.data_centres.len());
        let daemons = deployment.data_centres[centre].daemons.len();
        Target::Daemon(centre, self.random.random_range(0..daemons))
    }

    fn some_engine(&mut self, deployment: &Deployment) -> (usize, usize) {
        let centre = self.random.random_range(0..deployment.data_centres.len());
        let engines = deployment.data_centres[centre].engines.len();
        (centre, self.random.random_range(0..engines))
    }

    /// Tells whether one more daemon may go down: at most half of them at a time.
    fn may_stop_daemon(&self, deployment: &Deployment) -> bool {
        let held = self.held.iter();
        let down = held.filter(|target| matches!(target, Target::Daemon(..)));
        let all: usize = deployment
            .data_centres
            .iter()
            .map(|centre| centre.daemons.len())
            .sum();
        Instant::now() >= self.no_kill_before && down.count() < all / 2
    }

    fn kill_daemon(&mut self, deployment: &mut Deployment) -> bool {
        let target = self.some_daemon(deployment);
        let after = self.duration(SHORT_MS);
        if !self.may_stop_daemon(deployment) || !self.hold(target, after, Cure::Start) {
            return false;
        }
        if let Some(daemon) = daemon(deployment, target) {
            daemon.kill();
        }
        true
    }

    fn pause_daemon(&mut self, deployment: &mut Deployment) -> Result<bool, Error> {
        let target = self.some_daemon(deployment);
        let after = self.duration(LONG_MS);
        if !self.may_stop_daemon(deployment) || !self.hold(target, after, Cure::Resume) {
            return Ok(false);
        }
        if let Some(process) = daemon(deployment, target).and_then(|daemon| daemon.process.as_mut())
        {
            process.pause()?;
        }
        Ok(true)
    }

    fn drain_daemon(&mut self, deployment: &mut Deployment) -> Result<bool, Error> {
        let target = self.some_daemon(deployment);
        let until = Instant::now() + DRAIN_MAX;
        let cure = Cure::FinishDrain { until };
        if !self.may_stop_daemon(deployment) || !self.hold(target, 0, cure) {
            return Ok(false);
        }
        if let Some(daemon) = daemon(deployment, target) {
            self.ledger.start_drain(daemon.settings.callers);
            if let Some(process) = daemon.process.as_mut() {
                process.terminate()?;
            }
        }
        Ok(true)
    }

    fn some_cut(&mut self) -> Cut {
        let cuts = [Cut::Both, Cut::ToTarget, Cut::FromTarget];
        cuts[self.random.random_range(0..cuts.len())]
    }

    fn cut_off(&mut self, kind: Kind, deployment: &Deployment) -> bool {
        let centre = self.random.random_range(0..deployment.data_centres.len());
        let after = self.duration(LONG_MS);
        let cut = self.some_cut();
        if !self.hold(Target::Platform(centre), after, Cure::Open) {
            return false;
        }
        deployment.data_centres[centre].cut_platform(cut);
        if kind == Kind::CutDataCentre {
            deployment.cut_data_centre(centre, cut);
        }
        true
    }

    fn cut_endpoint(&mut self, deployment: &Deployment) -> bool {
        let (centre, engine) = self.some_engine(deployment);
        let after = self.duration(SHORT_MS);
        let cut = self.some_cut();
        if !self.hold(Target::Engine(centre, engine), after, Cure::Open) {
            return false;
        }
        deployment.data_centres[centre].endpoint_relays[engine].set_cut(cut);
        true
    }

    fn break_key_value(&mut self, kind: Kind, deployment: &Deployment) -> Result<bool, Error> {
        let after = self.duration(LONG_MS);
        let fault = match (kind, self.random.random_range(0..3)) {
            (Kind::KeyValueLostAnswers, _) => Fault::LostAnswers { count: 10 },
            (_, 0) => Fault::Outage,
            (_, 1) => Fault::Silent { hold_ms: 3_000 },
            _ => Fault::Slow { delay_ms: 800 },
        };
        if !self.hold(Target::KeyValue, after, Cure::Restore) {
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
        let daemon_is_down = self
            .held
            .iter()
            .any(|held| matches!(held, Target::Daemon(..)));
        if daemon_is_down || self.held.contains(&Target::Configuration) {
            return Ok(false);
        }
        let after = self.duration(200..1_500);
        if !self.hold(Target::KeyValue, after, Cure::RollBack) {
            return Ok(false);
        }
        // No operator changes the document and no daemon is killed until the daemons have
        // written back what the rollback undoes.
        self.hold(
            Target::Configuration,
            after + SETTLE.as_millis() as u64,
            Cure::Release,
        );
        self.no_kill_before = Instant::now() + Duration::from_millis(after) + SETTLE;
        let url = deployment.key_value.url("/debug/snapshot");
        self.caller.post(&url, &())?;
        Ok(true)
    }

    fn stop_engine(&mut self, kind: Kind, deployment: &mut Deployment) -> Result<bool, Error> {
        let (centre, number) = self.some_engine(deployment);
        let after = self.duration(SHORT_MS);
        let cure = match kind {
            Kind::KillEngine => Cure::Start,
            _ => Cure::Resume,
        };
        if !self.hold(Target::Engine(centre, number), after, cure) {
            return Ok(false);
        }
        let engine = &mut deployment.data_centres[centre].engines[number];
        if kind == Kind::KillEngine {
            engine.process.kill();
            count(&self.ledger.engine_deaths);
        } else {
            engine.process.pause()?;
        }
        Ok(true)
    }

    fn break_engine(&mut self, kind: Kind, deployment: &Deployment) -> Result<bool, Error> {
        let (centre, number) = self.some_engine(deployment);
        if !self.hold(Target::Engine(centre, number), HOLD_MS, Cure::Release) {
            return Ok(false);
        }
        let fault = match kind {
            Kind::CrashInChange => EngineFault {
                crash_in_change: true,
                order_delay_ms: self.duration(0..1_500),
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

    fn break_plain(&mut self, deployment: &Deployment) -> Result<bool, Error> {
        let centre = self.random.random_range(0..deployment.data_centres.len());
        let plains = &deployment.data_centres[centre].plains;
        let number = self.random.random_range(0..plains.len());
        if !self.hold(Target::Plain(centre, number), HOLD_MS, Cure::Release) {
            return Ok(false);
        }
        let fault = if self.random.random_bool(0.5) {
            PlainFault::Before { count: 2 }
        } else {
            PlainFault::After { count: 2 }
        };
        self.caller
            .post(&plains[number].url("/debug/fault"), &fault)?;
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
