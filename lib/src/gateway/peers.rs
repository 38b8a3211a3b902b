use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_schema::Name;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::follower::{Sink, follow};
use super::news::News;
use super::shared::Shared;
use super::{Item, StoreError, Update};

/// Prefix of the keys under which daemons register themselves.
const PREFIX: &str = "ragwortgrade/daemons/";
/// Time after which the registration of a daemon that is gone is removed.
const REGISTRATION_TTL: Duration = Duration::from_secs(10);
/// Pause between renewals. A renewal costs a tenth of a call and shows whether the store answers;
/// the operators allow about 3 s until a daemon follows them again after an outage.
const RENEWAL_PAUSE: Duration = Duration::from_secs(1);
/// Longest time of a renewal; a slow store takes 200 ms.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause between renewals and their longest time while the store does not answer: its return must
/// be noticed early, since what lapsed has 2 s from then on.
const PROBE_PAUSE: Duration = Duration::from_millis(200);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two reads of the daemons' registrations.
const READ_PAUSE: Duration = Duration::from_secs(4);
/// Shortest pause between two datagrams of news: below the time of most prefills.
const NEWS_PAUSE_MIN: Duration = Duration::from_millis(20);
/// Pause between two datagrams for each peer that gets them, so that the cost stays flat.
const NEWS_PAUSE_PER_PEER: Duration = Duration::from_millis(2);
/// Unchanged news are repeated this often.
const NEWS_REPEAT: u32 = 25;
/// Daemons up to which everyone tells everyone. In a larger fleet the engines of a data centre are
/// used by its own daemons, and only they tell each other.
const EVERYONE_MAX: usize = 16;
/// Longest datagram that is read.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;

/// Registration of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Registration {
    address: SocketAddr,
    data_centre: Name,
}

/// The other daemons.
#[derive(Debug, Default)]
pub(super) struct Peers {
    registered: HashMap<Name, Registration>,
    /// Newest datagram of each daemon: start of its process and number.
    newest: HashMap<Name, (u64, u64)>,
}

impl Peers {
    /// Returns where news are sent.
    fn addresses(&self, data_centre: &Name) -> Vec<SocketAddr> {
        let is_small = self.registered.len() <= EVERYONE_MAX;
        let told = self
            .registered
            .values()
            .filter(|peer| is_small || peer.data_centre == *data_centre);
        told.map(|peer| peer.address).collect()
    }

    /// Tells whether a datagram is newer than those that came before.
    fn is_newer(&mut self, news: &News) -> bool {
        let number = (news.started_ms, news.sequence);
        match self.newest.get_mut(&news.daemon) {
            Some(newest) if *newest >= number => false,
            Some(newest) => {
                *newest = number;
                true
            }
            None => {
                self.newest.insert(news.daemon.clone(), number);
                true
            }
        }
    }
}

/// Registers this daemon until the task is ended, and notices when the store is away.
pub(super) async fn register(shared: Rc<Shared>, address: SocketAddr) {
    let key = format!("{PREFIX}{}", shared.options.name);
    let registration = Registration {
        address,
        data_centre: shared.options.data_centre.clone(),
    };
    let value = serde_json::to_vec(&registration).unwrap_or_default();
    let mut outage = Outage {
        shared: &shared,
        is_lost: false,
    };
    while !shared.is_stopping() {
        if let Err(error) = keep_registered(&shared, &key, &value, &mut outage).await {
            log::info!(error:% = error; "registration ended; registering again");
            if !matches!(error, StoreError::LeaseEnded) {
                outage.begin(&error);
            }
        }
        tokio::time::sleep(outage.pause()).await;
    }
}

async fn keep_registered(
    shared: &Shared,
    key: &str,
    value: &[u8],
    outage: &mut Outage<'_>,
) -> Result<(), StoreError> {
    let store = &shared.options.store;
    let lease = store.grant(REGISTRATION_TTL).await?;
    outage.end();
    store.put(key, value, lease).await?;
    shared.registration.set(Some(lease));
    loop {
        tokio::time::sleep(outage.pause()).await;
        match store.renew(lease, outage.timeout()).await {
            Ok(()) => outage.end(),
            Err(StoreError::LeaseEnded) => {
                outage.end();
                return Err(StoreError::LeaseEnded);
            }
            Err(error) => outage.begin(&error),
        }
    }
}

/// Whether the store answers this daemon, as the calls for its registration show.
#[derive(Debug)]
struct Outage<'a> {
    shared: &'a Shared,
    is_lost: bool,
}

