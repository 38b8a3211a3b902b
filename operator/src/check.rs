//! Validation of declarations.
//!
//! Each problem names the declaration, the value found and the accepted values.

mod checker;
mod names;

use std::collections::BTreeMap;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration as schema;

use crate::render::{DOCUMENT_BYTES_MAX, HEADER_BYTES_RESERVED, render};
use crate::{Declarations, Problem};

use checker::Checker;
pub use names::{NAME_RULE, is_valid_name};

/// Validates all declarations and adds every problem found to `problems`.
pub(crate) fn check_declarations(declarations: &Declarations, problems: &mut Vec<Problem>) {
    names::check(declarations, problems);
    Checker::new(declarations, problems).check();
}

/// Adds a problem if the rendered document exceeds the size limit of a value in the platform's
/// key-value service.
pub(crate) fn check_size(configuration: &schema::Configuration, problems: &mut Vec<Problem>) {
    let bytes = render(configuration).len() + HEADER_BYTES_RESERVED;
    if bytes > DOCUMENT_BYTES_MAX {
        problems.push(Problem::new(
            0,
            "configuration",
            format!("the rendered document has {bytes} bytes"),
            &format!("at most {DOCUMENT_BYTES_MAX} bytes, the platform's limit for one value"),
        ));
    }
}

/// Converts declarations to the document; of declarations with the same name the first is kept.
pub(crate) fn build(declarations: &Declarations) -> schema::Configuration {
    schema::Configuration {
        header: schema::Header {
            revision: declarations.revision,
            apply_id: declarations.apply_id.clone(),
            author: declarations.author.clone(),
        },
        models: collect_by_name(declarations.models.iter().map(|model| {
            let built = schema::Model {
                versions: model.versions.clone(),
                floor: model.floor,
                weight_bytes: model.weight_bytes,
            };
            (&model.name, built)
        })),
        adapters: collect_by_name(declarations.adapters.iter().map(|adapter| {
            let built = schema::Adapter {
                model: adapter.model.clone(),
                version: adapter.version.clone(),
            };
            (&adapter.name, built)
        })),
        services: collect_by_name(declarations.services.iter().map(|service| {
            let built = schema::Service {
                kind: service.kind,
                model: service.model.clone(),
                adapter: service.adapter.clone(),
                share: service.share,
                priority: service.priority,
                deadline_ms: service.deadline_ms.unwrap_or_default(),
                idempotent: service.idempotent,
            };
            (&service.name, built)
        })),
        workspaces: collect_by_name(declarations.workspaces.iter().map(|workspace| {
            let built = schema::Workspace {
                services: workspace.services.clone(),
                requests_per_second: workspace.requests_per_second,
                tokens_per_second: workspace.tokens_per_second,
            };
            (&workspace.name, built)
        })),
        endpoints: collect_by_name(declarations.endpoints.iter().map(|endpoint| {
            let built = schema::Endpoint {
                fencing: endpoint.fencing,
                drain: endpoint.drain,
                role: endpoint.role,
            };
            (&endpoint.name, built)
        })),
        policy: schema::Policy {
            role_change_weight: declarations.policy.role_change_weight,
            takeover: declarations.policy.takeover.clone(),
        },
    }
}

/// Collects declarations by name; of several with one name the first is kept.
fn collect_by_name<'a, D>(
    declarations: impl Iterator<Item = (&'a Name, D)>,
) -> BTreeMap<String, D> {
    let mut by_name = BTreeMap::new();
    for (name, declaration) in declarations {
        by_name.entry(name.to_string()).or_insert(declaration);
    }
    by_name
}
