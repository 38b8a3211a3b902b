use ragwortgrade_lib::configuration::KEY;
use ragwortgrade_lib::platform::{Error, HttpKeyValue, KeyValue as _};
use ragwortgrade_operator::{Store, StoreError, StoredDocument};
use ragwortgrade_schema::platform::Write;

/// [`Store`] for the configuration's key in the platform's key-value service.
#[derive(Debug)]
pub(crate) struct PlatformStore {
    key_value: HttpKeyValue,
}

impl PlatformStore {
    pub(crate) fn open(url: &str) -> Self {
        Self {
            key_value: HttpKeyValue::open(url),
        }
    }
}

impl Store for PlatformStore {
    fn read(&self) -> Result<Option<StoredDocument>, StoreError> {
        let entry = self.key_value.get(KEY).map_err(|error| classify(&error))?;
        Ok(entry.and_then(|entry| {
            let revision = entry.revision;
            entry.value.map(|text| StoredDocument { text, revision })
        }))
    }

    fn write(&self, text: &str, expect: u64) -> Result<(), StoreError> {
        let write = Write {
            key: KEY.to_owned(),
            value: Some(text.to_owned()),
            expect,
            lease: None,
        };
        self.key_value
            .write(&write)
            .map(drop)
            .map_err(|error| classify(&error))
    }
}

fn classify(error: &Error) -> StoreError {
    let text = error.to_string();
    match error {
        Error::Conflict { .. } => StoreError::Conflict,
        // The write may have taken effect even if its answer is malformed.
        Error::AnswerLost { .. } | Error::Malformed { .. } => StoreError::AnswerLost(text),
        Error::Unreachable { .. }
        | Error::RateLimited
        | Error::LeaseEnded
        | Error::Refused { .. } => StoreError::Unavailable(text),
    }
}
