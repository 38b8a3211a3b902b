use ragwortgrade_schema::configuration::Configuration;

use crate::check;
use crate::{Adapter, Endpoint, Model, Policy, Problem, Problems, Service, Workspace};

/// The declarations of operators before validation.
#[derive(Clone, Debug, Default)]
pub struct Declarations {
    pub(crate) revision: u64,
    pub(crate) apply_id: String,
    pub(crate) author: String,
    pub(crate) models: Vec<Model>,
    pub(crate) adapters: Vec<Adapter>,
    pub(crate) services: Vec<Service>,
    pub(crate) workspaces: Vec<Workspace>,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) policy: Policy,
}

impl Declarations {
    /// Creates an empty set of declarations by `author`.
    #[must_use]
    pub fn new(author: &str) -> Self {
        Self {
            author: author.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a model; names must be unique among models.
    #[must_use]
    pub fn model(mut self, model: Model) -> Self {
        self.models.push(model);
        self
    }

    /// Adds an adapter; names must be unique among adapters.
    #[must_use]
    pub fn adapter(mut self, adapter: Adapter) -> Self {
        self.adapters.push(adapter);
        self
    }

    /// Adds a service; names must be unique among services.
    #[must_use]
    pub fn service(mut self, service: Service) -> Self {
        self.services.push(service);
        self
    }

    /// Adds a workspace; names must be unique among workspaces.
    #[must_use]
    pub fn workspace(mut self, workspace: Workspace) -> Self {
        self.workspaces.push(workspace);
        self
    }

    /// Adds an endpoint; names must be unique among endpoints.
    #[must_use]
    pub fn endpoint(mut self, endpoint: Endpoint) -> Self {
        self.endpoints.push(endpoint);
        self
    }

    /// Replaces the policy; without this call the defaults of [`Policy`] apply.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Validates the declarations, including references between them, and builds the document.
    ///
    /// # Errors
    ///
    /// Returns all problems found, not only the first.
    pub fn check(&self) -> Result<Configuration, Problems> {
        self.check_with(Vec::new())
    }

    /// Validates the declarations; reports the problems together with `problems`, which the parser
    /// found.
    pub(crate) fn check_with(&self, mut problems: Vec<Problem>) -> Result<Configuration, Problems> {
        check::check_declarations(self, &mut problems);
        let configuration = check::build(self);
        check::check_size(&configuration, &mut problems);
        if problems.is_empty() {
            Ok(configuration)
        } else {
            Err(Problems::new(problems))
        }
    }
}
