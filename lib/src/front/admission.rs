use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::{Configuration, Service, ServiceKind, Workspace};
use ragwortgrade_schema::engine;

use super::{Code, Context, IncomingRequest, Refusal};

/// Deadline of requests to a model without a declared service.
const DEADLINE_DEFAULT_MS: u64 = 30_000;

/// Parameters that the configuration gives an admitted request.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) workspace: Name,
    pub(crate) service: Name,
    /// Priority of the service; `None` when the service is not declared.
    declared_priority: Option<u8>,
    pub(crate) deadline_ms: u64,
    pub(crate) idempotent: bool,
}

impl AdmittedRequest {
    /// Returns the priority of a request: a caller may lower the priority that the operators
    /// declared for its service, but not raise it. Without a declared service, the caller's
    /// priority applies.
    pub(crate) fn priority(&self, requested: Option<u8>) -> u8 {
        match (self.declared_priority, requested) {
            (Some(declared), Some(requested)) => declared.min(requested),
            (declared, requested) => declared.or(requested).unwrap_or_default(),
        }
    }
}

/// Checks a model request against the configuration and the workspace's limits.
///
/// The header `X-Service` names the service. Without it, the service has the name of the model and
/// need not be declared.
pub(crate) fn admit_model(
    context: &Context,
    incoming: &IncomingRequest,
    body: &engine::Completion,
    prompt_tokens: u32,
) -> Result<AdmittedRequest, Refusal> {
    let configuration = configuration(context)?;
    let (workspace, permissions) = workspace(&configuration, incoming)?;
    if !configuration.models.contains_key(body.model.as_str()) {
        return Err(Refusal::not_run(
            Code::UnknownModel,
            "model is not declared",
        ));
    }
    let name = incoming.header("X-Service").unwrap_or(&body.model);
    let declared = configuration.services.get(name);
    let is_matching = declared.is_some_and(|service| {
        service.kind == ServiceKind::Model && service.model.as_ref() == Some(&body.model)
    });
    let is_implicit = declared.is_none() && name == body.model.as_str();
    if !(is_matching || is_implicit) || !is_allowed(permissions, name) {
        return Err(unknown_service());
    }
    context.admit(&workspace, permissions, prompt_tokens)?;
    Ok(admitted(workspace, name, declared))
}

/// Checks a call of a plain service against the configuration and the workspace's limits.
pub(crate) fn admit_plain(
    context: &Context,
    incoming: &IncomingRequest,
    name: &str,
) -> Result<AdmittedRequest, Refusal> {
    let configuration = configuration(context)?;
    let (workspace, permissions) = workspace(&configuration, incoming)?;
    match configuration.services.get(name) {
        Some(service) if service.kind == ServiceKind::Plain && is_allowed(permissions, name) => {
            context.admit(&workspace, permissions, 0)?;
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
    incoming: &IncomingRequest,
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

/// Undeclared and forbidden services get the same refusal, so that a caller cannot probe for the
/// services of other workspaces.
fn unknown_service() -> Refusal {
    let message = "service is not declared for this workspace";
    Refusal::not_run(Code::UnknownService, message)
}

fn is_allowed(workspace: &Workspace, service: &str) -> bool {
    workspace.services.is_empty()
        || workspace
            .services
            .iter()
            .any(|name| name.as_str() == service)
}

fn admitted(workspace: Name, service: &str, declared: Option<&Service>) -> AdmittedRequest {
    AdmittedRequest {
        workspace,
        service: Name::from(service),
        declared_priority: declared.map(|service| service.priority),
        deadline_ms: declared.map_or(DEADLINE_DEFAULT_MS, |service| service.deadline_ms),
        idempotent: declared.is_none_or(|service| service.idempotent),
    }
}
