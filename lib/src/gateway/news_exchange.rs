//! News between daemons: each tells its work on the engines, so that none is sent to a busy one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ragwortgrade_policy::gateway::Stage;
use ragwortgrade_schema::Name;
use tokio::net::UdpSocket;

use super::news::{News, Teller};
use super::shared::Shared;

/// Shortest pause between two datagrams of news: below the time of most prefills.
const NEWS_PAUSE_MIN: Duration = Duration::from_millis(20);
/// Pause between two datagrams for each peer that gets them, so that the cost stays flat.
const NEWS_PAUSE_PER_PEER: Duration = Duration::from_millis(2);
/// Unchanged news are repeated this often.
const NEWS_REPEAT: u32 = 25;
/// Pause between two sums of a data centre's work for the others. Their bytes are dear, and only the
/// homes of long parts are chosen by them, whose prompts take about this long.
const SUM_PAUSE: Duration = Duration::from_millis(150);
/// Longest datagram that is read.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;

/// Exchanges news with the other daemons until the task is ended.
pub(super) async fn exchange(shared: Rc<Shared>, socket: UdpSocket) {
    tokio::join!(
        send_news(&shared, &socket),
        send_sums(&shared, &socket),
        receive_news(&shared, &socket)
    );
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
        let teller = Teller {
            daemon: shared.options.name.clone(),
            started_ms,
            sum_of: None,
        };
        send(
            socket,
            &News::new(teller, sequence, work, parts),
            &addresses,
        );
    }
}

/// Tells other data centres the work of this one's daemons, in a large fleet.
async fn send_sums(shared: &Shared, socket: &UdpSocket) {
    let started_ms = shared.clock.unix_ms();
    let mut sequence = 0;
    loop {
        tokio::time::sleep(SUM_PAUSE).await;
        let own = (&shared.options.name, &shared.options.data_centre);
        let addresses = shared.peers.borrow().partners(own.0, own.1);
        if addresses.is_empty() {
            continue;
        }
        let work = {
            let registry = shared.registry.borrow();
            let is_told = |id: &Name| {
                let engine = registry.get(id);
                engine.is_some_and(|engine| engine.stage == Some(Stage::Prefill))
            };
            shared.engines.borrow().data_centre_shares(is_told)
        };
        let parts = shared.engines.borrow_mut().take_untold_afar();
        sequence += 1;
        let teller = Teller {
            daemon: own.0.clone(),
            started_ms,
            sum_of: Some(own.1.clone()),
        };
        send(
            socket,
            &News::new(teller, sequence, work, parts),
            &addresses,
        );
    }
}

fn send(socket: &UdpSocket, news: &News, addresses: &[SocketAddr]) {
    let Ok(datagram) = postcard::to_allocvec(news) else {
        return;
    };
    for address in addresses {
        // A datagram that is not sent is lost like any other; the next one replaces it.
        if let Err(error) = socket.try_send_to(&datagram, *address) {
            log::debug!(peer:% = address, error:% = error; "news could not be sent");
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
        let work = news.shares();
        let teller = news.teller.clone();
        if let Some(data_centre) = &teller.sum_of {
            engines.absorb_sum(data_centre, work, now);
            engines.absorb_parts_afar(news.parts(), now);
        } else {
            engines.absorb(&teller.daemon, work, now);
            engines.absorb_parts(news.parts(), now);
        }
    }
}
