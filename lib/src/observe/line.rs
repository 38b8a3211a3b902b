use std::time::{SystemTime, UNIX_EPOCH};

use log::Record;
use serde_json::{Map, Value};

use super::fields::Fields;

/// Renders a log record as one line of JSON.
///
/// The fields are `time_ms` (Unix time), `level`, `target`, `message` and the record's key-value
/// pairs, which never replace one of the first four.
#[must_use]
pub fn render(record: &Record<'_>) -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut line = Map::new();
    line.insert("time_ms".to_owned(), Value::from(since.as_millis() as u64));
    line.insert(
        "level".to_owned(),
        record.level().as_str().to_ascii_lowercase().into(),
    );
    line.insert("target".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    if let Err(error) = record.key_values().visit(&mut Fields(&mut line)) {
        line.insert("fields_error".to_owned(), error.to_string().into());
    }
    Value::Object(line).to_string()
}
