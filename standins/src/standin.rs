//! Command line that runs one stand-in as a process.

use std::ffi::OsString;
use std::fmt::Display;
use std::io::{self, Read as _};
use std::net::SocketAddr;
use std::str::FromStr;
use std::thread;

use lexopt::Parser;
use lexopt::prelude::{Long, Value};
use ragwortgrade_schema::engine::Role;
use ragwortgrade_schema::platform::Vms;

use crate::{
    Engine, EngineSettings, Error, KeyValue, KeyValueSettings, Plain, PlainFault, PlainSettings,
    VmList, VmListSettings, Weights, WeightsSettings,
};

const KINDS: &str = "engine, plain, key-value, weights or vm-list";

/// Kind of stand-in, with its settings.
enum Kind {
    Engine(EngineSettings),
    Plain(PlainSettings),
    KeyValue(KeyValueSettings),
    Weights(WeightsSettings),
    VmList(VmListSettings),
}

/// Handle of a running stand-in, which stops it when dropped.
enum Running {
    Engine(Engine),
    Plain(Plain),
    KeyValue(KeyValue),
    Weights(Weights),
    VmList(VmList),
}

/// Runs one stand-in until the process ends. The first argument is the kind, the flags follow.
///
/// Prints one JSON line with the address when the stand-in accepts connections. With
/// `--end-with-input` it exits when its standard input closes, so that it does not outlive its
/// parent process.
///
/// # Errors
///
/// Fails when the command line is invalid or the stand-in cannot start.
pub fn run_standin(arguments: impl IntoIterator<Item = OsString>) -> Result<(), Error> {
    let mut parser = Parser::from_args(arguments);
    let mut kind = Kind::parse(&mut parser)?;
    let mut ends_with_input = false;
    while let Some(argument) = parser.next().map_err(usage_error)? {
        let Long(flag) = argument else {
            return Err(usage_error(argument.unexpected()));
        };
        let flag = flag.to_owned();
        if flag == "end-with-input" {
            ends_with_input = true;
            continue;
        }
        let value = parser.value().and_then(lexopt::ValueExt::string);
        kind.set(&flag, &value.map_err(usage_error)?)?;
    }
    serve(kind, ends_with_input)
}

fn serve(kind: Kind, ends_with_input: bool) -> Result<(), Error> {
    let running = Running::bind(kind)?;
    println!("{{\"address\":\"{}\"}}", running.address());
    if ends_with_input {
        return io::stdin()
            .read_to_end(&mut Vec::new())
            .map(drop)
            .map_err(usage_error);
    }
    loop {
        thread::park();
    }
}

