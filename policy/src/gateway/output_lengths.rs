use std::collections::HashMap;

use ragwortgrade_schema::Name;

use super::Prompt;

/// Step of the estimates for one output, as a logarithm: 20 outputs move an estimate by a factor of
/// 2.7.
const STEP: f64 = 0.05;
/// Number of outputs from which a route's estimate is used.
const OUTPUTS_MIN: u32 = 20;
/// Factor between hints and outputs up to which hints count as right: they are accurate at the median.
const HINT_ERROR_MIN: f64 = 1.5;
/// Maximum number of routes, which bounds the state: routes that a configuration removes stay.
const ROUTES_MAX: usize = 1_024;

/// Lengths of outputs by route, learned from the outputs that ended.
///
/// Estimates are medians, tracked by stochastic approximation. Addresses routes whose callers give no
/// hint or misleading ones.
#[derive(Debug, Default)]
pub(crate) struct OutputLengths {
    routes: HashMap<Name, OutputLength>,
}

#[derive(Clone, Copy, Debug, Default)]
struct OutputLength {
    without_hint: Median,
    /// Ratio of outputs to their hints.
    hint_ratio: Median,
}

/// Running median of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct Median {
    log: f64,
    count: u32,
}

impl Median {
    fn observe(&mut self, value: f64) {
        let log = value.ln();
        if self.count == 0 {
            self.log = log;
        }
        self.count = self.count.saturating_add(1);
        self.log += (log - self.log).clamp(-STEP, STEP);
    }

    fn value(&self) -> Option<f64> {
        (self.count >= OUTPUTS_MIN).then(|| self.log.exp())
    }
}

impl OutputLengths {
    /// Records the length of a complete output, in tokens.
    pub(crate) fn observe(&mut self, route: &Name, hint: Option<u32>, tokens: u32) {
        if !self.routes.contains_key(route) && self.routes.len() >= ROUTES_MAX {
            return;
        }
        let length = self.routes.entry(route.clone()).or_default();
        let tokens = f64::from(tokens.max(1));
        match hint {
            Some(hint) => length.hint_ratio.observe(tokens / f64::from(hint.max(1))),
            None => length.without_hint.observe(tokens),
        }
    }

    /// Returns the expected length of an output, in tokens; 0 if nothing is known of it.
    pub(crate) fn expected(&self, route: &Name, prompt: &Prompt) -> f64 {
        let length = self.routes.get(route).copied().unwrap_or_default();
        let tokens = match prompt.output_tokens_hint {
            Some(hint) => {
                let ratio = length.hint_ratio.value();
                let is_wrong = |ratio: &f64| ratio.ln().abs() > HINT_ERROR_MIN.ln();
                f64::from(hint) * ratio.filter(is_wrong).unwrap_or(1.0)
            }
            None => length.without_hint.value().unwrap_or_default(),
        };
        // A maximum of 0 means that it is not known.
        match prompt.output_tokens_max {
            0 => tokens,
            tokens_max => tokens.min(f64::from(tokens_max)),
        }
    }
}
