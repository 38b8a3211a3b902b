use std::path::Path;

use ragwortgrade_schema::Name;
use serde::{Deserialize, Deserializer, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Error;

/// A call of the trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Row {
    /// Time at which the caller sends it, in milliseconds since the start.
    pub(crate) at_ms: u64,
    /// Name of the called service.
    pub(crate) service: Name,
    /// Whether an engine or a plain service answers it.
    pub(crate) kind: Kind,
    /// Calls with a higher priority are served first.
    pub(crate) priority: u8,
    /// Length of the prompt, in tokens.
    pub(crate) prompt_tokens: u32,
    /// Length of the answer, in tokens.
    pub(crate) output_tokens: u32,
    /// Identity of the prefix shared with other prompts: a number or any text; 0 or empty for none.
    #[serde(default, deserialize_with = "prefix_identity")]
    pub(crate) prefix_id: Option<u64>,
    /// Length of that prefix, in tokens.
    #[serde(default)]
    pub(crate) prefix_tokens: Option<u32>,
    /// Time limit for the first token of a model call or the answer of a plain call; empty for the
    /// default.
    #[serde(default)]
    pub(crate) deadline_ms: Option<u64>,
}

/// Deserializes the identity of a prefix; text that is not a number is hashed.
fn prefix_identity<'de, D: Deserializer<'de>>(field: D) -> Result<Option<u64>, D::Error> {
    let text = Option::<String>::deserialize(field)?.unwrap_or_default();
    if text.is_empty() {
        return Ok(None);
    }
    let identity = text.parse().unwrap_or_else(|_| xxh3_64(text.as_bytes()));
    Ok(Some(identity))
}

/// Kind of endpoint that answers a call.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// An engine.
    Model,
    /// A worker of a plain service.
    Plain,
}

impl Row {
    /// Deadline of rows without one, in milliseconds.
    const DEFAULT_DEADLINE_MS: u64 = 940;

    /// Longest prompt of a short question, in tokens.
    const SHORT_TOKENS: u32 = 512;

    pub(crate) fn deadline_ms(&self) -> u64 {
        self.deadline_ms
            .filter(|deadline| *deadline > 0)
            .unwrap_or(Self::DEFAULT_DEADLINE_MS)
    }

    /// Returns the identity of the shared prefix and its length in tokens, if there is one.
    pub(crate) fn prefix(&self) -> Option<(u64, u32)> {
        let tokens = self.prefix_tokens.unwrap_or(0).min(self.prompt_tokens);
        self.prefix_id
            .filter(|prefix| *prefix != 0 && tokens > 0)
            .map(|prefix| (prefix, tokens))
    }

    pub(crate) fn is_short_question(&self) -> bool {
        self.kind == Kind::Model && self.prompt_tokens <= Self::SHORT_TOKENS
    }
}

/// Calls of one experiment.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    /// Sorted by time.
    pub(crate) rows: Vec<Row>,
}

impl Trace {
    /// Maximum number of rows; limits the memory used.
    const ROWS_MAX: usize = 2_000_000;
    /// Maximum time and deadline of a call: one day, in milliseconds.
    const TIME_MAX_MS: u64 = 86_400_000;
    /// Maximum length of a prompt, answer or prefix, in tokens.
    const TOKENS_MAX: u32 = 900_000;

    /// Reads a CSV file whose header names the columns of [`Row`].
    pub(crate) fn read(path: &Path) -> Result<Self, Error> {
        let csv_error = |source| Error::Csv {
            path: path.to_owned(),
            source,
        };
        let mut reader = csv::ReaderBuilder::new()
            .trim(csv::Trim::All)
            .from_path(path)
            .map_err(csv_error)?;
        let headers = reader.headers().map_err(csv_error)?.clone();
        let mut record = csv::StringRecord::new();
        let mut rows = Vec::new();
        while reader.read_record(&mut record).map_err(csv_error)? {
            let line = record.position().map_or(0, csv::Position::line);
            let row: Row = record.deserialize(Some(&headers)).map_err(csv_error)?;
            Self::validate(&row, rows.len()).map_err(|message| Error::Row {
                path: path.to_owned(),
                line,
                message,
            })?;
            rows.push(row);
        }
        if rows.is_empty() {
            return Err(Error::Empty {
                path: path.to_owned(),
            });
        }
        Ok(Self::sorted(rows))
    }

    /// Writes the trace as a CSV file that [`Self::read`] accepts.
    pub(crate) fn write(&self, path: &Path) -> Result<(), Error> {
        let csv_error = |source| Error::Csv {
            path: path.to_owned(),
            source,
        };
        let mut writer = csv::Writer::from_path(path).map_err(csv_error)?;
        for row in &self.rows {
            writer.serialize(row).map_err(csv_error)?;
        }
        writer.flush()?;
        Ok(())
    }

    /// Creates a trace from unsorted rows.
    pub(crate) fn sorted(mut rows: Vec<Row>) -> Self {
        rows.sort_by_key(|row| row.at_ms);
        Self { rows }
    }

    /// Returns the time of the last call, in milliseconds.
    pub(crate) fn length_ms(&self) -> u64 {
        self.rows.last().map_or(0, |row| row.at_ms)
    }

    fn validate(row: &Row, count: usize) -> Result<(), String> {
        if count >= Self::ROWS_MAX {
            return Err(format!("more than {} rows", Self::ROWS_MAX));
        }
        if row.service.is_empty() {
            return Err("service: empty".to_owned());
        }
        if row.at_ms > Self::TIME_MAX_MS {
            return Err(format!(
                "at_ms: {} is over {}",
                row.at_ms,
                Self::TIME_MAX_MS
            ));
        }
        if row
            .deadline_ms
            .is_some_and(|limit| limit > Self::TIME_MAX_MS)
        {
            return Err(format!("deadline_ms: over {}", Self::TIME_MAX_MS));
        }
        let fields = [
            ("prompt_tokens", row.prompt_tokens),
            ("output_tokens", row.output_tokens),
            ("prefix_tokens", row.prefix_tokens.unwrap_or(0)),
        ];
        for (field, tokens) in fields {
            if tokens > Self::TOKENS_MAX {
                return Err(format!("{field}: {tokens} is over {}", Self::TOKENS_MAX));
            }
        }
        if row.kind == Kind::Model && (row.prompt_tokens == 0 || row.output_tokens == 0) {
            return Err("prompt_tokens and output_tokens: 0 on a model call".to_owned());
        }
        Ok(())
    }
}
