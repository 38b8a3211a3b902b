use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Fencing;

use crate::Instant;

use super::{Holder, HolderRecord, LeaseTiming};

/// Evidence about whether former holders still run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// The process at `address` has this incarnation.
    Answers {
        /// `ip:port` that was queried.
        address: String,
        /// Incarnation of the process that answered.
        incarnation: u64,
    },
    /// The platform's VM list contains exactly these entry VMs, live or leaving.
    Listed(Vec<Name>),
    /// An operator declared that this holder no longer runs.
    Declared(Holder),
}

impl Evidence {
    fn proves_gone(&self, former: &Holder) -> bool {
        match self {
            Self::Answers {
                address,
                incarnation,
            } => former.address == *address && former.incarnation != *incarnation,
            Self::Listed(vms) => former.listed && !vms.contains(&former.daemon),
            Self::Declared(gone) => former.is_same_run(gone),
        }
    }
}

/// Decides when a new holder may order an engine.
///
/// An engine that checks fencing tokens may be ordered at once. One that ignores them may be
/// ordered only once no former holder can send orders and none of their orders can still be
/// delivered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Takeover {
    timing: LeaseTiming,
    /// Former holders that may still run.
    former_holders: Vec<Holder>,
    /// Time after which no former holder sends orders, valid once `former_holders` is empty.
    clear_since: Instant,
}

impl Takeover {
    /// Starts the takeover for the holder that wrote `record`, at `now`.
    #[must_use]
    pub fn open(timing: LeaseTiming, record: &HolderRecord, now: Instant) -> Self {
        Self {
            timing,
            former_holders: record.former_holders.clone(),
            clear_since: now + timing.takeover_wait,
        }
    }

    /// Returns the former holders that may still run.
    #[must_use]
    pub fn former_holders(&self) -> &[Holder] {
        &self.former_holders
    }

    /// Removes and returns the former holders that `evidence` proves to be gone.
    pub fn apply_evidence(&mut self, evidence: &Evidence, now: Instant) -> Vec<Holder> {
        let is_gone = |former: &mut Holder| evidence.proves_gone(former);
        let gone: Vec<_> = self.former_holders.extract_if(.., is_gone).collect();
        if !gone.is_empty() {
            self.clear_since = self.clear_since.max(now);
        }
        gone
    }

    /// Returns whether an engine with this fencing declaration may be ordered at `now`.
    #[must_use]
    pub fn permits(&self, fencing: Fencing, now: Instant) -> bool {
        match fencing {
            Fencing::Checked => true,
            Fencing::Ignored => {
                self.former_holders.is_empty() && now >= self.clear_since + self.timing.delivery_max
            }
        }
    }
}
