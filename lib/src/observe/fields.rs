use log::kv::{self, Key, Value, VisitSource};
use serde_json::Map;

/// Collects the key-value pairs of a log record as JSON fields.
#[derive(Debug)]
pub(super) struct Fields<'a>(pub(super) &'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let field = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.entry(key.as_str().to_owned()).or_insert(field);
        Ok(())
    }
}
