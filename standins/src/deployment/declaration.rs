use std::fmt;

use super::DataCentre;
use super::data_centre::ignores_fence;

/// Workspace in a declaration.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Rate limit in requests per second.
    pub requests_per_second: f64,
}

/// Endpoint in a declaration.
#[derive(Clone, Debug)]
pub struct DeclaredEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Whether the endpoint rejects orders with a stale fencing token.
    pub checks_fence: bool,
    /// Whether the endpoint is drained, so that it gets no new work.
    pub drains: bool,
    /// Fixed role of an engine.
    pub role: Option<String>,
}

/// Operators' configuration of a test deployment; `Display` renders its INI document.
#[derive(Clone, Debug)]
pub struct Declaration {
    /// Revision of the document, 0 before it is applied.
    pub revision: u64,
    /// Author of the change, which is part of the apply identity.
    pub author: String,
    /// Workspaces that may send requests.
    pub workspaces: Vec<Workspace>,
    /// Engines and endpoints of plain services.
    pub endpoints: Vec<DeclaredEndpoint>,
    /// Number of additional requests served within their deadlines that justifies a role change.
    pub role_change_weight: f64,
}

impl Declaration {
    /// Returns the declaration of the quickstart, without endpoints.
    #[must_use]
    pub fn standard() -> Self {
        let workspace = |name: &str| Workspace {
            name: name.to_owned(),
            requests_per_second: 10_000.0,
        };
        Self {
            revision: 0,
            author: "quickstart".to_owned(),
            workspaces: vec![workspace("weavers"), workspace("buyers")],
            endpoints: Vec::new(),
            role_change_weight: 20.0,
        }
    }

    /// Declares the endpoints of the data centres.
    pub fn declare_endpoints(&mut self, centres: &[DataCentre]) {
        for centre in centres {
            for (number, engine) in centre.engines.iter().enumerate() {
                self.declare(&engine.name, !ignores_fence(number));
            }
            for plain in &centre.plain_endpoints {
                self.declare(&plain.name, true);
            }
        }
    }

    fn declare(&mut self, name: &str, checks_fence: bool) {
        self.endpoints.push(DeclaredEndpoint {
            name: name.to_owned(),
            checks_fence,
            drains: false,
            role: None,
        });
    }
}

impl fmt::Display for Declaration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[configuration]")?;
        // `ragwortctl` assigns the revision of a declaration that was not applied yet.
        if self.revision > 0 {
            writeln!(f, "revision = {}", self.revision)?;
            writeln!(f, "apply_id = {}-{}", self.author, self.revision)?;
        }
        writeln!(f, "author = {}", self.author)?;
        writeln!(
            f,
            "\n[model base]\nversions = 1\nfloor = 1\nweight_bytes = 16000000000"
        )?;
        write_service(f, "base", "model", 20, 2, 5_000)?;
        write_service(f, "explain", "model", 40, 1, 20_000)?;
        write_service(f, "ask", "model", 20, 5, 5_000)?;
        write_service(f, "stock", "plain", 10, 5, 5_000)?;
        write_service(f, "orders", "plain", 10, 5, 5_000)?;
        for workspace in &self.workspaces {
            writeln!(f, "\n[workspace {}]", workspace.name)?;
            writeln!(f, "services =")?;
            writeln!(f, "requests_per_second = {}", workspace.requests_per_second)?;
            writeln!(f, "tokens_per_second = 100000000")?;
        }
        for endpoint in &self.endpoints {
            write_endpoint(f, endpoint)?;
        }
        writeln!(f, "\n[policy]")?;
        writeln!(f, "role_change_weight = {}", self.role_change_weight)
    }
}

fn write_endpoint(f: &mut fmt::Formatter<'_>, endpoint: &DeclaredEndpoint) -> fmt::Result {
    let fencing = if endpoint.checks_fence {
        "checked"
    } else {
        "ignored"
    };
    writeln!(f, "\n[endpoint {}]\nfencing = {fencing}", endpoint.name)?;
    writeln!(f, "drain = {}", endpoint.drains)?;
    match &endpoint.role {
        Some(role) => writeln!(f, "role = {role}"),
        None => Ok(()),
    }
}

fn write_service(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    kind: &str,
    share: u32,
    priority: u32,
    deadline_ms: u32,
) -> fmt::Result {
    writeln!(f, "\n[service {name}]\nkind = {kind}")?;
    if kind == "model" {
        writeln!(f, "model = base")?;
    }
    writeln!(
        f,
        "share = {share}\npriority = {priority}\ndeadline_ms = {deadline_ms}"
    )?;
    writeln!(f, "idempotent = {}", name != "orders")
}
