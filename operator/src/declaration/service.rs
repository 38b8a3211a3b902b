use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::ServiceKind;

/// Declaration of a service that callers request by name: a model service or a plain service.
#[derive(Clone, Debug)]
pub struct Service {
    pub(crate) name: Name,
    pub(crate) line: usize,
    pub(crate) kind: ServiceKind,
    pub(crate) model: Option<Name>,
    pub(crate) adapter: Option<Name>,
    pub(crate) share: f64,
    pub(crate) priority: u8,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) idempotent: bool,
}

impl Service {
    /// Declares a model service; it is idempotent, so its calls may be repeated.
    #[must_use]
    pub fn model(name: &str, model: &str) -> Self {
        Self {
            model: Some(model.into()),
            idempotent: true,
            ..Self::of_kind(name, ServiceKind::Model)
        }
    }

    /// Declares a plain service; its calls are not repeated unless [`Self::idempotent`] is called.
    #[must_use]
    pub fn plain(name: &str) -> Self {
        Self::of_kind(name, ServiceKind::Plain)
    }

    pub(crate) fn of_kind(name: &str, kind: ServiceKind) -> Self {
        Self {
            name: name.into(),
            line: 0,
            kind,
            model: None,
            adapter: None,
            share: 0.0,
            priority: 0,
            deadline_ms: None,
            idempotent: false,
        }
    }

    /// Sets the adapter with which the model runs.
    #[must_use]
    pub fn adapter(mut self, adapter: &str) -> Self {
        self.adapter = Some(adapter.into());
        self
    }

    /// Sets the share of the fleet, in percent, to which the service is limited under contention.
    #[must_use]
    pub fn share(mut self, percent: f64) -> Self {
        self.share = percent;
        self
    }

    /// Sets the priority; requests with a higher value are served first.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the deadline in milliseconds: to the first token of a model service, or to the complete
    /// response of a plain service.
    #[must_use]
    pub fn deadline_ms(mut self, millis: u64) -> Self {
        self.deadline_ms = Some(millis);
        self
    }

    /// Declares that calls may be repeated.
    #[must_use]
    pub fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    /// Declares that calls must not be repeated.
    #[must_use]
    pub fn not_idempotent(mut self) -> Self {
        self.idempotent = false;
        self
    }
}
