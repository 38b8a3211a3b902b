//! Runs one stand-in as a process.
//!
//! `cargo run -p ragwortgrade-standins --example standin -- KIND --address 127.0.0.1:0 ...`
//! prints one JSON line with the address when the stand-in is ready. It ends when it is killed or
//! when its standard input closes, if `--end-with-input` is given.

mod standin_arguments;

use std::error::Error;
use std::io::{self, Read as _};
use std::net::SocketAddr;

use ragwortgrade_standins::{Engine, KeyValue, Plain, VmList, Weights};

use self::standin_arguments::{Arguments, Kind};

/// Keeps the stand-in running until the process ends.
enum Running {
    Engine(Engine),
    Plain(Plain),
    KeyValue(KeyValue),
    Weights(Weights),
    VmList(VmList),
}

impl Running {
    fn bind(kind: Kind) -> Result<Self, ragwortgrade_standins::Error> {
        Ok(match kind {
            Kind::Engine(settings) => Self::Engine(Engine::bind(settings)?),
            Kind::Plain(settings) => Self::Plain(Plain::bind(settings)?),
            Kind::KeyValue(settings) => Self::KeyValue(KeyValue::bind(&settings)?),
            Kind::Weights(settings) => Self::Weights(Weights::bind(settings)?),
            Kind::VmList(settings) => Self::VmList(VmList::bind(settings)?),
        })
    }

    fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Plain(plain) => plain.address(),
            Self::KeyValue(key_value) => key_value.address(),
            Self::Weights(weights) => weights.address(),
            Self::VmList(list) => list.address(),
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse()?;
    let running = Running::bind(arguments.kind)?;
    println!("{{\"address\":\"{}\"}}", running.address());
    if arguments.ends_with_input {
        io::stdin().read_to_end(&mut Vec::new())?;
        return Ok(());
    }
    loop {
        std::thread::park();
    }
}
