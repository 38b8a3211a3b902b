//! Injection of planned changes by operators and by the platform.

use std::time::Duration;

use ragwortgrade_standins::Error;
use ragwortgrade_standins::deployment::Deployment;
use rand::RngExt as _;

use super::{Injector, SETTLE_TIME, unix_ms};
use crate::observations::increment;
use crate::recovery::Action;
use crate::target::{Kind, Target};

/// Time for which the work sent to a leaving engine is observed.
const LEAVING_WATCH_TIME: Duration = Duration::from_secs(9);

impl Injector<'_> {
    /// Makes two operators write the same next revision; the second write must fail.
    pub(super) fn race_operators(&mut self, deployment: &mut Deployment) -> Result<bool, Error> {
        if self.reserved.contains(&Target::KeyValue) {
            return Ok(false);
        }
        let reservation_ms = SETTLE_TIME.as_millis() as u64;
        if !self.reserve(Target::Configuration, reservation_ms, Action::Release) {
            return Ok(false);
        }
        deployment.refresh_revisions()?;
        let mut other = deployment.declaration.clone();
        other.revision += 1;
        "other-operator".clone_into(&mut other.author);
        let conflicting_write = deployment.write_for(&other);
        let roles = [None, Some("prefill"), Some("decode"), Some("mixed")];
        let role = roles[self.random.random_range(0..roles.len())];
        let (centre, number) = self.random_engine(deployment);
        let name = deployment.data_centres[centre].engines[number].name.clone();
        for endpoint in &mut deployment.declaration.endpoints {
            if endpoint.name == name {
                endpoint.role = role.map(str::to_owned);
            }
        }
        deployment.apply()?;
        self.highest_revision = self.highest_revision.max(deployment.declaration.revision);
        let address = deployment.key_value.address;
        if self.caller.write(address, &conflicting_write).is_ok() {
            eprintln!("two operators both wrote revision {}", other.revision);
            increment(&self.observations.config_reverts);
        }
        Ok(true)
    }

    /// Makes an engine leave: either its load report says that it is draining, or the VM list
    /// reports its VM as leaving.
    pub(super) fn start_leaving(
        &mut self,
        kind: Kind,
        deployment: &mut Deployment,
    ) -> Result<bool, Error> {
        let (centre, number) = self.random_engine(deployment);
        let action = Action::FinishLeaving {
            since_ms: unix_ms(),
        };
        let watch_ms = LEAVING_WATCH_TIME.as_millis() as u64;
        if !self.reserve(Target::Engine(centre, number), watch_ms, action) {
            return Ok(false);
        }
        let engine = &mut deployment.data_centres[centre].engines[number];
        if kind == Kind::LeavingEngine {
            let drain = serde_json::json!({"draining": true});
            self.caller.post(&engine.url("/debug/drain"), &drain)?;
        } else {
            engine.is_leaving = true;
            deployment.publish_vms()?;
        }
        Ok(true)
    }
}
