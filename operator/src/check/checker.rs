use std::collections::{BTreeMap, BTreeSet};

use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::ServiceKind;

use super::names::is_valid_name;
use crate::{Adapter, Declarations, Model, Policy, Problem, Service, Workspace};

const SHARE_PERCENT_MAX: f64 = 100.0;
/// A floating-point sum of shares such as 33.3 + 66.7 can exceed 100 by a rounding error.
const SHARE_SUM_TOLERANCE: f64 = 1e-9;
const DEADLINE_MS_MAX: u64 = 24 * 60 * 60 * 1000;
const ROLE_CHANGE_WEIGHT_MAX: f64 = 1e9;
/// Maximum of the rate limits of a workspace, per second.
const RATE_MAX: f64 = 1e12;
/// Maximum number of names that a problem lists.
const LISTED_NAMES_MAX: usize = 10;

/// Validates values and references between declarations.
pub(super) struct Checker<'a> {
    declarations: &'a Declarations,
    models: BTreeMap<&'a str, &'a Model>,
    adapters: BTreeMap<&'a str, &'a Adapter>,
    services: BTreeSet<&'a str>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Checker<'a> {
    pub(super) fn new(declarations: &'a Declarations, problems: &'a mut Vec<Problem>) -> Self {
        let models = declarations.models.iter();
        let adapters = declarations.adapters.iter();
        let services = declarations.services.iter();
        Self {
            declarations,
            models: models.map(|model| (model.name.as_str(), model)).collect(),
            adapters: adapters
                .map(|adapter| (adapter.name.as_str(), adapter))
                .collect(),
            services: services.map(|service| service.name.as_str()).collect(),
            problems,
        }
    }

    pub(super) fn check(&mut self) {
        let declarations = self.declarations;
        declarations
            .models
            .iter()
            .for_each(|model| self.check_model(model));
        declarations
            .adapters
            .iter()
            .for_each(|adapter| self.check_adapter(adapter));
        declarations
            .services
            .iter()
            .for_each(|service| self.check_service(service));
        self.check_shares(ServiceKind::Model, "model services");
        self.check_shares(ServiceKind::Plain, "plain services");
        declarations
            .workspaces
            .iter()
            .for_each(|workspace| self.check_workspace(workspace));
        self.check_policy(&declarations.policy);
    }

    fn check_model(&mut self, model: &Model) {
        let title = format!("model `{}`", model.name);
        if model.versions.is_empty() {
            let found = "`versions` is empty".to_owned();
            self.report(model.line, &title, found, "at least one version");
        }
        let mut seen = BTreeSet::new();
        for version in &model.versions {
            if !seen.insert(version) {
                let found = format!("version `{version}` is listed more than once");
                self.report(model.line, &title, found, "each version once");
            }
        }
        if model.weight_bytes == 0 {
            let versions = join_names(model.versions.iter().map(Name::as_str));
            self.report(
                model.line,
                &title,
                format!("versions {versions} have no weights: `weight_bytes` is `0`"),
                "the size of one version's weights in bytes, at least 1",
            );
        }
    }

    fn check_adapter(&mut self, adapter: &Adapter) {
        let title = format!("adapter `{}`", adapter.name);
        let Some(model) = self.models.get(adapter.model.as_str()).copied() else {
            self.report_unknown(adapter.line, &title, "model", &adapter.model);
            return;
        };
        if !model.versions.contains(&adapter.version) {
            let versions = join_names(model.versions.iter().map(Name::as_str));
            self.report(
                adapter.line,
                &title,
                format!(
                    "`version` is `{}`, which model `{}` does not run",
                    adapter.version, model.name
                ),
                &format!("one of {versions}"),
            );
        }
    }

    fn check_service(&mut self, service: &Service) {
        let title = format!("service `{}`", service.name);
        match service.kind {
            ServiceKind::Model => self.check_model_service(service, &title),
            ServiceKind::Plain => self.check_plain_service(service, &title),
        }
        self.check_number(
            service.line,
            &title,
            "share",
            service.share,
            SHARE_PERCENT_MAX,
        );
        let deadline = service.deadline_ms;
        if !deadline.is_some_and(|deadline| (1..=DEADLINE_MS_MAX).contains(&deadline)) {
            let found = deadline.map_or("`deadline_ms` is missing".to_owned(), |deadline| {
                format!("`deadline_ms` is `{deadline}`")
            });
            let accepted = format!("a whole number from 1 to {DEADLINE_MS_MAX}");
            self.report(service.line, &title, found, &accepted);
        }
    }

    fn check_model_service(&mut self, service: &Service, title: &str) {
        match &service.model {
            None => {
                let accepted = self.list_declared("model");
                self.report(
                    service.line,
                    title,
                    "`model` is missing".to_owned(),
                    &accepted,
                );
            }
            Some(model) if !self.models.contains_key(model.as_str()) => {
                self.report_unknown(service.line, title, "model", model);
            }
            Some(_) => {}
        }
        let Some(name) = &service.adapter else { return };
        match self.adapters.get(name.as_str()).copied() {
            None => self.report_unknown(service.line, title, "adapter", name),
            Some(adapter) if Some(&adapter.model) != service.model.as_ref() => {
                let found = format!("adapter `{name}` belongs to model `{}`", adapter.model);
                self.report(
                    service.line,
                    title,
                    found,
                    "an adapter of the service's model",
                );
            }
            Some(_) => {}
        }
    }

    fn check_plain_service(&mut self, service: &Service, title: &str) {
        for (key, value) in [("model", &service.model), ("adapter", &service.adapter)] {
            if let Some(value) = value {
                let found = format!("`{key}` is `{value}`, but the service is plain");
                self.report(
                    service.line,
                    title,
                    found,
                    "neither model nor adapter for a plain service",
                );
            }
        }
    }

    /// Checks that the shares of all services of one kind add up to at most 100 percent.
    fn check_shares(&mut self, kind: ServiceKind, title: &str) {
        let services = self.declarations.services.iter();
        let total: f64 = services
            .filter(|service| service.kind == kind)
            .map(|service| service.share)
            .sum();
        if total > SHARE_PERCENT_MAX + SHARE_SUM_TOLERANCE {
            self.report(
                0,
                title,
                format!("the shares add up to `{total}` percent"),
                "a sum of at most 100 percent",
            );
        }
    }

    fn check_workspace(&mut self, workspace: &Workspace) {
        let title = format!("workspace `{}`", workspace.name);
        let mut seen = BTreeSet::new();
        for service in &workspace.services {
            if !self.services.contains(service.as_str()) {
                self.report_unknown(workspace.line, &title, "service", service);
            } else if !seen.insert(service) {
                let found = format!("service `{service}` is listed more than once");
                self.report(workspace.line, &title, found, "each service once");
            }
        }
        let rates = [
            ("requests_per_second", workspace.requests_per_second),
            ("tokens_per_second", workspace.tokens_per_second),
        ];
        for (key, rate) in rates {
            self.check_number(workspace.line, &title, key, rate, RATE_MAX);
        }
    }

    fn check_policy(&mut self, policy: &Policy) {
        let weight = policy.role_change_weight;
        self.check_number(
            policy.line,
            "policy",
            "role_change_weight",
            weight,
            ROLE_CHANGE_WEIGHT_MAX,
        );
        let Some(takeover) = &policy.takeover else {
            return;
        };
        let is_valid = takeover
            .rsplit_once(':')
            .is_some_and(|(daemon, incarnation)| {
                is_valid_name(daemon) && incarnation.parse::<u64>().is_ok()
            });
        if !is_valid {
            let found = format!("`takeover` is `{}`", takeover.escape_debug());
            self.report(
                policy.line,
                "policy",
                found,
                "`<daemon>:<incarnation>`, as `status` shows it",
            );
        }
    }

    /// Checks that a value is from 0 to `largest`; infinity and NaN are problems too.
    fn check_number(&mut self, line: usize, title: &str, key: &str, value: f64, largest: f64) {
        if !(0.0..=largest).contains(&value) {
            let found = format!("`{key}` is `{value}`");
            self.report(line, title, found, &format!("a number from 0 to {largest}"));
        }
    }

    fn report_unknown(&mut self, line: usize, title: &str, kind: &str, name: &Name) {
        let found = format!("{kind} `{}` is not declared", name.escape_debug());
        let accepted = self.list_declared(kind);
        self.report(line, title, found, &accepted);
    }

    /// Describes the declared names of a kind, for problems with an undeclared one.
    fn list_declared(&self, kind: &str) -> String {
        let names = match kind {
            "model" => join_names(self.models.keys().copied()),
            "adapter" => join_names(self.adapters.keys().copied()),
            _ => join_names(self.services.iter().copied()),
        };
        if names.is_empty() {
            format!("a declared {kind}; none is declared")
        } else {
            format!("a declared {kind}: {names}")
        }
    }

    fn report(&mut self, line: usize, title: &str, found: String, accepted: &str) {
        self.problems
            .push(Problem::new(line, title, found, accepted));
    }
}

/// Lists up to [`LISTED_NAMES_MAX`] names and the number of the others.
fn join_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<String> = names
        .map(|name| format!("`{}`", name.escape_debug()))
        .collect();
    let shown = names
        .iter()
        .take(LISTED_NAMES_MAX)
        .cloned()
        .collect::<Vec<_>>();
    let more = names.len() - shown.len();
    if more == 0 {
        shown.join(", ")
    } else {
        format!("{} and {more} more", shown.join(", "))
    }
}
