use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;

use crate::Error;

/// Records that a test reads, kept in memory and, when a file is named, appended to it.
///
/// The file outlives the process, so that a test can judge what a crashed stand-in did.
#[derive(Debug)]
pub(crate) struct RecordLog<T> {
    inner: Mutex<Inner<T>>,
}

#[derive(Debug)]
struct Inner<T> {
    records: Vec<T>,
    file: Option<File>,
}

impl<T: Clone + Serialize> RecordLog<T> {
    /// Opens a log; `path` names the file.
    pub(crate) fn open(path: Option<&str>) -> Result<Self, Error> {
        let file = path.map(open_file).transpose()?;
        Ok(Self {
            inner: Mutex::new(Inner {
                records: Vec::new(),
                file,
            }),
        })
    }

    /// Appends one record.
    pub(crate) fn append(&self, record: T) {
        let mut inner = self.lock();
        if let Some(file) = &mut inner.file
            && let Err(error) = write_line(file, &record)
        {
            log::error!("record log cannot be written: {error}");
        }
        inner.records.push(record);
    }

    /// Returns all records of this process.
    pub(crate) fn records(&self) -> Vec<T> {
        self.lock().records.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn open_file(path: &str) -> Result<File, Error> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .map_err(|cause| Error::File {
            path: path.to_owned(),
            cause,
        })
}

fn write_line(file: &mut File, record: &impl Serialize) -> std::io::Result<()> {
    let mut line = serde_json::to_vec(record)?;
    line.push(b'\n');
    file.write_all(&line)
}
