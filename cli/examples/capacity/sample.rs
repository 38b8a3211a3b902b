use std::fs;
use std::io;
use std::net::UdpSocket;

/// Clock ticks a second in `/proc/<pid>/stat`; fixed at 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields after the command name in `/proc/<pid>/stat`, counted from the state.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// What one daemon has used and reported up to a point in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Processor time of the process.
    pub cpu_seconds: f64,
    /// Resident memory.
    pub resident_kib: u64,
    /// Bytes from and to other daemons.
    pub peer_bytes: u64,
    /// Daemons that it believes live.
    pub live: u64,
    /// Endpoints that it knows.
    pub endpoints: u64,
}

impl Sample {
    /// Reads the process's times and memory, and its gauges from the socket that receives them.
    pub fn read(pid: u32, gauges: &UdpSocket, last: &Self) -> io::Result<Self> {
        let mut sample = Self {
            cpu_seconds: cpu_seconds(pid)?,
            ..*last
        };
        sample.resident_kib = resident_kib(pid)?;
        let mut datagram = [0; 2_048];
        while let Ok(length) = gauges.recv(&mut datagram) {
            for line in String::from_utf8_lossy(&datagram[..length]).lines() {
                sample.take_gauge(line);
            }
        }
        Ok(sample)
    }

    /// Returns what was used since an earlier sample; the state values are the later ones.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            cpu_seconds: self.cpu_seconds - before.cpu_seconds,
            peer_bytes: self.peer_bytes - before.peer_bytes,
            ..*self
        }
    }

    fn take_gauge(&mut self, line: &str) {
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

fn cpu_seconds(pid: u32) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    let total = ticks(USER_TICKS).unwrap_or_default() + ticks(SYSTEM_TICKS).unwrap_or_default();
    Ok(total / TICKS_PER_SECOND)
}

fn resident_kib(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    Ok(value.unwrap_or_default())
}
