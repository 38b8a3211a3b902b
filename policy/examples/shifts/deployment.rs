use std::collections::BTreeMap;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::{
    Configuration, Header, Model, Policy, Service, ServiceKind,
};

use crate::trace::{Kind, Trace};

/// A fleet and the services that it runs.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// Engines in each data centre.
    pub(crate) engines: Vec<usize>,
    /// One-way time between two data centres, in microseconds.
    pub(crate) crossing_us: u64,
}

impl Deployment {
    /// Daemons in each data centre.
    pub(crate) const DAEMONS: usize = 3;
    /// Workers for plain calls in each data centre.
    pub(crate) const WORKERS: usize = 1;
    /// One-way time between a caller and a daemon, in microseconds.
    pub(crate) const CALLER_US: u64 = 3_000;
    /// One-way time inside a data centre, in microseconds.
    pub(crate) const LOCAL_US: u64 = 200;
    /// The one model that all engines run.
    pub(crate) const MODEL: &str = "base";
    /// Requests in time that a role change must be worth.
    const ROLE_CHANGE_WEIGHT: f64 = 10.0;
    /// Share of a service that the trace uses without a declaration, in percent.
    const DEFAULT_SHARE: f64 = 10.0;

    pub(crate) fn workshop() -> Self {
        Self {
            name: "workshop",
            engines: vec![4, 4, 4],
            crossing_us: 1_500,
        }
    }

    pub(crate) fn apricot() -> Self {
        Self {
            name: "apricot",
            engines: vec![7, 7, 6],
            crossing_us: 500,
        }
    }

    pub(crate) fn named(name: &str) -> Result<Self, lexopt::Error> {
        match name {
            "workshop" => Ok(Self::workshop()),
            "apricot" => Ok(Self::apricot()),
            _ => Err(format!("--deployment: `{name}` is neither workshop nor apricot").into()),
        }
    }

    /// Number of engines in all data centres.
    pub(crate) fn engine_count(&self) -> usize {
        self.engines.iter().sum()
    }

    /// Name of a data centre.
    pub(crate) fn data_centre(index: usize) -> Name {
        Name::from(format!("dc{index}"))
    }

    /// The configuration in force; services of the trace get a default declaration.
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
