use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use ragwortgrade_policy::membership::Roster;
use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ConfigurationAnswer, Gossip, Identity, Member,
    Settled, StreamAnswer, StreamRequest, Trial,
};
use tarpc::client::{self, RpcError};
use tarpc::context::{self, Context};
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;
use tokio_serde::formats::Json;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::lock::lock;

use super::counting_stream::CountingStream;
use super::server::Server;
use super::service::{Service as _, ServiceClient};
use super::{Error, Handler, Keyring, Peers, handshake};

/// Timeout of calls that are answered from memory, such as a gossip exchange.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of calls that may wait for a group commit at the platform, whose calls take up to 2 s.
/// Also used for the configuration.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// A whole configuration document is at most 1 MB before JSON escapes.
const FRAME_BYTES_MAX: usize = 4 << 20;
/// Handshake frames contain only names, nonces and HMACs. The limit bounds the memory that an
/// unauthenticated peer can occupy.
const HANDSHAKE_FRAME_BYTES_MAX: usize = 4 << 10;
/// Maximum number of concurrent handshakes; a fleet of 400 daemons opens far fewer.
const HANDSHAKES_MAX: usize = 256;
/// Threads for socket I/O only; handlers run on the blocking pool.
const RUNTIME_THREADS: usize = 2;
const BLOCKING_THREADS_MAX: usize = 64;

type Frames = Framed<CountingStream<TcpStream>, LengthDelimitedCodec>;

/// Connections to other daemons, and the listener for connections from them.
pub struct Network {
    own: Name,
    address: SocketAddr,
    keyring: Keyring,
    roster: Arc<Mutex<Roster>>,
    clients: Mutex<HashMap<String, ServiceClient>>,
    bytes: Arc<AtomicU64>,
    listener: Mutex<Option<std::net::TcpListener>>,
    runtime: Runtime,
}

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Network")
            .field("own", &self.own)
            .finish_non_exhaustive()
    }
}

impl Network {
    /// Binds the listener; [`Self::serve`] starts to accept connections.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the runtime cannot start.
    pub fn bind(
        own: Name,
        address: &str,
        keyring: Keyring,
        roster: Arc<Mutex<Roster>>,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .max_blocking_threads(BLOCKING_THREADS_MAX)
            .thread_name("peer")
            .enable_all()
            .build()?;
        Ok(Self {
            own,
            address: listener.local_addr()?,
            keyring,
            roster,
            clients: Mutex::default(),
            bytes: Arc::default(),
            listener: Mutex::new(Some(listener)),
            runtime,
        })
    }

    /// Starts to accept connections and to pass calls to `handler`; later calls do nothing.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be handed to the runtime.
    pub fn serve(&self, handler: Arc<dyn Handler>) -> io::Result<()> {
        let Some(listener) = lock(&self.listener).take() else {
            return Ok(());
        };
        let _entered = self.runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let acceptor = Acceptor {
            own: self.own.clone(),
            keyring: self.keyring.clone(),
            bytes: Arc::clone(&self.bytes),
            handshakes: Arc::new(Semaphore::new(HANDSHAKES_MAX)),
            server: Server { handler },
        };
        self.runtime.spawn(acceptor.accept(listener));
        Ok(())
    }

    /// Returns the bound address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the total of bytes sent to and received from other daemons.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Exchanges gossip with the daemon at an address.
    ///
    /// # Errors
    ///
    /// Fails when no connection to a daemon can be opened there, or it does not answer within a
    /// second.
    pub fn exchange(&self, address: &str, gossip: Gossip) -> Result<Gossip, Error> {
        self.call(address, SHORT_TIMEOUT, async |client, context| {
            client.exchange(context, gossip).await
        })
    }

    fn call<A>(
        &self,
        address: &str,
        timeout: Duration,
        rpc: impl AsyncFnOnce(ServiceClient, Context) -> Result<A, RpcError>,
    ) -> Result<A, Error> {
        let answer = self.runtime.block_on(async {
            let client = self.client(address).await?;
            let mut context = context::current();
            context.deadline = Instant::now() + timeout;
            rpc(client, context)
                .await
                .map_err(|error| error.to_string())
        });
        answer.map_err(|reason| {
            // The next call opens a new connection.
            lock(&self.clients).remove(address);
            Error::NoAnswer {
                daemon: address.to_owned(),
                reason,
            }
        })
    }

