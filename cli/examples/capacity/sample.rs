use std::io;
use std::net::UdpSocket;

use ragwortgrade_standins::Usage;

/// Resource usage of one daemon and its latest gauges at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Processor time used by the process since its start.
    pub cpu_seconds: f64,
    /// Resident memory of the process.
    pub resident_kib: u64,
    /// Bytes received from and sent to other daemons since the start.
    pub peer_bytes: u64,
    /// Number of daemons that the daemon considers live.
    pub live: u64,
    /// Number of endpoints known to the daemon.
    pub endpoints: u64,
}

impl Sample {
    /// Reads the usage of the process, and its gauges from the socket to which it sends them.
    ///
    /// Gauges that have not arrived since the `last` sample keep their values.
    pub fn read(pid: u32, gauges: &UdpSocket, last: &Self) -> io::Result<Self> {
        let usage = Usage::read(pid)?;
        let mut sample = Self {
            cpu_seconds: usage.cpu_seconds,
            resident_kib: usage.resident_kib,
            ..*last
        };
        let mut datagram = [0; 2_048];
        while let Ok(length) = gauges.recv(&mut datagram) {
            for line in String::from_utf8_lossy(&datagram[..length]).lines() {
                sample.record_gauge(line);
            }
        }
        Ok(sample)
    }

    /// Returns the processor time and traffic since an earlier sample; the other values are those
    /// of this sample.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            cpu_seconds: self.cpu_seconds - before.cpu_seconds,
            peer_bytes: self.peer_bytes - before.peer_bytes,
            ..*self
        }
    }

    fn record_gauge(&mut self, line: &str) {
        let Some((name, rest)) = line.split_once(':') else {
            return;
        };
        let Some(value) = rest.split('|').next().and_then(|value| value.parse().ok()) else {
            return;
        };
        match name {
            "ragwortgrade.peer.bytes" => self.peer_bytes = value,
            "ragwortgrade.peer.live" => self.live = value,
            "ragwortgrade.endpoints" => self.endpoints = value,
            _ => {}
        }
    }
}
