use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::ServiceKind;

/// A service that callers name: a use of a model, or a plain service.
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
    /// Declares a service that runs on a model; its calls may be repeated.
    #[must_use]
    pub fn model(name: &str, model: &str) -> Self {
        Self {
            model: Some(model.into()),
            idempotent: true,
            ..Self::of_kind(name, ServiceKind::Model)
        }
    }

    /// Declares a plain service; its calls are not repeated unless it is declared idempotent.
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

    /// Runs the model with an adapter.
    #[must_use]
    pub fn adapter(mut self, adapter: &str) -> Self {
        self.adapter = Some(adapter.into());
        self
    }

    /// Sets the part of the fleet that the service may hold when others want it, in percent.
    #[must_use]
    pub fn share(mut self, percent: f64) -> Self {
        self.share = percent;
        self
    }

    /// Sets the priority; higher goes first.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the time to the first token of a model, or to the whole answer of a plain service.
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
