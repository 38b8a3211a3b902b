use std::error::Error;

use lexopt::prelude::{Long, Value};
use lexopt::{Parser, ValueExt as _};
use ragwortgrade_schema::engine::Role;
use ragwortgrade_schema::platform::Vms;
use ragwortgrade_standins::{
    EngineSettings, KeyValueSettings, PlainFault, PlainSettings, VmListSettings, WeightsSettings,
};

const USAGE: &str = "usage: standin engine|plain|key-value|weights|vm-list [--address IP:PORT] ...";

/// The stand-in to run, with its settings.
pub enum Kind {
    /// A model engine.
    Engine(EngineSettings),
    /// An endpoint of a plain service.
    Plain(PlainSettings),
    /// The key-value service.
    KeyValue(KeyValueSettings),
    /// The weight store.
    Weights(WeightsSettings),
    /// The list of VMs.
    VmList(VmListSettings),
}

/// The command line.
pub struct Arguments {
    /// The stand-in to run.
    pub kind: Kind,
    /// End when the standard input closes, so that no process outlives the one that started it.
    pub ends_with_input: bool,
}

impl Arguments {
    /// Reads the command line of this process.
    pub fn parse() -> Result<Self, Box<dyn Error>> {
        let mut parser = Parser::from_env();
        let Some(Value(word)) = parser.next()? else {
            return Err(USAGE.into());
        };
        let mut kind = match word.string()?.as_str() {
            "engine" => Kind::Engine(EngineSettings {
                crash_exits: true,
                ..EngineSettings::default()
            }),
            "plain" => Kind::Plain(PlainSettings::default()),
            "key-value" => Kind::KeyValue(KeyValueSettings::default()),
            "weights" => Kind::Weights(WeightsSettings::default()),
            "vm-list" => Kind::VmList(VmListSettings::default()),
            other => return Err(format!("unknown stand-in {other}; {USAGE}").into()),
        };
        let mut ends_with_input = false;
        while let Some(argument) = parser.next()? {
            let Long(flag) = argument else {
                return Err(argument.unexpected().into());
            };
            let flag = flag.to_owned();
            if flag == "end-with-input" {
                ends_with_input = true;
                continue;
            }
            kind.set(&flag, &parser.value()?.string()?)?;
        }
        Ok(Self {
            kind,
            ends_with_input,
        })
    }
}

impl Kind {
    /// Applies one flag.
    fn set(&mut self, flag: &str, value: &str) -> Result<(), Box<dyn Error>> {
        match self {
            Self::Engine(settings) => set_engine(settings, flag, value),
            Self::Plain(settings) => set_plain(settings, flag, value),
            Self::KeyValue(settings) => set_key_value(settings, flag, value),
            Self::Weights(settings) => set_weights(settings, flag, value),
            Self::VmList(settings) => set_vm_list(settings, flag, value),
        }
    }
}

fn set_engine(
    settings: &mut EngineSettings,
    flag: &str,
    value: &str,
) -> Result<(), Box<dyn Error>> {
    match flag {
        "address" => value.clone_into(&mut settings.address),
        "name" => value.clone_into(&mut settings.name),
        "role" => settings.role = role(value)?,
        "model" => settings.models = list(value),
        "adapter" => settings.adapters = list(value),
        "fencing" => settings.checks_fence = value == "checked",
        "prefill-tokens-per-second" => settings.prefill_tokens_per_second = value.parse()?,
        "step-us" => settings.step_us = value.parse()?,
        "step-us-per-sequence" => settings.step_us_per_sequence = value.parse()?,
        "sequences-max" => settings.sequences_max = value.parse()?,
        "kv-tokens-max" => settings.kv_tokens_max = value.parse()?,
        "role-change-ms" => settings.role_change_ms = value.parse()?,
        "load-lag-ms" => settings.load_lag_ms = value.parse()?,
        "cache-event-lag-ms" => settings.cache_event_lag_ms = value.parse()?,
        "cache-event-loss" => settings.cache_event_loss = value.parse()?,
        "seed" => settings.seed = value.parse()?,
        "crash-marker" => settings.crash_marker = Some(value.to_owned()),
        "weights" => settings.weights = Some(value.to_owned()),
        "order-log" => settings.order_log = Some(value.to_owned()),
        _ => return unknown(flag),
    }
    Ok(())
}

fn set_plain(settings: &mut PlainSettings, flag: &str, value: &str) -> Result<(), Box<dyn Error>> {
    match flag {
        "address" => value.clone_into(&mut settings.address),
        "name" => value.clone_into(&mut settings.name),
        "delay-ms" => settings.delay_ms = value.parse()?,
        "fail-before" => {
            settings.fault = PlainFault::Before {
                count: value.parse()?,
            };
        }
        "fail-after" => {
            settings.fault = PlainFault::After {
                count: value.parse()?,
            };
        }
        "effect-log" => settings.effect_log = Some(value.to_owned()),
        _ => return unknown(flag),
    }
    Ok(())
}

fn set_key_value(
    settings: &mut KeyValueSettings,
    flag: &str,
    value: &str,
) -> Result<(), Box<dyn Error>> {
    match flag {
        "address" => value.clone_into(&mut settings.address),
        "writes-per-second" => settings.writes_per_second = value.parse()?,
        "reads-per-second" => settings.reads_per_second = value.parse()?,
        _ => return unknown(flag),
    }
    Ok(())
}

fn set_weights(
    settings: &mut WeightsSettings,
    flag: &str,
    value: &str,
) -> Result<(), Box<dyn Error>> {
    match flag {
        "address" => value.clone_into(&mut settings.address),
        "fetches-per-second" => settings.fetches_per_second = value.parse()?,
        "bytes" => settings.bytes = value.parse()?,
        "fetch-ms" => settings.fetch_ms = value.parse()?,
        _ => return unknown(flag),
    }
    Ok(())
}

fn set_vm_list(
    settings: &mut VmListSettings,
    flag: &str,
    value: &str,
) -> Result<(), Box<dyn Error>> {
    match flag {
        "address" => value.clone_into(&mut settings.address),
        "lag-ms" => settings.lag_ms = value.parse()?,
        "vms" => settings.vms = serde_json::from_str::<Vms>(value)?.vms,
        _ => return unknown(flag),
    }
    Ok(())
}

fn unknown(flag: &str) -> Result<(), Box<dyn Error>> {
    Err(format!("unknown flag --{flag}; {USAGE}").into())
}

fn role(text: &str) -> Result<Role, Box<dyn Error>> {
    Ok(serde_json::from_value(serde_json::Value::from(text))?)
}

fn list(text: &str) -> Vec<String> {
    text.split(',').map(str::to_owned).collect()
}
