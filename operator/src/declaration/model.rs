use ragwortgrade_schema::Name;

/// Declaration of a model and the versions that engines run.
#[derive(Clone, Debug)]
pub struct Model {
    pub(crate) name: Name,
    pub(crate) line: usize,
    pub(crate) versions: Vec<Name>,
    pub(crate) floor: u32,
    pub(crate) weight_bytes: u64,
}

impl Model {
    /// Declares a model; validation requires at least one version and the size of its weights.
    #[must_use]
    pub fn named(name: &str) -> Self {
        Self {
            name: name.into(),
            line: 0,
            versions: Vec::new(),
            floor: 0,
            weight_bytes: 0,
        }
    }

    /// Adds a version; the one added last is the default.
    #[must_use]
    pub fn version(mut self, version: &str) -> Self {
        self.versions.push(version.into());
        self
    }

    /// Sets the minimum number of the model's engines that stay in service in each data centre
    /// during changes.
    #[must_use]
    pub fn floor(mut self, engines: u32) -> Self {
        self.floor = engines;
        self
    }

    /// Sets the size of one version's weights in bytes.
    #[must_use]
    pub fn weight_bytes(mut self, bytes: u64) -> Self {
        self.weight_bytes = bytes;
        self
    }
}
