//! `tarpc` service of the calls between daemons.
#![allow(
    missing_docs,
    clippy::pedantic,
    reason = "the macro's output has no documentation"
)]

use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ConfigurationAnswer, Gossip, Identity, Settled,
    StreamAnswer, StreamRequest, Trial,
};

#[tarpc::service]
pub(super) trait Service {
    async fn exchange(gossip: Gossip) -> Gossip;
    async fn claim(request: ClaimRequest) -> ClaimAnswer;
    async fn settle(outcome: ClaimOutcome) -> Settled;
    async fn stream(request: StreamRequest) -> StreamAnswer;
    async fn reserve_trial(trial: Trial) -> bool;
    async fn identity() -> Identity;
    async fn configuration(since: u64) -> ConfigurationAnswer;
}
