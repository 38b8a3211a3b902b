//! Parser of rendered configurations.

mod section_reader;

use ragwortgrade_schema::configuration::{Configuration, Header, ServiceKind};

use crate::ini::{self, Section};
use crate::{
    Adapter, Declarations, Endpoint, Model, Policy, Problem, Problems, Service, Workspace,
};

use section_reader::SectionReader;

const HEADINGS: &str = "`[configuration]`, `[model <name>]`, `[adapter <name>]`, \
     `[service <name>]`, `[workspace <name>]`, `[endpoint <name>]` or `[policy]`";

/// Parses and validates the text of a configuration.
///
/// `revision` and `apply_id` may be absent, because they are assigned when the file is applied.
///
/// # Errors
///
/// Returns all problems found, each with its line if it has one.
pub fn parse(text: &str) -> Result<Configuration, Problems> {
    let (sections, syntax_problems) = ini::read(text);
    let mut problems: Vec<Problem> = syntax_problems.into_iter().map(Problem::from).collect();
    let mut declarations = Declarations::default();
    for section in &sections {
        read_section(section, &mut declarations, &mut problems);
    }
    declarations.check_with(problems)
}

/// Parses only the header; the other sections may be invalid or written by a newer release.
#[must_use]
pub fn parse_header(text: &str) -> Option<Header> {
    let (sections, _) = ini::read(text);
    let section = sections
        .iter()
        .find(|section| section.heading == "configuration")?;
    let value = |key| section.get(key).map(|property| property.value.clone());
    Some(Header {
        revision: value("revision")?.parse().ok()?,
        apply_id: value("apply_id")?,
        author: value("author").unwrap_or_default(),
    })
}

/// Adds the declaration of one section; an unknown heading is a problem.
fn read_section(section: &Section, declarations: &mut Declarations, problems: &mut Vec<Problem>) {
    let (kind, name) = match section.heading.split_once(' ') {
        Some((kind, name)) => (kind, Some(name.trim())),
        None => (section.heading.as_str(), None),
    };
    let reader = SectionReader::new(section, kind, name, problems);
    match (kind, name) {
        ("configuration", None) => read_header(reader, declarations),
        ("policy", None) => declarations.policy = read_policy(reader),
        ("model", Some(name)) => declarations.models.push(read_model(reader, name)),
        ("adapter", Some(name)) => declarations.adapters.push(read_adapter(reader, name)),
        ("service", Some(name)) => declarations.services.push(read_service(reader, name)),
        ("workspace", Some(name)) => declarations.workspaces.push(read_workspace(reader, name)),
        ("endpoint", Some(name)) => declarations.endpoints.push(read_endpoint(reader, name)),
        _ => problems.push(Problem::new(
            section.line,
            "text",
            format!("unknown section `[{}]`", section.heading),
            HEADINGS,
        )),
    }
}

fn read_header(mut reader: SectionReader<'_>, declarations: &mut Declarations) {
    declarations.revision = reader.number_or("revision", 0);
    declarations.apply_id = reader.optional("apply_id").unwrap_or_default();
    declarations.author = reader.required("author");
    reader.finish();
}

fn read_policy(mut reader: SectionReader<'_>) -> Policy {
    let policy = Policy {
        line: reader.line(),
        role_change_weight: reader.number("role_change_weight"),
        takeover: reader.optional("takeover"),
    };
    reader.finish();
    policy
}

fn read_model(mut reader: SectionReader<'_>, name: &str) -> Model {
    let model = Model {
        name: name.into(),
        line: reader.line(),
        versions: reader.names("versions"),
        floor: reader.number("floor"),
        weight_bytes: reader.number("weight_bytes"),
    };
    reader.finish();
    model
}

fn read_adapter(mut reader: SectionReader<'_>, name: &str) -> Adapter {
    let adapter = Adapter {
        name: name.into(),
        line: reader.line(),
        model: reader.required("model").into(),
        version: reader.required("version").into(),
    };
    reader.finish();
    adapter
}

fn read_service(mut reader: SectionReader<'_>, name: &str) -> Service {
    let service = Service {
        name: name.into(),
        line: reader.line(),
        kind: reader.choice("kind", ServiceKind::Plain, "`model` or `plain`"),
        model: reader.optional("model").map(Into::into),
        adapter: reader.optional("adapter").map(Into::into),
        share: reader.number("share"),
        priority: reader.number("priority"),
        deadline_ms: reader.optional_number("deadline_ms"),
        idempotent: reader.choice("idempotent", false, "`true` or `false`"),
    };
    reader.finish();
    service
}

fn read_workspace(mut reader: SectionReader<'_>, name: &str) -> Workspace {
    let workspace = Workspace {
        name: name.into(),
        line: reader.line(),
        services: reader.names("services"),
        requests_per_second: reader.number("requests_per_second"),
        tokens_per_second: reader.number("tokens_per_second"),
    };
    reader.finish();
    workspace
}

fn read_endpoint(mut reader: SectionReader<'_>, name: &str) -> Endpoint {
    let fencing = ragwortgrade_schema::configuration::Fencing::Ignored;
    let endpoint = Endpoint {
        name: name.into(),
        line: reader.line(),
        fencing: reader.choice("fencing", fencing, "`checked` or `ignored`"),
        drain: reader.choice("drain", false, "`true` or `false`"),
        role: reader.optional_choice("role", "`prefill`, `decode` or `mixed`"),
    };
    reader.finish();
    endpoint
}
