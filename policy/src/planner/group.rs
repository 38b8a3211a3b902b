use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{Role, Version, Want};

use super::Change;
use crate::Fleet;
use crate::fleet::{Demand, Member};

/// Engines of a data centre that run the same models, and the demand for these models.
#[derive(Debug)]
pub(super) struct Group<'f> {
    members: Vec<&'f Member>,
    pub(super) demand: Demand,
    /// Minimum number of engines in service.
    floor: u32,
    /// For each member, whether the configuration declares its role.
    has_declared_role: Vec<bool>,
}

impl<'f> Group<'f> {
    /// Smallest group in which one engine prefills for the others.
    const ENGINES_MIN_FOR_PREFILL: usize = 3;

    /// Groups the engines of a fleet by their models.
    pub(super) fn by_models(fleet: &'f Fleet<'_>) -> Vec<Self> {
        let mut groups: Vec<Self> = Vec::new();
        for member in &fleet.engines {
            let models = &member.load.models;
            let runs_same_models = |group: &&mut Self| group.models() == models.as_slice();
            match groups.iter_mut().find(runs_same_models) {
                Some(group) => group.members.push(member),
                None => groups.push(Self::new(member, fleet)),
            }
        }
        for group in &mut groups {
            let has_declared_role = |member: &&Member| {
                let declared = fleet.configuration.endpoints.get(&*member.load.engine);
                declared.is_some_and(|endpoint| endpoint.role.is_some())
            };
            group.has_declared_role = group.members.iter().map(has_declared_role).collect();
        }
        groups
    }

    fn new(first: &'f Member, fleet: &Fleet<'_>) -> Self {
        let mut demand = Demand {
            model: Name::default(),
            prefill_tokens_per_second: 0.0,
            squared_prefill_tokens_per_second: 0.0,
            output_tokens_per_second: 0.0,
            requests_per_second: 0.0,
            missed_per_second: 0.0,
        };
        let mut floor = 0;
        for model in &first.load.models {
            for of_model in fleet.demand.iter().filter(|it| it.model == model.name) {
                demand.add(of_model);
            }
            let declared = fleet.configuration.models.get(&*model.name);
            floor = floor.max(declared.map_or(0, |declared| declared.floor));
        }
        Self {
            members: vec![first],
            demand,
            floor,
            has_declared_role: Vec::new(),
        }
    }

    /// Returns the name by which the planner identifies the group.
    pub(super) fn key(&self) -> Name {
        let first = self.models().first();
        first.map_or_else(Name::default, |model| model.name.clone())
    }

    fn models(&self) -> &[Version] {
        self.members.first().map_or(&[], |it| &it.load.models)
    }

    fn is_in_service(member: &Member) -> bool {
        !member.is_unavailable
            && !member.has_pending_order
            && !member.load.changing
            && !member.load.draining
    }

    /// Returns whether no change is in progress and the floor permits one more engine out of
    /// service.
    pub(super) fn can_spare_engine(&self) -> bool {
        let is_changing = |member: &&&Member| {
            !member.is_unavailable && (member.has_pending_order || member.load.changing)
        };
        let serving = self
            .members
            .iter()
            .filter(|it| Self::is_in_service(it))
            .count();
        self.members.iter().filter(is_changing).count() == 0 && serving > self.floor as usize
    }

    /// Returns whether an engine is draining, no other engine has the prefill role, and enough
    /// engines remain to replace one. An engine that crashed counts as remaining, since it returns
    /// in its role.
    pub(super) fn has_lost_prefill(&self) -> bool {
        let is_staying = |member: &&&Member| !member.load.draining;
        let staying = || self.members.iter().filter(is_staying);
        let has_no_prefill = !staying().any(|member| member.load.role == Role::Prefill);
        let has_departures = staying().count() < self.members.len();
        has_no_prefill && has_departures && staying().count() >= Self::ENGINES_MIN_FOR_PREFILL
    }

    /// Returns the engines in service without a declared role: those that prefill for others
    /// (`is_prefill`), or those that decode.
    pub(super) fn with_role(&self, is_prefill: bool) -> impl Iterator<Item = &'f Member> {
        let members = self.members.iter().zip(&self.has_declared_role);
        members
            .filter(move |(member, has_declared_role)| {
                !**has_declared_role
                    && Self::is_in_service(member)
                    && (member.load.role == Role::Prefill) == is_prefill
            })
            .map(|(member, _)| *member)
    }

    /// Returns the number of engines in service that prefill for others (`is_prefill`) or that
    /// decode, including those with a declared role.
    pub(super) fn count(&self, is_prefill: bool) -> usize {
        let members = self.members.iter();
        members
            .filter(|it| Self::is_in_service(it) && (it.load.role == Role::Prefill) == is_prefill)
            .count()
    }

    /// Returns the change for one engine whose role or model version differs from the declared one.
    pub(super) fn declared_change(&self, fleet: &Fleet<'_>) -> Option<Change> {
        if !self.can_spare_engine() {
            return None;
        }
        let mut serving = self.members.iter().filter(|it| Self::is_in_service(it));
        serving.find_map(|member| Self::declared_difference(member, fleet))
    }

    fn declared_difference(member: &Member, fleet: &Fleet<'_>) -> Option<Change> {
        let endpoint = fleet.configuration.endpoints.get(&*member.load.engine);
        let role = endpoint.and_then(|endpoint| endpoint.role);
        let role = role.map_or(member.load.role, Self::engine_role);
        let replacement_version = |version: &Version| {
            let declared = fleet.configuration.models.get(&*version.name)?;
            let is_declared = declared.versions.contains(&version.version);
            let newest = declared.versions.last().filter(|_| !is_declared)?;
            Some(newest.clone())
        };
        let mut models = member.load.models.clone();
        for model in &mut models {
            if let Some(version) = replacement_version(model) {
                model.version = version;
            }
        }
        if role == member.load.role && models == member.load.models {
            return None;
        }
        Some(Change {
            engine: member.load.engine.clone(),
            want: Want {
                adapters: member.load.adapters.clone(),
                models,
                role,
            },
            reason: "the declared role or version differs".to_owned(),
        })
    }

    fn engine_role(role: ragwortgrade_schema::configuration::Role) -> Role {
        use ragwortgrade_schema::configuration::Role as Declared;
        match role {
            Declared::Prefill => Role::Prefill,
            Declared::Decode => Role::Decode,
            Declared::Mixed => Role::Mixed,
        }
    }
}
