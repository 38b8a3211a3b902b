use std::time::Duration;

use ragwortgrade_schema::platform::{Vm, Vms};

use super::http_key_value::{agent, read_json};
use super::{Error, VmList};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of the list of VMs.
#[derive(Debug)]
pub struct HttpVmList {
    base: String,
    agent: ureq::Agent,
}

impl HttpVmList {
    /// Creates a client; `base` is the URL without `/vms`.
    #[must_use]
    pub fn open(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            agent: agent(CALL_TIMEOUT),
        }
    }
}

impl VmList for HttpVmList {
    fn vms(&self) -> Result<Vec<Vm>, Error> {
        let answer = self.agent.get(format!("{}/vms", self.base)).call();
        let vms: Vms = read_json(answer)?;
        Ok(vms.vms)
    }
}