    async fn client(&self, address: &str) -> Result<ServiceClient, String> {
        if let Some(client) = lock(&self.clients).get(address) {
            return Ok(client.clone());
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_elapsed| "connection timed out".to_owned())?
            .map_err(|error| error.to_string())?;
        let mut frames = frames(stream, Arc::clone(&self.bytes)).map_err(|e| e.to_string())?;
        let opening = handshake::open(&mut frames, &self.own, &self.keyring);
        tokio::time::timeout(HANDSHAKE_TIMEOUT, opening)
            .await
            .map_err(|_elapsed| "handshake timed out".to_owned())?
            .map_err(|error| error.to_string())?;
        frames.codec_mut().set_max_frame_length(FRAME_BYTES_MAX);
        let transport = serde_transport::new(frames, Json::default());
        let client = ServiceClient::new(client::Config::default(), transport).spawn();
        lock(&self.clients).insert(address.to_owned(), client.clone());
        Ok(client)
    }

    fn address_of(&self, daemon: &Name) -> Result<String, Error> {
        if *daemon == self.own {
            return Ok(self.address.to_string());
        }
        lock(&self.roster)
            .get(daemon)
            .map(|member| member.address.clone())
            .ok_or_else(|| Error::Unknown {
                daemon: daemon.to_string(),
            })
    }
}

impl Peers for Network {
    fn members(&self) -> Vec<Member> {
        lock(&self.roster).live()
    }

    fn claim(&self, daemon: &Name, request: &ClaimRequest) -> Result<ClaimAnswer, Error> {
        let address = self.address_of(daemon)?;
        self.call(&address, CLAIM_TIMEOUT, async |client, context| {
            client.claim(context, request.clone()).await
        })
    }

    fn settle(&self, daemon: &Name, outcome: &ClaimOutcome) -> Result<Settled, Error> {
        let address = self.address_of(daemon)?;
        self.call(&address, CLAIM_TIMEOUT, async |client, context| {
            client.settle(context, outcome.clone()).await
        })
    }

    fn stream(&self, daemon: &Name, request: &StreamRequest) -> Result<StreamAnswer, Error> {
        let address = self.address_of(daemon)?;
        self.call(&address, SHORT_TIMEOUT, async |client, context| {
            client.stream(context, request.clone()).await
        })
    }

    fn reserve_trial(&self, daemon: &Name, trial: &Trial) -> Result<bool, Error> {
        let address = self.address_of(daemon)?;
        self.call(&address, SHORT_TIMEOUT, async |client, context| {
            client.reserve_trial(context, trial.clone()).await
        })
    }

    fn identity(&self, address: &str) -> Result<Identity, Error> {
        self.call(address, SHORT_TIMEOUT, async |client, context| {
            client.identity(context).await
        })
    }

    fn configuration(&self, daemon: &Name, since: u64) -> Result<ConfigurationAnswer, Error> {
        let address = self.address_of(daemon)?;
        self.call(&address, CLAIM_TIMEOUT, async |client, context| {
            client.configuration(context, since).await
        })
    }
}

/// Accepts connections from other daemons and serves those that authenticate.
#[derive(Clone)]
struct Acceptor {
    own: Name,
    keyring: Keyring,
    bytes: Arc<AtomicU64>,
    handshakes: Arc<Semaphore>,
    server: Server,
}

impl Acceptor {
    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve(stream));
                }
                Err(error) => {
                    log::warn!(error:% = error; "cannot accept a connection from a daemon");
                    // Avoids a busy loop while the process is out of file descriptors.
                    tokio::time::sleep(CONNECT_TIMEOUT).await;
                }
            }
        }
    }

    async fn serve(self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.handshakes).try_acquire_owned() else {
            return;
        };
        let Ok(mut frames) = frames(stream, Arc::clone(&self.bytes)) else {
            return;
        };
        let accepting = handshake::accept(&mut frames, &self.own, &self.keyring);
        match tokio::time::timeout(HANDSHAKE_TIMEOUT, accepting).await {
            Ok(Ok(peer)) => log::debug!(peer:% = peer; "daemon connected"),
            Ok(Err(error)) => {
                log::warn!(error:% = error; "handshake with a daemon failed");
                return;
            }
            Err(_elapsed) => return,
        }
        frames.codec_mut().set_max_frame_length(FRAME_BYTES_MAX);
        drop(permit);
        let transport = serde_transport::new(frames, Json::default());
        BaseChannel::with_defaults(transport)
            .execute(self.server.serve())
            .for_each(|answer| async {
                tokio::spawn(answer);
            })
            .await;
    }
}

/// Splits a connection into frames with a length prefix. Their maximum length is that of the
/// handshake; it is raised after the peer has authenticated.
fn frames(stream: TcpStream, bytes: Arc<AtomicU64>) -> io::Result<Frames> {
    stream.set_nodelay(true)?;
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(HANDSHAKE_FRAME_BYTES_MAX)
        .new_codec();
    Ok(Framed::new(CountingStream { stream, bytes }, codec))
}
