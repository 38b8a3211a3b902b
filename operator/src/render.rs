use std::fmt::{Display, Write as _};

use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Configuration;

/// Largest value, in bytes, that the platform's key-value service accepts.
pub const DOCUMENT_BYTES_MAX: usize = 1_000_000;
/// Bytes reserved for the revision and apply identity, which are added after the size check.
pub(crate) const HEADER_BYTES_RESERVED: usize = 256;

/// Renders a configuration as INI text.
///
/// The text is canonical: `[configuration]` comes first, then the other sections in the byte order
/// of their headings, each with its keys in a fixed order.
#[must_use]
pub fn render(configuration: &Configuration) -> String {
    let sections = render_sections(configuration);
    let texts: Vec<String> = sections.into_iter().map(|(_, text)| text).collect();
    texts.join("\n")
}

/// Renders each section separately and returns pairs of heading and text, in the order of
/// [`render`].
#[must_use]
pub fn render_sections(configuration: &Configuration) -> Vec<(String, String)> {
    let mut sections: Vec<Section> = declaration_sections(configuration).collect();
    sections.sort_by(|left, right| left.heading.cmp(&right.heading));
    sections.insert(0, header_section(configuration));
    sections
        .into_iter()
        .map(|section| (section.heading, section.text))
        .collect()
}

fn header_section(configuration: &Configuration) -> Section {
    let header = &configuration.header;
    let revision = (header.revision > 0).then_some(header.revision);
    let apply_id = Some(&header.apply_id).filter(|apply_id| !apply_id.is_empty());
    Section::new("configuration")
        .optional_pair("revision", revision)
        .optional_pair("apply_id", apply_id)
        .pair("author", &header.author)
}

fn declaration_sections(configuration: &Configuration) -> impl Iterator<Item = Section> {
    let models = configuration.models.iter().map(|(name, model)| {
        Section::new(&format!("model {name}"))
            .pair("versions", join_names(&model.versions))
            .pair("floor", model.floor)
            .pair("weight_bytes", model.weight_bytes)
    });
    let adapters = configuration.adapters.iter().map(|(name, adapter)| {
        Section::new(&format!("adapter {name}"))
            .pair("model", &adapter.model)
            .pair("version", &adapter.version)
    });
    let services = configuration.services.iter().map(|(name, service)| {
        Section::new(&format!("service {name}"))
            .pair("kind", service.kind)
            .optional_pair("model", service.model.as_ref())
            .optional_pair("adapter", service.adapter.as_ref())
            .pair("share", service.share)
            .pair("priority", service.priority)
            .pair("deadline_ms", service.deadline_ms)
            .pair("idempotent", service.idempotent)
    });
    let workspaces = configuration.workspaces.iter().map(|(name, workspace)| {
        Section::new(&format!("workspace {name}"))
            .pair("services", join_names(&workspace.services))
            .pair("requests_per_second", workspace.requests_per_second)
            .pair("tokens_per_second", workspace.tokens_per_second)
    });
    let endpoints = configuration.endpoints.iter().map(|(name, endpoint)| {
        Section::new(&format!("endpoint {name}"))
            .pair("fencing", endpoint.fencing)
            .pair("drain", endpoint.drain)
            .optional_pair("role", endpoint.role)
    });
    let policy = Section::new("policy")
        .pair(
            "role_change_weight",
            configuration.policy.role_change_weight,
        )
        .optional_pair("takeover", configuration.policy.takeover.as_ref());
    let declared = models.chain(adapters).chain(services);
    declared.chain(workspaces).chain(endpoints).chain([policy])
}

fn join_names(names: &[Name]) -> String {
    let names: Vec<&str> = names.iter().map(Name::as_str).collect();
    names.join(", ")
}

/// A rendered section: its heading, and its text with the heading line.
struct Section {
    heading: String,
    text: String,
}

impl Section {
    fn new(heading: &str) -> Self {
        Self {
            heading: heading.to_owned(),
            text: format!("[{heading}]\n"),
        }
    }

    fn pair(mut self, key: &str, value: impl Display) -> Self {
        // Writing to a string cannot fail.
        let _ = writeln!(self.text, "{key} = {value}");
        self
    }

    fn optional_pair(self, key: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.pair(key, value),
            None => self,
        }
    }
}
