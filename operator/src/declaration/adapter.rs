use ragwortgrade_schema::Name;

/// Declaration of an adapter for one version of a model.
#[derive(Clone, Debug)]
pub struct Adapter {
    pub(crate) name: Name,
    pub(crate) line: usize,
    pub(crate) model: Name,
    pub(crate) version: Name,
}

impl Adapter {
    /// Declares an adapter for `version` of `model`.
    #[must_use]
    pub fn named(name: &str, model: &str, version: &str) -> Self {
        Self {
            name: name.into(),
            line: 0,
            model: model.into(),
            version: version.into(),
        }
    }
}