impl Outage<'_> {
    fn begin(&mut self, error: &StoreError) {
        if !self.is_lost {
            log::warn!(error:% = error; "store does not answer a call of the registration");
            self.shared.registry.borrow_mut().source_lost();
        }
        self.is_lost = true;
    }

    fn end(&mut self) {
        if !self.is_lost {
            return;
        }
        self.is_lost = false;
        log::info!("store answers the registration again");
        let now = self.shared.now();
        self.shared.registry.borrow_mut().source_back(now);
        self.shared.end_outage();
    }

    /// Returns the time until the next renewal.
    const fn pause(&self) -> Duration {
        if self.is_lost {
            PROBE_PAUSE
        } else {
            RENEWAL_PAUSE
        }
    }

    /// Returns the longest time of the next renewal.
    const fn timeout(&self) -> Duration {
        if self.is_lost {
            PROBE_TIMEOUT
        } else {
            RENEWAL_TIMEOUT
        }
    }
}

/// Follows the registrations of the other daemons until the task is ended.
pub(super) async fn follow_peers(shared: Rc<Shared>) {
    let store = Rc::clone(&shared.options.store);
    let sink = PeerSink {
        shared: Rc::clone(&shared),
    };
    follow(&shared, &*store, PREFIX, READ_PAUSE, &sink).await;
}

struct PeerSink {
    shared: Rc<Shared>,
}

impl PeerSink {
    fn take(&self, item: &Item) {
        let Some(name) = item.key.strip_prefix(PREFIX) else {
            return;
        };
        if *name == *self.shared.options.name {
            return;
        }
        let parsed = item
            .value
            .as_ref()
            .and_then(|value| serde_json::from_slice::<Registration>(value).ok());
        match parsed {
            Some(registration) => {
                let mut peers = self.shared.peers.borrow_mut();
                peers.registered.insert(name.into(), registration);
            }
            None => log::warn!(daemon = name; "registration of a daemon cannot be read"),
        }
    }
}

impl Sink for PeerSink {
    fn listed(&self, items: Vec<Item>) {
        self.shared.peers.borrow_mut().registered.clear();
        for item in &items {
            self.take(item);
        }
        let daemons = self.shared.peers.borrow().registered.len();
        log::info!(daemons = daemons; "other daemons listed");
    }

    fn changed(&self, update: Update) {
        match update {
            Update::Written(item) => self.take(&item),
            Update::Removed(key) => {
                if let Some(name) = key.strip_prefix(PREFIX) {
                    let name = Name::from(name);
                    self.shared.peers.borrow_mut().registered.remove(&name);
                }
            }
        }
    }

    fn lost(&self) {}

    fn back(&self) {}
}

/// Exchanges news with the other daemons until the task is ended.
pub(super) async fn exchange(shared: Rc<Shared>, socket: UdpSocket) {
    tokio::join!(send_news(&shared, &socket), receive_news(&shared, &socket));
}

async fn send_news(shared: &Shared, socket: &UdpSocket) {
    let started_ms = shared.clock.unix_ms();
    let mut sequence = 0;
    let mut last_sent = Vec::new();
    let mut unchanged = 0;
    loop {
        let addresses = shared.peers.borrow().addresses(&shared.options.data_centre);
        let pause = NEWS_PAUSE_PER_PEER * addresses.len() as u32;
        tokio::time::sleep(pause.max(NEWS_PAUSE_MIN)).await;
        let mut work = shared.engines.borrow().own_shares();
        work.sort_by(|left, right| left.0.cmp(&right.0));
        let parts = shared.engines.borrow_mut().take_untold();
        unchanged = if work == last_sent && parts.is_empty() {
            unchanged + 1
        } else {
            0
        };
        if unchanged % NEWS_REPEAT != 0 {
            continue;
        }
        last_sent.clone_from(&work);
        sequence += 1;
        let news = News::new(
            shared.options.name.clone(),
            started_ms,
            sequence,
            work,
            parts,
        );
        let Ok(datagram) = postcard::to_allocvec(&news) else {
            continue;
        };
        for address in addresses {
            // A datagram that is not sent is lost like any other; the next one replaces it.
            if let Err(error) = socket.try_send_to(&datagram, address) {
                log::debug!(peer:% = address, error:% = error; "news could not be sent");
            }
        }
    }
}

async fn receive_news(shared: &Shared, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!(error:% = error; "news could not be received");
                continue;
            }
        };
        let Ok(news) = postcard::from_bytes::<News>(&buffer[..length]) else {
            shared.metrics.count("news.unreadable", 1);
            continue;
        };
        if shared.peers.borrow_mut().is_newer(&news) {
            let now = shared.now();
            let mut engines = shared.engines.borrow_mut();
            engines.absorb(&news.daemon, news.shares(), now);
            engines.absorb_parts(news.parts, now);
        }
    }
}
