use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use super::simulation::{DAEMONS, ENGINES, Simulation, Violation, Without};

/// One thing that happens to the deployment.
#[derive(Clone, Debug)]
pub enum Happening {
    Advance(u64),
    Pause(usize),
    /// A pause between the check and the sending of the next order to an engine.
    PauseInSend {
        daemon: usize,
        engine: usize,
    },
    Resume(usize),
    Crash(usize),
    Restart(usize),
    DeclareGone(usize),
    Outage(bool),
    LoseAnswers(u32),
    Delay(u64),
    CrashEngine(usize),
    RollBack,
}

/// Generates happenings; any order of them is valid.
#[derive(Debug)]
pub struct Happenings;

impl ReferenceStateMachine for Happenings {
    type State = ();
    type Transition = Happening;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Happening> {
        prop_oneof![
            32 => (250_u64..20_000).prop_map(Happening::Advance),
            6 => (0..DAEMONS).prop_map(Happening::Pause),
            6 => (0..DAEMONS, 0..ENGINES)
                .prop_map(|(daemon, engine)| Happening::PauseInSend { daemon, engine }),
            12 => (0..DAEMONS).prop_map(Happening::Resume),
            6 => (0..DAEMONS).prop_map(Happening::Crash),
            8 => (0..DAEMONS).prop_map(Happening::Restart),
            4 => (0..DAEMONS).prop_map(Happening::DeclareGone),
            2 => Just(Happening::Outage(true)),
            4 => Just(Happening::Outage(false)),
            4 => (1_u32..4).prop_map(Happening::LoseAnswers),
            8 => (0_u64..5_000).prop_map(Happening::Delay),
            4 => (0..ENGINES).prop_map(Happening::CrashEngine),
            // Rare, since engines that ignore tokens are not judged afterwards.
            1 => Just(Happening::RollBack),
        ]
        .boxed()
    }

    fn apply((): (), _happening: &Happening) {}
}

pub fn apply(simulation: &mut Simulation, happening: &Happening) {
    match *happening {
        Happening::Advance(ms) => simulation.advance(ms),
        Happening::Pause(daemon) => simulation.daemons[daemon].is_paused = true,
        Happening::PauseInSend { daemon, engine } => {
            simulation.daemons[daemon].pause_in_send = Some(engine);
        }
        Happening::Resume(daemon) => simulation.resume(daemon),
        Happening::Crash(daemon) => simulation.crash(daemon),
        Happening::Restart(daemon) => simulation.restart(daemon),
        Happening::DeclareGone(daemon) => simulation.declare_gone(daemon),
        Happening::Outage(is_down) => simulation.is_platform_down = is_down,
        Happening::LoseAnswers(count) => simulation.lose_answers = count,
        Happening::Delay(ms) => simulation.delay_ms = ms,
        Happening::CrashEngine(engine) => simulation.crash_engine(engine),
        Happening::RollBack => simulation.roll_back(),
    }
}

/// Runs happenings against the state machines; the oracle is the engines' order logs.
#[derive(Debug)]
pub struct Deployment;

impl StateMachineTest for Deployment {
    type SystemUnderTest = Simulation;
    type Reference = Happenings;

    fn init_test((): &()) -> Simulation {
        Simulation::new(Without::Nothing)
    }

    fn apply(mut state: Simulation, (): &(), transition: Happening) -> Simulation {
        apply(&mut state, &transition);
        state
    }

    fn check_invariants(state: &Simulation, (): &()) {
        assert_eq!(state.violation, None);
        assert!(state.has_rolled_back || state.holders() <= 1);
    }
}

/// Runs a fixed sequence; returns the violation, if any, and how many orders were accepted.
pub fn replay(without: Without, happenings: &[Happening]) -> (Option<Violation>, u32) {
    let mut simulation = Simulation::new(without);
    for happening in happenings {
        apply(&mut simulation, happening);
    }
    (simulation.violation, simulation.accepted)
}
