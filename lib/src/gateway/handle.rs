use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use http::{Response, StatusCode};
use ragwortgrade_policy::gateway::Quarantine;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::LocalSet;

use super::drain::DRAIN_MARGIN;
use super::duties::Duty;
use super::response_body::ResponseBody;
use super::scaling_task::ScalingTask;
use super::shared::Shared;
use super::{
    Options, catalog_handler, duties, endpoint_handler, load_exchange, local_response, peers,
    registration, server, supervisor,
};
use crate::observe::{Metrics, Registry};

/// Interval at which connections are checked against the configured timeouts, and evidence of
/// crashes against its lifetime.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a drain waits for further callers before it closes idle connections: the load
/// balancer probes once per second and stops sending callers after two failed probes.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(3_500);
/// Idle time after which a drain closes a connection; a caller that has just connected is about to
/// send its request.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which a drain checks whether all requests are done.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Handle of a running gateway.
#[derive(Debug)]
pub struct Gateway {
    addresses: Addresses,
    drain_sender: watch::Sender<bool>,
    thread: Option<JoinHandle<bool>>,
}

#[derive(Clone, Copy, Debug)]
struct Addresses {
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: Option<SocketAddr>,
}

struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    metrics: Option<TcpListener>,
    peers: UdpSocket,
}

impl Gateway {
    /// Starts a gateway on its own thread; `options` is called on that thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started or an address cannot be bound.
    pub fn spawn(options: impl FnOnce() -> Options + Send + 'static) -> io::Result<Self> {
        Self::spawn_with(options, || {})
    }

    /// Starts a gateway like [`Self::spawn`]; `on_failure` is called on its thread when one of its
    /// tasks fails at each start. The gateway then drains, and the process is to end.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started or an address cannot be bound.
    pub fn spawn_with(
        options: impl FnOnce() -> Options + Send + 'static,
        on_failure: impl FnOnce() + Send + 'static,
    ) -> io::Result<Self> {
        let (drain_sender, drain_receiver) = watch::channel(false);
        let (startup_sender, startup) = std_mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("gateway".to_owned())
            .spawn(move || {
                let runtime = match tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                {
                    Ok(runtime) => runtime,
                    Err(error) => {
                        drop(startup_sender.send(Err(error)));
                        return false;
                    }
                };
                let gateway = serve(options(), startup_sender, drain_receiver, on_failure);
                LocalSet::new().block_on(&runtime, gateway)
            })?;
        let addresses = startup
            .recv()
            .map_err(|_gone| io::Error::other("gateway thread exited during startup"))??;
        Ok(Self {
            addresses,
            drain_sender,
            thread: Some(thread),
        })
    }

    /// Returns the address on which callers are served.
    #[must_use]
    pub const fn callers_address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns the address of the readiness probe.
    #[must_use]
    pub const fn readiness_address(&self) -> SocketAddr {
        self.addresses.readiness
    }

    /// Returns the address on which metrics are served, if they are.
    #[must_use]
    pub const fn metrics_address(&self) -> Option<SocketAddr> {
        self.addresses.metrics
    }

    /// Drains the gateway: readiness probes fail, so that callers go to other daemons, and requests
    /// in flight finish. Returns whether all of them finished within the drain timeout.
    #[must_use]
    pub fn drain(mut self) -> bool {
        self.drain_sender.send_replace(true);
        let thread = self.thread.take();
        thread.is_some_and(|thread| thread.join().unwrap_or(false))
    }
}

/// Runs the gateway until it has drained; returns whether all requests finished within the drain
/// timeout.
async fn serve(
    options: Options,
    startup_sender: std_mpsc::Sender<io::Result<Addresses>>,
    mut drain_receiver: watch::Receiver<bool>,
    on_failure: impl FnOnce(),
) -> bool {
    let (addresses, listeners) = match bind(&options).await {
        Ok(bound) => bound,
        Err(error) => {
            drop(startup_sender.send(Err(error)));
            return false;
        }
    };
    let peers_address = match listeners.peers.local_addr() {
        Ok(address) => address,
        Err(error) => {
            drop(startup_sender.send(Err(error)));
            return false;
        }
    };
    let (metrics, metrics_registry) = Metrics::with_registry();
    let shared = Shared::new(options, metrics);
    log::info!(
        name:% = shared.options.name, data_centre:% = shared.options.data_centre,
        version = env!("CARGO_PKG_VERSION");
        "gateway started"
    );
    spawn_tasks(&shared, Rc::new(listeners.peers), peers_address);
    let readiness_state = Rc::clone(&shared);
    let readiness = move |_: &str| server::readiness_response(&readiness_state);
    tokio::task::spawn_local(server::serve_monitoring(listeners.readiness, readiness));
    if let Some(listener) = listeners.metrics {
        let respond = move |_: &str| metrics_response(&metrics_registry);
        tokio::task::spawn_local(server::serve_monitoring(listener, respond));
    }
    drop(startup_sender.send(Ok(addresses)));
    let callers = pin!(server::serve_callers(Rc::clone(&shared), listeners.callers));
    let failure = async {
        let task = shared.supervisor.wait_for_failure().await;
        log::error!(task = task; "a task fails at each start; the daemon ends");
        on_failure();
    };
    serve_until_drained(&shared, callers, &mut drain_receiver, failure).await
}

