use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Configuration;
use ragwortgrade_schema::engine::Load;

/// What the planner knows of the engines of one data centre when it decides.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// The engines that are known, with their latest reports.
    pub engines: Vec<Member>,
    /// Recent demand of each model that falls to this data centre: its part, by engines, of the
    /// demand of all data centres that it can reach, since requests cross between them.
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
    /// Sum a second of the squares of those prompts' lengths; over the sum of the lengths it gives
    /// the prompt that an average token belongs to, which is what a refusal saves.
    pub squared_prefill_tokens_per_second: f64,
    /// Expected output tokens a second of the requests that arrived.
    pub output_tokens_per_second: f64,
    /// Requests a second that arrived.
    pub requests_per_second: f64,
    /// Requests a second that missed their time or were refused for lack of capacity.
    pub missed_per_second: f64,
}

impl Demand {
    /// The same mix at `part` of the demand.
    #[must_use]
    pub fn scaled(&self, part: f64) -> Self {
        Self {
            model: self.model.clone(),
            prefill_tokens_per_second: self.prefill_tokens_per_second * part,
            squared_prefill_tokens_per_second: self.squared_prefill_tokens_per_second * part,
            output_tokens_per_second: self.output_tokens_per_second * part,
            requests_per_second: self.requests_per_second * part,
            missed_per_second: self.missed_per_second * part,
        }
    }

    /// Adds what another daemon saw of the same model.
    pub fn add(&mut self, other: &Self) {
        self.prefill_tokens_per_second += other.prefill_tokens_per_second;
        self.squared_prefill_tokens_per_second += other.squared_prefill_tokens_per_second;
        self.output_tokens_per_second += other.output_tokens_per_second;
        self.requests_per_second += other.requests_per_second;
        self.missed_per_second += other.missed_per_second;
    }
}
