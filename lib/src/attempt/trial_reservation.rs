use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{Strike, Trial};

use crate::Node;
use crate::peer::Peers;
use crate::trial::Trials;
use crate::worker::Worker;

/// Time after which a reservation expires unless it is renewed.
const RESERVATION_TIME: Duration = Duration::from_secs(10);
const RENEWAL_PERIOD: Duration = Duration::from_secs(3);

/// Reservation of an endpoint for a trial at all reachable daemons of the data centre, renewed
/// until it is dropped.
#[derive(Debug)]
pub(crate) struct TrialReservation {
    client: ReservationClient,
    _worker: Worker,
}

#[derive(Clone, Debug)]
struct ReservationClient {
    node: Arc<Node>,
    peers: Arc<dyn Peers>,
    trials: Arc<Trials>,
    endpoint: Name,
    holder: Name,
}

impl TrialReservation {
    /// Reserves an endpoint; `None` when another request with a strike runs on it or the thread
    /// that renews the reservation cannot be started.
    pub(crate) fn open(
        node: &Arc<Node>,
        peers: &Arc<dyn Peers>,
        trials: &Arc<Trials>,
        endpoint: &Name,
        request: u64,
        strikes: Vec<Strike>,
    ) -> Option<Self> {
        let client = ReservationClient {
            node: Arc::clone(node),
            peers: Arc::clone(peers),
            trials: Arc::clone(trials),
            endpoint: endpoint.clone(),
            holder: Name::from(format!("{}/{request}", node.settings.daemon.id)),
        };
        if !client.request_all(RESERVATION_TIME, strikes) {
            client.request_all(Duration::ZERO, Vec::new());
            return None;
        }
        let renewing_client = client.clone();
        // The worker runs the job at once, when the reservation has just been made.
        let mut is_first = true;
        let spawned = Worker::spawn("trial", move || {
            if !std::mem::take(&mut is_first)
                && !renewing_client.request_all(RESERVATION_TIME, Vec::new())
            {
                log::warn!(
                    endpoint:% = renewing_client.endpoint;
                    "reservation for a trial was not renewed"
                );
            }
            RENEWAL_PERIOD
        });
        match spawned {
            Ok(worker) => Some(Self {
                client,
                _worker: worker,
            }),
            Err(error) => {
                log::warn!("cannot spawn a thread to renew a trial: {error}");
                client.request_all(Duration::ZERO, Vec::new());
                None
            }
        }
    }

    /// Sends the strikes of the trial to all daemons of the data centre and ends the reservation.
    pub(crate) fn release(self, strikes: Vec<Strike>) {
        self.client.request_all(Duration::ZERO, strikes);
    }
}

impl ReservationClient {
    /// Requests the reservation from this daemon and all others of the data centre, and returns
    /// whether they confirmed it; a daemon that cannot be reached counts as confirming. A `time` of
    /// zero ends the reservation.
    fn request_all(&self, time: Duration, strikes: Vec<Strike>) -> bool {
        let trial = Trial {
            endpoint: self.endpoint.clone(),
            for_ms: time.as_millis() as u64,
            holder: self.holder.clone(),
            strikes,
        };
        if !self.trials.reserve(&trial) {
            return false;
        }
        let own = &self.node.settings.daemon;
        let others: Vec<Name> = self
            .peers
            .members()
            .into_iter()
            .map(|member| member.identity)
            .filter(|daemon| daemon.data_centre == own.data_centre && daemon.id != own.id)
            .map(|daemon| daemon.id)
            .collect();
        thread::scope(|scope| {
            let requests: Vec<_> = others
                .iter()
                .map(|daemon| scope.spawn(|| self.peers.reserve_trial(daemon, &trial)))
                .collect();
            requests
                .into_iter()
                .all(|request| !matches!(request.join(), Ok(Ok(false))))
        })
    }
}
