use std::fmt;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

use rouille::{Request, Response, Server};

use crate::Error;

/// HTTP server for handlers without streaming, based on `rouille`.
pub(crate) struct ControlServer {
    address: SocketAddr,
    running: Option<(JoinHandle<()>, Sender<()>)>,
}

impl fmt::Debug for ControlServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl ControlServer {
    pub(crate) fn bind(
        address: &str,
        handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let server = Server::new(address, handler).map_err(|error| Error::Bind {
            address: address.to_owned(),
            reason: error.to_string(),
        })?;
        Ok(Self {
            address: server.server_addr(),
            running: Some(server.stoppable()),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and joins the server thread.
    pub(crate) fn stop(&mut self) {
        let Some((thread, stop)) = self.running.take() else {
            return;
        };
        if stop.send(()).is_err() || thread.join().is_err() {
            log::error!(
                "the server on {} ended before it was stopped, or its thread panicked",
                self.address
            );
        }
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        self.stop();
    }
}