/// Spawns the tasks that keep up to date what requests are routed by.
fn spawn_tasks(shared: &Rc<Shared>, socket: Rc<UdpSocket>, peers_address: SocketAddr) {
    let spawn = |name, task: fn(Rc<Shared>) -> LocalBoxFuture<'static, ()>| {
        let task_state = Rc::clone(shared);
        supervisor::spawn(shared, name, move || task(Rc::clone(&task_state)));
    };
    spawn("catalog", |it| {
        catalog_handler::watch_catalog(it).boxed_local()
    });
    spawn("endpoints", |it| {
        endpoint_handler::watch_endpoints(it).boxed_local()
    });
    spawn("registrations", |it| {
        endpoint_handler::check_registrations(it).boxed_local()
    });
    spawn("checks", |it| run_periodic_checks(it).boxed_local());
    spawn("peers", |it| peers::watch_peers(it).boxed_local());
    let state = Rc::clone(shared);
    supervisor::spawn(shared, "registration", move || {
        registration::register(Rc::clone(&state), peers_address)
    });
    if let Some(options) = &shared.options.duties {
        if options.settings.duties.contains(&Duty::Scale) {
            shared.duties.add_task(Rc::new(ScalingTask::new(shared)));
        }
        let (state, duty_socket) = (Rc::clone(shared), Rc::clone(&socket));
        supervisor::spawn(shared, "duties", move || {
            duties::run(Rc::clone(&state), Rc::clone(&duty_socket))
        });
    }
    let state = Rc::clone(shared);
    supervisor::spawn(shared, "exchange", move || {
        load_exchange::run(Rc::clone(&state), Rc::clone(&socket))
    });
}

async fn bind(options: &Options) -> io::Result<(Addresses, Listeners)> {
    let callers = server::listen(options.callers_address, "callers")?;
    let readiness = server::listen(options.readiness_address, "readiness")?;
    let metrics = options
        .metrics_address
        .map(|address| server::listen(address, "metrics"))
        .transpose()?;
    let peers = UdpSocket::bind(options.peers_address).await?;
    let addresses = Addresses {
        callers: callers.local_addr()?,
        readiness: readiness.local_addr()?,
        metrics: metrics.as_ref().map(TcpListener::local_addr).transpose()?,
    };
    let listeners = Listeners {
        callers,
        readiness,
        metrics,
        peers,
    };
    Ok((addresses, listeners))
}

/// Serves callers until a drain is requested or `failure` is complete, then waits for requests in flight; returns whether
/// all of them finished within the drain timeout.
async fn serve_until_drained(
    shared: &Rc<Shared>,
    mut callers: std::pin::Pin<&mut impl Future<Output = ()>>,
    drain_receiver: &mut watch::Receiver<bool>,
    failure: impl Future<Output = ()>,
) -> bool {
    tokio::select! {
        () = callers.as_mut() => return false,
        () = failure => {}
        _ = drain_receiver.wait_for(|is_draining| *is_draining) => {}
    }
    let started_at = Instant::now();
    shared.drain.start(shared.now());
    log::info!(requests = shared.callers.requests_in_flight(); "drain started");
    tokio::task::spawn_local(registration::unregister(Rc::clone(shared)));
    tokio::select! {
        () = callers.as_mut() => {}
        () = tokio::time::sleep(DRAIN_ACCEPT_TIME) => {}
    }
    let time_limit = shared.options.drain_timeout.saturating_sub(DRAIN_MARGIN);
    loop {
        shared.callers.close_idle(DRAIN_IDLE_TIMEOUT);
        let is_done = shared.callers.len() == 0;
        if is_done || started_at.elapsed() >= time_limit {
            log::info!(
                is_done = is_done, requests = shared.callers.requests_in_flight();
                "drain finished"
            );
            return is_done;
        }
        // Callers that are still sent here are served.
        tokio::select! {
            () = callers.as_mut() => {}
            () = tokio::time::sleep(DRAIN_POLL_INTERVAL) => {}
        }
    }
}

/// Periodically closes callers' connections that exceed their timeouts and expired pooled ones to
/// endpoints, and removes expired evidence of crashes, limits and registrations of daemons.
async fn run_periodic_checks(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let unread_timeout = shared.options.caller_limits.unread_timeout;
        let unread = shared
            .callers
            .close_overdue(&shared.configuration.limits(), unread_timeout);
        for client in unread {
            let now = shared.now();
            shared
                .callers
                .limit_log
                .record("response_unread", client, now);
        }
        shared.client.close_expired();
        shared.update_quarantine(Quarantine::expire);
        shared.rate_limits.borrow_mut().expire(shared.now());
        shared.peers.borrow_mut().directory.expire(shared.now());
    }
}

fn metrics_response(metrics_registry: &Registry) -> Response<ResponseBody> {
    let mut response = local_response::with_reason(StatusCode::OK, "none");
    *response.body_mut() = ResponseBody::full(metrics_registry.render().into());
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("text/plain"),
    );
    response
}
