const ROLE_CHANGE_WEIGHT_DEFAULT: f64 = 20.0;

/// Policy for the control of engines: the cost of a role change, and the former holder of the
/// control lease that an operator declares to be gone.
#[derive(Clone, Debug)]
pub struct Policy {
    pub(crate) line: usize,
    pub(crate) role_change_weight: f64,
    pub(crate) takeover: Option<String>,
}

impl Policy {
    /// Sets the cost of a role change: the number of additional requests served within their
    /// deadlines that justifies it.
    #[must_use]
    pub fn with_role_change_weight(requests: f64) -> Self {
        Self {
            line: 0,
            role_change_weight: requests,
            takeover: None,
        }
    }

    /// Declares that a former holder of the control lease no longer runs.
    ///
    /// Its successor may then send orders to engines that ignore fencing tokens, which cannot
    /// reject orders of the former holder.
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