impl Running {
    fn bind(kind: Kind) -> Result<Self, Error> {
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

impl Kind {
    fn parse(parser: &mut Parser) -> Result<Self, Error> {
        let Some(Value(word)) = parser.next().map_err(usage_error)? else {
            return Err(usage_error(format!("the first argument must be {KINDS}")));
        };
        Ok(match word.to_str() {
            Some("engine") => Self::Engine(EngineSettings {
                crash_exits: true,
                ..EngineSettings::default()
            }),
            Some("plain") => Self::Plain(PlainSettings::default()),
            Some("key-value") => Self::KeyValue(KeyValueSettings::default()),
            Some("weights") => Self::Weights(WeightsSettings::default()),
            Some("vm-list") => Self::VmList(VmListSettings::default()),
            _ => return Err(usage_error(format!("the first argument must be {KINDS}"))),
        })
    }

    fn set(&mut self, flag: &str, value: &str) -> Result<(), Error> {
        match self {
            Self::Engine(settings) => set_engine(settings, flag, value),
            Self::Plain(settings) => set_plain(settings, flag, value),
            Self::KeyValue(settings) => set_key_value(settings, flag, value),
            Self::Weights(settings) => set_weights(settings, flag, value),
            Self::VmList(settings) => set_vm_list(settings, flag, value),
        }
    }
}

fn usage_error(reason: impl Display) -> Error {
    Error::Usage {
        reason: reason.to_string(),
    }
}

fn parse_number<T: FromStr<Err: Display>>(value: &str) -> Result<T, Error> {
    value.parse().map_err(usage_error)
}

fn set_engine(settings: &mut EngineSettings, flag: &str, value: &str) -> Result<(), Error> {
    match flag {
        "address" => value.clone_into(&mut settings.address),
        "name" => value.clone_into(&mut settings.name),
        "role" => settings.role = parse_role(value)?,
        "model" => settings.models = split_list(value),
        "adapter" => settings.adapters = split_list(value),
        "fencing" => settings.checks_fence = value == "checked",
        "prefill-tokens-per-second" => settings.prefill_tokens_per_second = parse_number(value)?,
        "step-us" => settings.step_us = parse_number(value)?,
        "step-us-per-sequence" => settings.step_us_per_sequence = parse_number(value)?,
        "sequences-max" => settings.sequences_max = parse_number(value)?,
        "kv-tokens-max" => settings.kv_tokens_max = parse_number(value)?,
        "role-change-ms" => settings.role_change_ms = parse_number(value)?,
        "load-lag-ms" => settings.load_lag_ms = parse_number(value)?,
        "cache-event-lag-ms" => settings.cache_event_lag_ms = parse_number(value)?,
        "cache-event-loss" => settings.cache_event_loss = parse_number(value)?,
        "seed" => settings.seed = parse_number(value)?,
        "crash-marker" => settings.crash_marker = Some(value.to_owned()),
        "weights" => settings.weights = Some(value.to_owned()),
        "order-log" => settings.order_log = Some(value.to_owned()),
        _ => return unknown_flag(flag),
    }
    Ok(())
}

fn set_plain(settings: &mut PlainSettings, flag: &str, value: &str) -> Result<(), Error> {
    match flag {
        "address" => value.clone_into(&mut settings.address),
        "name" => value.clone_into(&mut settings.name),
        "delay-ms" => settings.delay_ms = parse_number(value)?,
        "fail-before" => {
            settings.fault = PlainFault::Before {
                count: parse_number(value)?,
            };
        }
        "fail-after" => {
            settings.fault = PlainFault::After {
                count: parse_number(value)?,
            };
        }
        "effect-log" => settings.effect_log = Some(value.to_owned()),
        _ => return unknown_flag(flag),
    }
    Ok(())
}

fn set_key_value(settings: &mut KeyValueSettings, flag: &str, value: &str) -> Result<(), Error> {
    match flag {
        "address" => value.clone_into(&mut settings.address),
        "writes-per-second" => settings.writes_per_second = parse_number(value)?,
        "reads-per-second" => settings.reads_per_second = parse_number(value)?,
        _ => return unknown_flag(flag),
    }
    Ok(())
}

fn set_weights(settings: &mut WeightsSettings, flag: &str, value: &str) -> Result<(), Error> {
    match flag {
        "address" => value.clone_into(&mut settings.address),
        "fetches-per-second" => settings.fetches_per_second = parse_number(value)?,
        "bytes" => settings.bytes = parse_number(value)?,
        "fetch-ms" => settings.fetch_ms = parse_number(value)?,
        _ => return unknown_flag(flag),
    }
    Ok(())
}

fn set_vm_list(settings: &mut VmListSettings, flag: &str, value: &str) -> Result<(), Error> {
    match flag {
        "address" => value.clone_into(&mut settings.address),
        "lag-ms" => settings.lag_ms = parse_number(value)?,
        "vms" => settings.vms = serde_json::from_str::<Vms>(value).map_err(usage_error)?.vms,
        _ => return unknown_flag(flag),
    }
    Ok(())
}

fn unknown_flag(flag: &str) -> Result<(), Error> {
    Err(usage_error(format!("unknown flag --{flag}")))
}

fn parse_role(text: &str) -> Result<Role, Error> {
    serde_json::from_value(serde_json::Value::from(text)).map_err(usage_error)
}

fn split_list(text: &str) -> Vec<String> {
    text.split(',').map(str::to_owned).collect()
}
