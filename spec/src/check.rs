use std::fmt;
use std::hash::Hash;

use pathfinding::prelude::bfs;

/// A protocol whose reachable states can be listed.
pub trait Model {
    /// One state of everything that the protocol involves.
    type State: Clone + Eq + Hash;
    /// A step from one state to another.
    type Event: fmt::Debug;
    /// What must never be reached.
    type Violation: fmt::Debug;

    /// Returns the state from which the search starts.
    fn start(&self) -> Self::State;

    /// Returns every step that is possible in `state`.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Event, Self::State)>;

    /// Returns the violation that `state` contains.
    fn violation(&self, state: &Self::State) -> Option<Self::Violation>;
}

/// What a search found.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// States visited.
    pub states: usize,
    /// A shortest sequence of events to a violation, which comes last.
    pub counterexample: Option<Vec<String>>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(events) = &self.counterexample else {
            return write!(f, "{} states, no violation", self.states);
        };
        writeln!(f, "{} states until a violation:", self.states)?;
        for (number, event) in events.iter().enumerate() {
            writeln!(f, "  {:2}. {event}", number + 1)?;
        }
        Ok(())
    }
}

/// Visits every reachable state of `model` in breadth-first order, up to the first violation.
pub fn check<M: Model>(model: &M) -> Outcome {
    let mut states = 0;
    let successors = |state: &M::State| {
        states += 1;
        let steps = model.steps(state);
        steps.into_iter().map(|(_, next)| next)
    };
    let path = bfs(&model.start(), successors, |state| {
        model.violation(state).is_some()
    });
    Outcome {
        states,
        counterexample: path.map(|path| describe(model, &path)),
    }
}

fn describe<M: Model>(model: &M, path: &[M::State]) -> Vec<String> {
    let mut events = Vec::new();
    for (state, next) in path.iter().zip(path.iter().skip(1)) {
        let taken = model.steps(state).into_iter().find(|(_, to)| to == next);
        events.extend(taken.map(|(event, _)| format!("{event:?}")));
    }
    let violation = path.last().and_then(|state| model.violation(state));
    events.extend(violation.map(|violation| format!("violation: {violation:?}")));
    events
}
