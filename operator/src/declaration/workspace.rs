use ragwortgrade_schema::Name;

const REQUESTS_PER_SECOND_DEFAULT: f64 = 10.0;
const TOKENS_PER_SECOND_DEFAULT: f64 = 10_000.0;

/// Declaration of a workspace: the services that it may call and its rate limits.
#[derive(Clone, Debug)]
pub struct Workspace {
    pub(crate) name: Name,
    pub(crate) line: usize,
    pub(crate) services: Vec<Name>,
    pub(crate) requests_per_second: f64,
    pub(crate) tokens_per_second: f64,
}

impl Workspace {
    /// Declares a workspace; it may call every service unless services are added.
    #[must_use]
    pub fn named(name: &str) -> Self {
        Self {
            name: name.into(),
            line: 0,
            services: Vec::new(),
            requests_per_second: REQUESTS_PER_SECOND_DEFAULT,
            tokens_per_second: TOKENS_PER_SECOND_DEFAULT,
        }
    }

    /// Adds a service that the workspace may call.
    #[must_use]
    pub fn service(mut self, service: &str) -> Self {
        self.services.push(service.into());
        self
    }

    /// Limits the requests per second.
    #[must_use]
    pub fn requests_per_second(mut self, limit: f64) -> Self {
        self.requests_per_second = limit;
        self
    }

    /// Limits the tokens per second.
    #[must_use]
    pub fn tokens_per_second(mut self, limit: f64) -> Self {
        self.tokens_per_second = limit;
        self
    }
}
