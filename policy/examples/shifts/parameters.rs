use std::path::Path;

use ini::Ini;
use ragwortgrade_policy::CostModel;

use crate::error::Error;

/// Speeds, capacities and delays of the simulated engines and workers.
#[derive(Clone, Debug)]
pub(crate) struct Parameters {
    /// Prefill speed of an engine, in prompt tokens per second.
    pub(crate) prefill_tokens_per_second: f64,
    /// Constant part of the time of a decode step, in milliseconds.
    pub(crate) step_ms: f64,
    /// Time that each sequence adds to a decode step, in milliseconds.
    pub(crate) step_ms_per_sequence: f64,
    /// Maximum batch size of an engine, in sequences.
    pub(crate) sequences: f64,
    /// Maximum number of prompt tokens computed in one step.
    pub(crate) chunk_tokens: f64,
    /// Size of the KV cache of one token, in bytes.
    pub(crate) kv_bytes_per_token: f64,
    /// Size of a block of KV cache memory, in tokens.
    pub(crate) block_tokens: f64,
    /// Capacity of an engine's KV cache, in tokens.
    pub(crate) kv_capacity_tokens: f64,
    /// Transfer speed of KV cache between engines, in bytes per second.
    pub(crate) transfer_bytes_per_second: f64,
    /// Duration of a role change after the engine is idle, in milliseconds.
    pub(crate) role_change_ms: f64,
    /// Delay of load reports to the daemons of the engine's data centre, in milliseconds; the
    /// others get them after twice that time.
    pub(crate) report_lag_ms: f64,
    /// Interval between load reports of an engine, in milliseconds.
    pub(crate) report_interval_ms: f64,
    /// Delay of cache events to the daemons of the engine's data centre, in milliseconds.
    pub(crate) cache_event_lag_ms: f64,
    /// Fraction of the cache events that are lost.
    pub(crate) cache_event_loss: f64,
    /// Duration of a plain call on a worker, in milliseconds.
    pub(crate) plain_ms: f64,
    /// Maximum number of plain calls that a worker runs concurrently.
    pub(crate) plain_calls: f64,
}

impl Default for Parameters {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 20_000.0,
            step_ms: 25.0,
            step_ms_per_sequence: 0.15,
            sequences: 128.0,
            chunk_tokens: 2_048.0,
            kv_bytes_per_token: 320_000.0,
            block_tokens: 2_048.0,
            kv_capacity_tokens: 1_000_000.0,
            transfer_bytes_per_second: 10e9,
            role_change_ms: 5_000.0,
            report_lag_ms: 1_000.0,
            report_interval_ms: 500.0,
            cache_event_lag_ms: 2_000.0,
            cache_event_loss: 0.02,
            plain_ms: 20.0,
            plain_calls: 8.0,
        }
    }
}

impl Parameters {
    /// Length above which a gap between two tokens counts as long, in milliseconds.
    pub(crate) const GAP_LIMIT_MS: f64 = 71.0;

    /// Fraction of the gaps of a sequence that may be longer than [`Self::GAP_LIMIT_MS`].
    pub(crate) const LONG_GAP_FRACTION: f64 = 0.05;

    /// Maximum value of any key; keeps sums of times and tokens within 64 bits.
    const VALUE_MAX: f64 = 1e12;

    /// Reads the section `[engine]` of an INI file; absent keys have their default value.
    pub(crate) fn read(path: &Path) -> Result<Self, Error> {
        let ini = Ini::load_from_file(path).map_err(|error| match error {
            ini::Error::Io(source) => Error::Read {
                path: path.to_owned(),
                source,
            },
            ini::Error::Parse(source) => Error::Ini {
                path: path.to_owned(),
                source,
            },
        })?;
        let mut parameters = Self::default();
        for (section, properties) in &ini {
            for (key, value) in properties {
                if section != Some("engine") {
                    return Err(Self::engine_error(
                        path,
                        &format!("`{key}` is outside of [engine]"),
                    ));
                }
                parameters
                    .set(key, value)
                    .map_err(|message| Self::engine_error(path, &message))?;
            }
        }
        Ok(parameters)
    }

    fn engine_error(path: &Path, message: &str) -> Error {
        Error::Engine {
            path: path.to_owned(),
            message: message.to_owned(),
        }
    }

    fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
        let number: f64 = value
            .trim()
            .parse()
            .map_err(|_error| format!("{key}: `{value}` is not a number"))?;
        let may_be_zero = matches!(
            key,
            "cache_event_loss"
                | "step_ms_per_sequence"
                | "report_lag_ms"
                | "cache_event_lag_ms"
                | "role_change_ms"
        );
        if !(0.0..=Self::VALUE_MAX).contains(&number) || (number == 0.0 && !may_be_zero) {
            return Err(format!("{key}: {number} is out of bounds"));
        }
        *self
            .field(key)
            .ok_or_else(|| format!("unknown key `{key}`"))? = number;
        Ok(())
    }

    fn field(&mut self, key: &str) -> Option<&mut f64> {
        Some(match key {
            "prefill_tokens_per_second" => &mut self.prefill_tokens_per_second,
            "step_ms" => &mut self.step_ms,
            "step_ms_per_sequence" => &mut self.step_ms_per_sequence,
            "sequences" => &mut self.sequences,
            "chunk_tokens" => &mut self.chunk_tokens,
            "kv_bytes_per_token" => &mut self.kv_bytes_per_token,
            "block_tokens" => &mut self.block_tokens,
            "kv_capacity_tokens" => &mut self.kv_capacity_tokens,
            "transfer_bytes_per_second" => &mut self.transfer_bytes_per_second,
            "role_change_ms" => &mut self.role_change_ms,
            "report_lag_ms" => &mut self.report_lag_ms,
            "report_interval_ms" => &mut self.report_interval_ms,
            "cache_event_lag_ms" => &mut self.cache_event_lag_ms,
            "cache_event_loss" => &mut self.cache_event_loss,
            "plain_ms" => &mut self.plain_ms,
            "plain_calls" => &mut self.plain_calls,
            _ => return None,
        })
    }

    /// Returns the time that an engine needs to compute `tokens` prompt tokens, in milliseconds.
    pub(crate) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * 1_000.0 / self.prefill_tokens_per_second
    }

    /// Returns the number of KV cache blocks that `tokens` occupy.
    pub(crate) fn blocks(&self, tokens: u32) -> u32 {
        (f64::from(tokens) / self.block_tokens).ceil() as u32
    }

    /// Returns the number of KV cache blocks of an engine.
    pub(crate) fn capacity_blocks(&self) -> u32 {
        (self.kv_capacity_tokens / self.block_tokens)
            .floor()
            .max(1.0) as u32
    }

    /// Returns the cost model of the policy with the same parameters.
    pub(crate) fn cost_model(&self) -> CostModel {
        CostModel {
            prefill_tokens_per_ms: self.prefill_tokens_per_second / 1_000.0,
            step_ms: self.step_ms,
            step_ms_per_sequence: self.step_ms_per_sequence,
            sequences_max: self.sequences,
            chunk_tokens: self.chunk_tokens,
            transfer_tokens_per_ms: self.transfer_bytes_per_second
                / self.kv_bytes_per_token
                / 1_000.0,
            block_tokens: self.block_tokens,
            kv_capacity_tokens: self.kv_capacity_tokens,
            role_change_ms: self.role_change_ms,
            ..CostModel::default()
        }
    }
}
