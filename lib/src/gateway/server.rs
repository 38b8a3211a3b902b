use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::answer::Answer;
use super::caller::{Caller, Watched};
use super::relay;
use super::shared::Shared;
use super::{socket, status};

/// Pause after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a connection that are read ahead beyond the longest head.
const READ_AHEAD: usize = 16 * 1024;

/// Accepts callers until the task is ended.
pub(super) async fn serve_callers(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.callers.len() < shared.options.connections_max => {
                tokio::task::spawn_local(serve_caller(Rc::clone(&shared), stream));
            }
            Ok((stream, peer)) => {
                log::warn!(peer:% = peer; "connection limit is reached; connection closed");
                drop(stream);
            }
            Err(error) => {
                log::warn!(error:% = error; "connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(shared: Rc<Shared>, stream: TcpStream) {
    if let Err(error) = socket::watch_peer(&stream) {
        log::debug!(error:% = error; "options of a connection could not be set");
    }
    let caller = Caller::open();
    shared.callers.add(&caller);
    let service = service_fn(|request: Request<Incoming>| {
        let in_flight = caller.begin();
        let shared = Rc::clone(&shared);
        async move {
            let response = relay::handle(shared, request).await;
            Ok::<_, Infallible>(response.map(|answer| answer.with_guard(in_flight)))
        }
    });
    let io = TokioIo::new(Watched {
        stream,
        caller: Rc::clone(&caller),
    });
    let connection = http1::Builder::new()
        .title_case_headers(true)
        .max_buf_size(shared.limits().header_bytes + READ_AHEAD)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(error:% = error; "caller's connection ended");
                }
                return;
            }
            () = caller.closing.notified() => connection.as_mut().graceful_shutdown(),
            () = caller.expired.notified() => return,
        }
    }
}

/// Answers short questions, such as whether the daemon is ready, at an address of their own.
pub(super) async fn serve_questions(
    listener: TcpListener,
    answer: impl Fn(&str) -> Response<Answer> + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = answer(request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "questioner's connection ended");
            }
        });
    }
}

/// Answers whether the daemon is ready.
pub(super) fn readiness(shared: &Shared) -> Response<Answer> {
    if shared.is_ready() {
        status::own(StatusCode::OK, "none")
    } else {
        status::own(StatusCode::SERVICE_UNAVAILABLE, "not_ready")
    }
}

/// Opens a listener and tells where.
pub(super) fn listen(address: SocketAddr, purpose: &str) -> std::io::Result<TcpListener> {
    let listener = socket::listen(address)?;
    log::info!(address:% = listener.local_addr()?, purpose = purpose; "listening");
    Ok(listener)
}
