use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::caller_connection::CallerConnection;
use super::monitored_stream::MonitoredStream;
use super::request_handler;
use super::response_body::ResponseBody;
use super::shared::Shared;
use super::{local_response, socket};

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size of a connection's read buffer beyond the maximum length of a head.
const READ_AHEAD_BYTES: usize = 16 * 1024;

/// Accepts callers until the future is dropped.
pub(super) async fn serve_callers(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if shared.callers.len() >= shared.options.connections_max {
                    let closed = shared.callers.close_one();
                    let client = closed.unwrap_or_else(|| peer.ip());
                    shared
                        .callers
                        .limit_log
                        .record("connections", client, shared.now());
                    if closed.is_none() {
                        continue;
                    }
                }
                tokio::task::spawn_local(serve_caller(Rc::clone(&shared), stream, peer.ip()));
            }
            Err(error) => {
                log::warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(shared: Rc<Shared>, stream: TcpStream, client: IpAddr) {
    if let Err(error) = socket::configure_stream(&stream) {
        log::debug!(error:% = error; "socket options could not be set");
    }
    let caller = CallerConnection::new(client, shared.now());
    shared.callers.add(&caller);
    let service = service_fn(|request: Request<Incoming>| {
        let guard = caller.start_request();
        let (shared, caller) = (Rc::clone(&shared), Rc::clone(&caller));
        async move {
            let response = request_handler::handle(shared, caller, request).await;
            Ok::<_, Infallible>(response.map(|body| body.with_guard(guard)))
        }
    });
    let unread_timeout = shared.options.caller_limits.unread_timeout;
    let stream = MonitoredStream::new(stream, Rc::clone(&caller), unread_timeout);
    let io = TokioIo::new(stream);
    let connection = http1::Builder::new()
        .title_case_headers(true)
        .max_buf_size(shared.configuration.limits().header_bytes + READ_AHEAD_BYTES)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!(error:% = error; "caller's connection failed");
                }
                return;
            }
            () = caller.close.notified() => connection.as_mut().graceful_shutdown(),
            () = caller.abort.notified() => return,
        }
    }
}

/// Serves monitoring requests, such as readiness probes, on a separate address.
pub(super) async fn serve_monitoring(
    listener: TcpListener,
    respond: impl Fn(&str) -> Response<ResponseBody> + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let respond = respond.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = respond(request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "monitoring connection failed");
            }
        });
    }
}

/// Returns the response to a readiness probe.
pub(super) fn readiness_response(shared: &Shared) -> Response<ResponseBody> {
    if shared.is_ready() {
        local_response::with_reason(StatusCode::OK, "none")
    } else {
        local_response::with_reason(StatusCode::SERVICE_UNAVAILABLE, "not_ready")
    }
}

/// Opens a listener and logs its address.
pub(super) fn listen(address: SocketAddr, purpose: &str) -> std::io::Result<TcpListener> {
    let listener = socket::listen(address)?;
    log::info!(address:% = listener.local_addr()?, purpose = purpose; "listening");
    Ok(listener)
}
