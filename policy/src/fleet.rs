use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Configuration;
use ragwortgrade_schema::engine::Load;

/// State of the engines of one data centre and the demand for them.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// Known engines with their latest reports.
    pub engines: Vec<Member>,
    /// Recent demand for each model that this data centre plans for. A daemon passes the demand at
    /// the daemons of its data centre. The `shifts` example passes a fraction of the demand at all
    /// data centres, since a request may run in another data centre than it arrives in.
    pub demand: Vec<Demand>,
    /// Configuration in force.
    pub configuration: &'a Configuration,
}

/// One engine of the data centre.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest load report.
    pub load: Load,
    /// Whether the engine accepts no new work or cannot be reached.
    pub is_unavailable: bool,
    /// Whether an order to the engine is in progress or its outcome is unknown.
    pub has_pending_order: bool,
}

/// Recent demand for one model.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Name of the model.
    pub model: Name,
    /// Prompt tokens that arrived and were not cached, per second.
    pub prefill_tokens_per_second: f64,
    /// Sum of the squares of those prompts' lengths, per second. Divided by the sum of the lengths,
    /// it is the mean length of prompts weighted by their length. The planner takes it as the
    /// prefill that one refusal saves, since long prompts are refused first.
    pub squared_prefill_tokens_per_second: f64,
    /// Expected output tokens of the requests that arrived, per second.
    pub output_tokens_per_second: f64,
    /// Requests that arrived, per second.
    pub requests_per_second: f64,
    /// Requests that missed their deadline or were refused for lack of capacity, per second.
    pub missed_per_second: f64,
}

impl Demand {
    /// Returns this demand with all rates multiplied by `factor`.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        Self {
            model: self.model.clone(),
            prefill_tokens_per_second: self.prefill_tokens_per_second * factor,
            squared_prefill_tokens_per_second: self.squared_prefill_tokens_per_second * factor,
            output_tokens_per_second: self.output_tokens_per_second * factor,
            requests_per_second: self.requests_per_second * factor,
            missed_per_second: self.missed_per_second * factor,
        }
    }

    /// Adds other demand, such as that measured by another daemon for the same model.
    pub fn add(&mut self, other: &Self) {
        self.prefill_tokens_per_second += other.prefill_tokens_per_second;
        self.squared_prefill_tokens_per_second += other.squared_prefill_tokens_per_second;
        self.output_tokens_per_second += other.output_tokens_per_second;
        self.requests_per_second += other.requests_per_second;
        self.missed_per_second += other.missed_per_second;
    }
}
