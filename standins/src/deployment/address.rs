//! Loopback addresses that stay free until their process starts or restarts.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process;
use std::sync::{Mutex, PoisonError};

use crate::Error;

/// Range of the first two bytes of `loopback_host`, which excludes 127.0.0.1.
const LOOPBACK_FIRST: u8 = 127;
const LOOPBACK_SECOND: u8 = 64;
const LOOPBACK_SECOND_COUNT: u32 = 64;

static RESERVED: Mutex<Option<HashSet<SocketAddr>>> = Mutex::new(None);

/// Returns a loopback address derived from the process id.
///
/// A free port on 127.0.0.1 may be taken by an outgoing connection before its process starts or
/// while the process is down. Outgoing connections use 127.0.0.1 and other test processes use other
/// addresses, so the ports of this address stay free.
#[must_use]
pub fn loopback_host() -> IpAddr {
    let [_, high, middle, low] = process::id().to_be_bytes();
    let second = LOOPBACK_SECOND + (u32::from(high) % LOOPBACK_SECOND_COUNT) as u8;
    IpAddr::V4(Ipv4Addr::new(LOOPBACK_FIRST, second, middle, low))
}

/// Returns a free address that no earlier call has returned.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free_address() -> Result<SocketAddr, Error> {
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    let reserved = reserved.get_or_insert_default();
    loop {
        let any_port = SocketAddr::new(loopback_host(), 0);
        let found = TcpListener::bind(any_port)
            .and_then(|listener| listener.local_addr())
            .map_err(|error| Error::Bind {
                address: any_port.to_string(),
                reason: error.to_string(),
            })?;
        if reserved.insert(found) {
            return Ok(found);
        }
    }
}
