use std::rc::Rc;

use super::{DutyPlatform, DutySettings};

/// Start options of the duties.
#[derive(Clone, Debug)]
pub struct DutyOptions {
    /// The settings.
    pub settings: DutySettings,
    /// The platform's duty interface.
    pub platform: Rc<dyn DutyPlatform>,
}
