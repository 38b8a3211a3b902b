//! News between daemons: each tells its work on the engines, so that none is sent to a busy one.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ragwortgrade_policy::gateway::{Sent, Share, Stage};
use ragwortgrade_schema::Name;
use tokio::net::UdpSocket;

use super::news::{News, Teller};
use super::shared::Shared;

/// Shortest pause between two datagrams of news: a fraction of the time of most prefills.
const PAUSE_MIN: Duration = Duration::from_millis(5);
/// Pause between two datagrams for each daemon that gets them, so that the cost stays bounded: at
/// most 3,300 datagrams a second.
const PAUSE_PER_PEER: Duration = Duration::from_micros(300);
/// Unchanged news are repeated this often, in case a datagram was lost: twice in their lifetime.
const REPEAT_PAUSE: Duration = Duration::from_millis(700);
/// Longest datagram that is read.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;

/// Who is told, and of what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Circle {
    /// All of a small fleet, or the daemons of the own data centre: all work.
    Near,
    /// The other data centres of a large fleet: work on prefill engines, which hold long parts for
    /// the whole fleet, and those parts.
    Far,
}

/// Exchanges news with the other daemons until the task is ended.
pub(super) async fn exchange(shared: Rc<Shared>, socket: UdpSocket) {
    let outlet = Outlet {
        shared: &shared,
        socket: &socket,
        started_ms: shared.clock.unix_ms(),
        sequence: Cell::new(0),
    };
    tokio::join!(
        outlet.send_news(Circle::Near),
        outlet.send_news(Circle::Far),
        receive_news(&shared, &socket)
    );
}

/// Sends this daemon's news.
struct Outlet<'a> {
    shared: &'a Shared,
    socket: &'a UdpSocket,
    started_ms: u64,
    /// Number of the last datagram, of either circle.
    sequence: Cell<u64>,
}

impl Outlet<'_> {
    /// Sends news as soon as the work changes, and repeats them.
    async fn send_news(&self, circle: Circle) {
        let mut changes = self.shared.work_changes();
        let mut last_sent = Vec::new();
        let mut sent_at = Instant::now();
        loop {
            let woken = tokio::time::timeout(REPEAT_PAUSE, changes.changed()).await;
            let addresses = self.addresses(circle);
            if addresses.is_empty() {
                continue;
            }
            let pause = PAUSE_MIN.max(PAUSE_PER_PEER * addresses.len() as u32);
            tokio::time::sleep(pause.saturating_sub(sent_at.elapsed())).await;
            changes.mark_unchanged();
            let work = self.work(circle);
            let parts = self.parts(circle);
            let is_repeat = work == last_sent && parts.is_empty();
            if is_repeat && (woken.is_ok() || work.is_empty()) {
                continue;
            }
            last_sent.clone_from(&work);
            sent_at = Instant::now();
            self.send(work, parts, &addresses);
        }
    }

    fn addresses(&self, circle: Circle) -> Vec<SocketAddr> {
        let peers = self.shared.peers.borrow();
        let data_centre = &self.shared.options.data_centre;
        match circle {
            Circle::Near => peers.near(data_centre),
            Circle::Far => peers.far(data_centre),
        }
    }

    fn work(&self, circle: Circle) -> Vec<(Name, Share)> {
        let registry = self.shared.registry.borrow();
        let is_prefill = |id: &Name| {
            let engine = registry.get(id);
            engine.is_some_and(|engine| engine.stage == Some(Stage::Prefill))
        };
        let mut work = self.shared.engines.borrow().own_shares(self.shared.now());
        work.retain(|(id, _)| circle == Circle::Near || is_prefill(id));
        work.sort_by(|left, right| left.0.cmp(&right.0));
        work
    }

    fn parts(&self, circle: Circle) -> Vec<Sent> {
        let mut engines = self.shared.engines.borrow_mut();
        match circle {
            Circle::Near => engines.take_untold(),
            Circle::Far => engines.take_untold_afar(),
        }
    }

    fn send(&self, work: Vec<(Name, Share)>, parts: Vec<Sent>, addresses: &[SocketAddr]) {
        self.sequence.set(self.sequence.get() + 1);
        let teller = Teller {
            daemon: self.shared.options.name.clone(),
            started_ms: self.started_ms,
        };
        let news = News::new(teller, self.sequence.get(), work, parts);
        let Ok(datagram) = postcard::to_allocvec(&news) else {
            return;
        };
        for address in addresses {
            // A datagram that is not sent is lost like any other; the next one replaces it.
            if let Err(error) = self.socket.try_send_to(&datagram, *address) {
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
        if !shared.peers.borrow_mut().is_newer(&news) {
            continue;
        }
        let now = shared.now();
        let mut engines = shared.engines.borrow_mut();
        engines.absorb(&news.teller.daemon, news.shares(), now);
        engines.absorb_parts(news.parts(), now);
    }
}
