const ROLE_CHANGE_WEIGHT_DEFAULT: f64 = 20.0;

/// How goodput and role changes are traded off, and declared takeovers.
#[derive(Clone, Debug)]
pub struct Policy {
    pub(crate) line: usize,
    pub(crate) role_change_weight: f64,
    pub(crate) takeover: Option<String>,
}

impl Policy {
    /// Declares how many requests in time one role change must be worth.
    #[must_use]
    pub fn with_role_change_weight(requests: f64) -> Self {
        Self {
            line: 0,
            role_change_weight: requests,
            takeover: None,
        }
    }

    /// Declares that a former lease holder is gone, so that a successor may command engines that
    /// ignore fencing tokens.
    #[must_use]
    pub fn takeover(mut self, daemon: &str, incarnation: u64) -> Self {
        self.takeover = Some(format!("{daemon}:{incarnation}"));
        self
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::with_role_change_weight(ROLE_CHANGE_WEIGHT_DEFAULT)
    }
}
