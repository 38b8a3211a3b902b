use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::{Configuration, Service, ServiceKind, Workspace};
use ragwortgrade_schema::engine;

use super::{Code, Context, Incoming, Refusal};

/// Deadline of a model without a declared service.
const DEADLINE_DEFAULT_MS: u64 = 30_000;

/// What the configuration in force says about a request that it allows.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub(crate) workspace: Name,
    pub(crate) service: Name,
    /// Priority of the declared service; `None` when the caller chose none.
    declared_priority: Option<u8>,
    pub(crate) deadline_ms: u64,
    pub(crate) idempotent: bool,
}

impl Admitted {
    /// Returns the priority of a request: a caller may lower what the operators declared for its
    /// service, but not raise it over others.
    pub(crate) fn priority(&self, wanted: Option<u8>) -> u8 {
        match (self.declared_priority, wanted) {
            (Some(declared), Some(wanted)) => declared.min(wanted),
            (declared, wanted) => declared.or(wanted).unwrap_or_default(),
        }
    }
}

/// Checks a model request against the configuration in force.
pub(crate) fn model(
    context: &Context,
    incoming: &Incoming,
    body: &engine::Completion,
    prompt_tokens: u32,
) -> Result<Admitted, Refusal> {
    let configuration = configuration(context)?;
    let (workspace, rights) = workspace(&configuration, incoming)?;
    if !configuration.models.contains_key(body.model.as_str()) {
        return Err(Refusal::not_run(
            Code::UnknownModel,
            "model is not declared",
        ));
    }
    let name = incoming.header("X-Service").unwrap_or(&body.model);
    let declared = configuration.services.get(name);
    let fits = declared.is_some_and(|service| {
        service.kind == ServiceKind::Model && service.model.as_ref() == Some(&body.model)
    });
    let by_model = declared.is_none() && name == body.model.as_str();
    if !(fits || by_model) || !allowed(rights, name) {
        return Err(unknown_service());
    }
    context.admit(&workspace, rights, prompt_tokens)?;
    Ok(admitted(workspace, name, declared))
}

/// Checks a call of a plain service against the configuration in force.
pub(crate) fn plain(
    context: &Context,
    incoming: &Incoming,
    name: &str,
) -> Result<Admitted, Refusal> {
    let configuration = configuration(context)?;
    let (workspace, rights) = workspace(&configuration, incoming)?;
    match configuration.services.get(name) {
        Some(service) if service.kind == ServiceKind::Plain && allowed(rights, name) => {
            context.admit(&workspace, rights, 0)?;
            Ok(admitted(workspace, name, Some(service)))
        }
        _ => Err(unknown_service()),
    }
}

fn configuration(context: &Context) -> Result<std::sync::Arc<Configuration>, Refusal> {
    let configuration = context.node.configuration.load_full();
    configuration
        .ok_or_else(|| Refusal::not_run(Code::NotConfigured, "the daemon has no configuration yet"))
}

fn workspace<'a>(
    configuration: &'a Configuration,
    incoming: &Incoming,
) -> Result<(Name, &'a Workspace), Refusal> {
    let Some(name) = incoming.header("X-Workspace") else {
        let message = "header X-Workspace is missing";
        return Err(Refusal::not_run(Code::Malformed, message));
    };
    match configuration.workspaces.get(name) {
        Some(workspace) => Ok((Name::from(name), workspace)),
        None => Err(Refusal::not_run(
            Code::UnknownWorkspace,
            "workspace is not declared",
        )),
    }
}

/// An undeclared service and a forbidden one get the same answer, which reveals nothing.
fn unknown_service() -> Refusal {
    let message = "service is not declared for this workspace";
    Refusal::not_run(Code::UnknownService, message)
}

fn allowed(workspace: &Workspace, service: &str) -> bool {
    workspace.services.is_empty()
        || workspace
            .services
            .iter()
            .any(|name| name.as_str() == service)
}

fn admitted(workspace: Name, service: &str, declared: Option<&Service>) -> Admitted {
    Admitted {
        workspace,
        service: Name::from(service),
        declared_priority: declared.map(|service| service.priority),
        deadline_ms: declared.map_or(DEADLINE_DEFAULT_MS, |service| service.deadline_ms),
        idempotent: declared.is_none_or(|service| service.idempotent),
    }
}
