use std::sync::Arc;

use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ConfigurationAnswer, Gossip, Identity, Settled,
    StreamAnswer, StreamRequest, Trial,
};

use crate::Node;
use crate::claims::Claims;
use crate::configuration::Replica;
use crate::front::ReplayBuffers;
use crate::gossip::Gossiper;
use crate::membership::Table;
use crate::peer::{Handler, Network};
use crate::trial::Trials;

/// Dispatches calls from other daemons to the components that handle them.
#[derive(Debug)]
pub(super) struct Dispatcher {
    gossiper: Arc<Gossiper>,
    claims: Arc<Claims>,
    replay_buffers: Arc<ReplayBuffers>,
    trials: Arc<Trials>,
    replica: Arc<Replica>,
}

impl Dispatcher {
    pub(super) fn open(
        node: Arc<Node>,
        table: Arc<Table>,
        network: Arc<Network>,
        claims: Arc<Claims>,
        replay_buffers: Arc<ReplayBuffers>,
        trials: Arc<Trials>,
        replica: Arc<Replica>,
    ) -> Self {
        let hooks = Arc::<Replica>::clone(&replica);
        let gossiper = Gossiper::open(node, table, network, Arc::clone(&trials), hooks);
        Self {
            gossiper: Arc::new(gossiper),
            claims,
            replay_buffers,
            trials,
            replica,
        }
    }

    pub(super) fn gossiper(&self) -> &Arc<Gossiper> {
        &self.gossiper
    }
}

impl Handler for Dispatcher {
    fn exchange(&self, gossip: Gossip) -> Gossip {
        self.gossiper.exchange(gossip)
    }

    fn claim(&self, request: ClaimRequest) -> ClaimAnswer {
        self.claims.claim(&request)
    }

    fn settle(&self, outcome: ClaimOutcome) -> Settled {
        self.claims.settle(&outcome)
    }

    fn stream(&self, request: StreamRequest) -> StreamAnswer {
        self.replay_buffers.replay(&request)
    }

    fn reserve_trial(&self, trial: Trial) -> bool {
        self.trials.reserve(&trial)
    }

    fn identity(&self) -> Identity {
        self.gossiper.identity()
    }

    fn configuration(&self, since: u64) -> ConfigurationAnswer {
        self.replica.answer(since)
    }
}
