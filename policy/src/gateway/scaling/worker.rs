use ragwortgrade_schema::Name;

use super::super::{Endpoint, EndpointState, Stage};

/// A registered worker, as far as its number and kind matter.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// Stage that it serves; `None` for a plain service.
    pub stage: Option<Stage>,
    /// Whether the platform may reclaim it.
    pub is_spot: bool,
    /// What it does.
    pub state: WorkerState,
    /// Work that it does in a given time, as a multiple of an engine of reference speed.
    pub speed: f64,
}

/// What a worker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It serves at full speed.
    Serving,
    /// It is registered and warms up.
    Starting,
    /// It ends its work and leaves.
    Draining,
    /// It ends its work within the platform's short notice.
    Reclaimed,
}

impl Worker {
    /// Returns the worker that runs as this endpoint. `is_warm` says whether its slow time after
    /// the start has passed.
    #[must_use]
    pub fn new(endpoint: &Endpoint, is_warm: bool, speed: f64) -> Self {
        let state = match endpoint.state {
            EndpointState::Draining if endpoint.leaves_in.is_some() => WorkerState::Reclaimed,
            EndpointState::Draining => WorkerState::Draining,
            EndpointState::Ready if is_warm => WorkerState::Serving,
            EndpointState::Ready => WorkerState::Starting,
        };
        Self {
            data_centre: endpoint.data_centre.clone(),
            stage: endpoint.stage,
            is_spot: endpoint.is_spot,
            state,
            speed,
        }
    }

    /// Returns whether it is not about to leave.
    #[must_use]
    pub const fn is_present(&self) -> bool {
        matches!(self.state, WorkerState::Serving | WorkerState::Starting)
    }
}
