use std::collections::BTreeMap;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::{
    Configuration, Header, Model, Policy, Service, ServiceKind,
};

use crate::trace::{Kind, Trace};

/// A fleet and the services that it runs.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    /// Value of `--deployment`.
    pub(crate) name: &'static str,
    /// Number of engines in each data centre.
    pub(crate) engines: Vec<usize>,
    /// One-way network delay between two data centres, in microseconds.
    pub(crate) data_centre_delay_us: u64,
}

impl Deployment {
    /// Daemons in each data centre.
    pub(crate) const DAEMONS: usize = 3;
    /// Workers for plain calls in each data centre.
    pub(crate) const WORKERS: usize = 1;
    /// One-way network delay between a caller and a daemon, in microseconds.
    pub(crate) const CALLER_DELAY_US: u64 = 3_000;
    /// One-way network delay inside a data centre, in microseconds.
    pub(crate) const LOCAL_DELAY_US: u64 = 200;
    /// Model that all engines run.
    pub(crate) const MODEL: &str = "base";
    /// Number of additional requests answered in time that justifies a role change.
    const ROLE_CHANGE_WEIGHT: f64 = 10.0;
    /// Share of a service without its own entry in [`Self::share`], in percent.
    const DEFAULT_SHARE: f64 = 10.0;

    pub(crate) fn workshop() -> Self {
        Self {
            name: "workshop",
            engines: vec![4, 4, 4],
            data_centre_delay_us: 1_500,
        }
    }

    pub(crate) fn apricot() -> Self {
        Self {
            name: "apricot",
            engines: vec![7, 7, 6],
            data_centre_delay_us: 500,
        }
    }

    pub(crate) fn named(name: &str) -> Result<Self, lexopt::Error> {
        match name {
            "workshop" => Ok(Self::workshop()),
            "apricot" => Ok(Self::apricot()),
            _ => Err(format!("--deployment: `{name}` is neither workshop nor apricot").into()),
        }
    }

    pub(crate) fn engine_count(&self) -> usize {
        self.engines.iter().sum()
    }

    pub(crate) fn data_centre_name(index: usize) -> Name {
        Name::from(format!("dc{index}"))
    }

    /// Returns the configuration in force, which declares each service of the trace by its first
    /// row.
    pub(crate) fn configuration(&self, trace: &Trace) -> Configuration {
        let mut services = BTreeMap::new();
        for row in &trace.rows {
            services
                .entry(row.service.to_string())
                .or_insert_with(|| Service {
                    adapter: None,
                    deadline_ms: row.deadline_ms(),
                    idempotent: true,
                    kind: match row.kind {
                        Kind::Model => ServiceKind::Model,
                        Kind::Plain => ServiceKind::Plain,
                    },
                    model: (row.kind == Kind::Model).then(|| Name::from(Self::MODEL)),
                    priority: row.priority,
                    share: self.share(&row.service),
                });
        }
        Configuration {
            adapters: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            header: Header {
                apply_id: "shifts".to_owned(),
                author: "shifts".to_owned(),
                revision: 1,
            },
            models: BTreeMap::from([(
                Self::MODEL.to_owned(),
                Model {
                    floor: 1,
                    versions: vec![Name::from("1")],
                    weight_bytes: 0,
                },
            )]),
            policy: Policy {
                role_change_weight: Self::ROLE_CHANGE_WEIGHT,
                takeover: None,
            },
            services,
            workspaces: BTreeMap::new(),
        }
    }

    fn share(&self, service: &str) -> f64 {
        match (self.name, service) {
            ("workshop", "stitch") | ("apricot", "field") => 20.0,
            ("workshop", "explain" | "manual") | ("apricot", "summary" | "dossier") => 40.0,
            _ => Self::DEFAULT_SHARE,
        }
    }
}
