use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;

use crate::Error;

/// Log of records for tests, kept in memory and optionally appended to a file as JSON lines.
///
/// The file outlives the process, so that a test can read what a stand-in did before it crashed.
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
    /// Opens a log that also appends to the file at `path`, if given.
    pub(crate) fn open(path: Option<&str>) -> Result<Self, Error> {
        let file = path.map(open_file).transpose()?;
        Ok(Self {
            inner: Mutex::new(Inner {
                records: Vec::new(),
                file,
            }),
        })
    }

    pub(crate) fn append(&self, record: T) {
        let mut inner = self.lock();
        if let Some(file) = &mut inner.file
            && let Err(error) = write_line(file, &record)
        {
            log::error!("cannot write to the record log: {error}");
        }
        inner.records.push(record);
    }

    /// Returns the records of this process, without those that the file held before.
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
