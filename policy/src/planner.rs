use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{Role, Want};

use crate::fleet::Member;
use crate::{CostModel, Fleet, Instant};

mod forecast;
mod group;

use forecast::Forecast;
use group::Group;

/// Plans the roles and model versions of the engines of one data centre. Adapters stay as they are.
///
/// The holder of the data centre's control lease calls it regularly and turns each change into an
/// order.
#[derive(Debug)]
pub struct Planner {
    change_interval: Duration,
    cost: CostModel,
    /// Fraction of an engine that this data centre adds to its number of prefill engines; see
    /// [`Planner::staggered`].
    prefill_offset: f64,
    /// Time of the latest change of each engine, of its role or of its model versions.
    changed: HashMap<Name, Instant>,
    /// Latest role change of each group of engines, by the group's first model.
    last_changes: HashMap<Name, RoleChange>,
    /// Role change that has been worthwhile without interruption and since when, for each group. It
    /// is kept when the change is ordered and while no engine can be spared.
    pending_changes: HashMap<Name, RoleChange>,
}

/// Direction and time of a role change.
#[derive(Clone, Copy, Debug)]
struct RoleChange {
    to_prefill: bool,
    at: Instant,
}

/// A change that one engine should make.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Engine to change.
    pub engine: Name,
    /// Desired state of the engine.
    pub want: Want,
    /// Reason, for the decision's log line.
    pub reason: String,
}

impl Planner {
    /// Expected duration of a shift in the request mix, which changes within minutes.
    const MIX_SHIFT_DURATION: Duration = Duration::from_mins(1);
    /// Time within which a change in the other direction counts as a reversal.
    const REVERSAL_WINDOW: Duration = Duration::from_secs(90);
    /// Factor by which the gain of a reversal must exceed that of a change.
    const REVERSAL_FACTOR: f64 = 3.0;
    /// Time for which a change must have been worthwhile without interruption, as a guard against
    /// noise.
    const SUSTAINED_MIN: Duration = Duration::from_secs(15);
    /// Fraction of the engines that start as prefill engines. It exceeds the 28% of the work that
    /// is prefill because an engine returns to decoding in seconds but drains for up to 20 s before
    /// it becomes a prefill engine.
    const INITIAL_PREFILL_FRACTION: f64 = 0.36;

    /// Creates a planner that changes the role of an engine to suit the demand at the earliest
    /// `change_interval` after the engine's latest change. Declared roles and model versions are
    /// ordered without that interval.
    #[must_use]
    pub fn open(change_interval: Duration) -> Self {
        Self::open_with(change_interval, CostModel::default())
    }

    /// Creates a planner for engines with the speeds of `cost`.
    #[must_use]
    pub fn open_with(change_interval: Duration, cost: CostModel) -> Self {
        Self {
            change_interval,
            cost,
            prefill_offset: 0.0,
            changed: HashMap::new(),
            last_changes: HashMap::new(),
            pending_changes: HashMap::new(),
        }
    }

    /// Makes this data centre the `index`th of `count` that share the load.
    ///
    /// Data centres that see the same mix would all round the number of prefill engines in the same
    /// direction. Each adds a different fraction of an engine, so that their sum is rounded once.
    #[must_use]
    pub fn staggered(mut self, index: usize, count: usize) -> Self {
        let count = count.max(1) as f64;
        self.prefill_offset = (index as f64 + 0.5) / count - 0.5;
        self
    }

    /// Returns the number of prefill engines among `engines` before any demand is known.
    #[must_use]
    pub fn initial_prefill(engines: usize) -> usize {
        (engines as f64 * Self::INITIAL_PREFILL_FRACTION).round() as usize
    }

    /// Returns the changes to order now; usually none.
    pub fn plan(&mut self, fleet: &Fleet<'_>, now: Instant) -> Vec<Change> {
        let groups = Group::by_models(fleet);
        let changes = groups.iter().filter_map(|group| {
            let declared = group.declared_change(fleet);
            declared.or_else(|| self.role_change(group, fleet, now))
        });
        let changes: Vec<_> = changes.collect();
        for change in &changes {
            self.changed.insert(change.engine.clone(), now);
        }
        changes
    }

    /// Returns the role change with the highest gain, if its gain has exceeded the threshold for
    /// [`Planner::SUSTAINED_MIN`].
    fn role_change(
        &mut self,
        group: &Group<'_>,
        fleet: &Fleet<'_>,
        now: Instant,
    ) -> Option<Change> {
        if !group.can_spare_engine() {
            return None;
        }
        let forecast = Forecast::new(group, &self.cost, self.prefill_offset);
        let weight = fleet.configuration.policy.role_change_weight;
        let options = [true, false].into_iter().filter_map(|to_prefill| {
            let member = self.choose(group, to_prefill, now)?;
            let gain = if to_prefill && group.has_lost_prefill() {
                f64::INFINITY
            } else {
                forecast.gain(to_prefill, Self::MIX_SHIFT_DURATION)
            };
            (gain > self.threshold(group, to_prefill, weight, now))
                .then_some((gain, to_prefill, member))
        });
        let best = options.max_by(|left, right| left.0.total_cmp(&right.0));
        let Some((gain, to_prefill, member)) = best else {
            self.pending_changes.remove(&group.key());
            return None;
        };
        let role_change = RoleChange {
            to_prefill,
            at: now,
        };
        let pending = self
            .pending_changes
            .entry(group.key())
            .or_insert(role_change);
        if pending.to_prefill != to_prefill {
            *pending = role_change;
        }
        if now.since(pending.at) < Self::SUSTAINED_MIN {
            return None;
        }
        self.last_changes.insert(group.key(), role_change);
        let role = if to_prefill {
            Role::Prefill
        } else {
            Role::Decode
        };
        Some(Change {
            engine: member.load.engine.clone(),
            want: Want {
                adapters: member.load.adapters.clone(),
                models: member.load.models.clone(),
                role,
            },
            reason: format!("{forecast}, expected gain {gain:.0} requests"),
        })
    }

    /// Returns the number of additional requests within their deadline that a change must gain.
    /// Reversals need more (hysteresis).
    fn threshold(&self, group: &Group<'_>, to_prefill: bool, weight: f64, now: Instant) -> f64 {
        let is_reversal = self.last_changes.get(&group.key()).is_some_and(|last| {
            last.to_prefill != to_prefill && now.since(last.at) < Self::REVERSAL_WINDOW
        });
        if is_reversal {
            weight * Self::REVERSAL_FACTOR
        } else {
            weight
        }
    }

    /// Returns the engine that can leave its role soonest: the one with the least work.
    fn choose<'f>(&self, group: &Group<'f>, to_prefill: bool, now: Instant) -> Option<&'f Member> {
        let eligible = group.with_role(!to_prefill).filter(|member| {
            let last_change = self.changed.get(&member.load.engine);
            last_change.is_none_or(|at| now.since(*at) >= self.change_interval)
        });
        // The last engine of a role is not changed: without a prefill engine, every long prompt
        // exceeds the gap limit, and without a decode engine no request is answered.
        if group.count(!to_prefill) < 2 {
            return None;
        }
        eligible.min_by_key(|member| (member.load.sequences, member.load.queued_prefill_tokens))
    }
}
