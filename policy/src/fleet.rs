use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Configuration;
use ragwortgrade_schema::engine::Load;

/// What the planner knows of the engines of one data centre when it decides.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// The engines that are known, with their latest reports.
    pub engines: Vec<Member>,
    /// Recent demand of each model in this data centre.
    pub demand: Vec<Demand>,
    /// The configuration in force.
    pub configuration: &'a Configuration,
}

/// One engine of the data centre.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its latest report.
    pub load: Load,
    /// It takes no new work, or cannot be reached.
    pub unavailable: bool,
    /// An order to it is under way or its outcome is unknown.
    pub ordered: bool,
}

/// Recent demand of one model.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The model.
    pub model: Name,
    /// Prompt tokens a second that arrived and were not found in a cache.
    pub prefill_tokens_per_second: f64,
    /// Expected output tokens a second of the requests that arrived.
    pub output_tokens_per_second: f64,
    /// Requests a second that arrived.
    pub requests_per_second: f64,
    /// Requests a second that missed their time or were refused for lack of capacity.
    pub missed_per_second: f64,
}

impl Demand {
    /// Adds what another daemon saw of the same model.
    pub fn add(&mut self, other: &Self) {
        self.prefill_tokens_per_second += other.prefill_tokens_per_second;
        self.output_tokens_per_second += other.output_tokens_per_second;
        self.requests_per_second += other.requests_per_second;
        self.missed_per_second += other.missed_per_second;
    }
}
