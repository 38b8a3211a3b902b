use std::collections::{HashMap, VecDeque};

use ragwortgrade_schema::Name;

/// Estimates the length of answers from recent answers of the same service.
#[derive(Debug, Default)]
pub(crate) struct OutputEstimate {
    services: HashMap<Name, VecDeque<u32>>,
}

impl OutputEstimate {
    /// Number of recent answers per service.
    const OBSERVATIONS: usize = 20;
    /// Estimate without any observed answer: the average of the target workload.
    const DEFAULT_TOKENS: f64 = 270.0;

    pub(crate) fn observe(&mut self, service: &Name, tokens: u32) {
        let recent = self.services.entry(service.clone()).or_default();
        if recent.len() >= Self::OBSERVATIONS {
            recent.pop_front();
        }
        recent.push_back(tokens);
    }

    /// Returns the mean length of the recent answers, in tokens.
    pub(crate) fn expected(&self, service: &Name) -> f64 {
        match self.services.get(service) {
            Some(recent) if !recent.is_empty() => {
                let total: f64 = recent.iter().map(|tokens| f64::from(*tokens)).sum();
                total / recent.len() as f64
            }
            _ => Self::DEFAULT_TOKENS,
        }
    }
}
