use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::{Fencing, Role};

/// Declaration of an endpoint: an engine or a process of a plain service.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub(crate) name: Name,
    pub(crate) line: usize,
    pub(crate) fencing: Fencing,
    pub(crate) drain: bool,
    pub(crate) role: Option<Role>,
}

impl Endpoint {
    /// Declares an endpoint that rejects orders with an outdated fencing token.
    #[must_use]
    pub fn with_checked_fencing(name: &str) -> Self {
        Self::with_fencing(name, Fencing::Checked)
    }

    /// Declares an endpoint that ignores fencing tokens.
    #[must_use]
    pub fn with_ignored_fencing(name: &str) -> Self {
        Self::with_fencing(name, Fencing::Ignored)
    }

    pub(crate) fn with_fencing(name: &str, fencing: Fencing) -> Self {
        Self {
            name: name.into(),
            line: 0,
            fencing,
            drain: false,
            role: None,
        }
    }

    /// Takes the endpoint out of service; it receives no new requests.
    #[must_use]
    pub fn drain(mut self) -> Self {
        self.drain = true;
        self
    }

    /// Fixes the role of an engine; without this call the planner selects it.
    #[must_use]
    pub fn role(mut self, role: Role) -> Self {
        self.role = Some(role);
        self
    }
}
