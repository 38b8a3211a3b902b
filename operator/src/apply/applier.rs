use ragwortgrade_schema::configuration::{Configuration, Header};

use crate::{
    Applied, ApplyError, Difference, Retry, Store, StoreError, Stored, parse, parse_header, render,
};

/// Applies one configuration; used once, since its apply identity names one apply.
#[derive(Debug)]
pub struct Applier<'a, S: ?Sized, R> {
    store: &'a S,
    retry: R,
    apply_id: String,
    base: Option<u64>,
    in_force: u64,
}

impl<'a, S: Store + ?Sized, R: Retry> Applier<'a, S, R> {
    /// Opens an apply with its own identity, which must be used for no other apply.
    pub fn open(store: &'a S, retry: R, apply_id: &str) -> Self {
        Self {
            store,
            retry,
            apply_id: apply_id.to_owned(),
            base: None,
            in_force: 0,
        }
    }

    /// Applies only if the platform holds this document revision, the one that was reviewed.
    #[must_use]
    pub fn on_base(mut self, revision: u64) -> Self {
        self.base = Some(revision);
        self
    }

    /// Applies only if the platform does not hold an older document than the daemons.
    #[must_use]
    pub fn in_force(mut self, revision: u64) -> Self {
        self.in_force = revision;
        self
    }

    /// Writes the configuration as the next revision.
    ///
    /// # Errors
    ///
    /// Fails when another operator was faster, when the platform does not answer in time or when
    /// it holds older data than the daemons.
    pub fn apply(mut self, wanted: &Configuration) -> Result<Applied, ApplyError> {
        let held = self
            .read()
            .map_err(|cause| ApplyError::NotWritten { cause })?;
        let header = read_header(held.as_ref())?;
        if header.revision < self.in_force {
            return Err(ApplyError::PlatformBehind {
                found: header.revision,
                in_force: self.in_force,
            });
        }
        if let Some(base) = self.base.filter(|base| *base != header.revision) {
            return Err(conflict(base, held.as_ref(), wanted));
        }
        if is_same(held.as_ref(), wanted) {
            return Ok(Applied::Unchanged {
                revision: header.revision,
            });
        }
        self.write(wanted, &header, held.map_or(0, |held| held.revision))
    }

    /// Writes until the outcome is known.
    ///
    /// Every try expects the same revision of the key, so at most one of them takes effect, also
    /// when a write whose answer was lost arrives after the next one.
    fn write(
        &mut self,
        wanted: &Configuration,
        before: &Header,
        expect: u64,
    ) -> Result<Applied, ApplyError> {
        let mut document = wanted.clone();
        document.header.revision = before.revision + 1;
        document.header.apply_id.clone_from(&self.apply_id);
        let text = render(&document);
        let mut is_lost = false;
        let mut failures = 0;
        loop {
            let cause = match self.store.write(&text, expect) {
                Ok(()) => {
                    return Ok(Applied::Written {
                        revision: document.header.revision,
                    });
                }
                Err(StoreError::Conflict) => return self.read_back(&document, before, is_lost),
                Err(cause) => cause,
            };
            is_lost |= matches!(cause, StoreError::AnswerLost(_));
            failures += 1;
            if !self.retry.wait(failures, &cause) {
                return Err(self.out_of_time(is_lost, cause));
            }
        }
    }

    /// Tells by the apply identity whose write took effect.
    fn read_back(
        &mut self,
        document: &Configuration,
        before: &Header,
        is_lost: bool,
    ) -> Result<Applied, ApplyError> {
        let held = self
            .read()
            .map_err(|cause| self.out_of_time(is_lost, cause))?;
        let header = read_header(held.as_ref())?;
        let revision = document.header.revision;
        if header.apply_id == self.apply_id {
            return Ok(Applied::Written {
                revision: header.revision,
            });
        }
        if is_lost && header.revision > revision {
            return Err(ApplyError::OutcomeUnknown {
                apply_id: self.apply_id.clone(),
                reason: format!(
                    "revision {} by {} followed before the answer could be read back",
                    header.revision, header.author
                ),
            });
        }
        Err(conflict(before.revision, held.as_ref(), document))
    }

    fn read(&mut self) -> Result<Option<Stored>, StoreError> {
        let mut failures = 0;
        loop {
            match self.store.read() {
                Ok(held) => return Ok(held),
                Err(cause) => {
                    failures += 1;
                    if !self.retry.wait(failures, &cause) {
                        return Err(cause);
                    }
                }
            }
        }
    }

    fn out_of_time(&self, is_lost: bool, cause: StoreError) -> ApplyError {
        if is_lost {
            ApplyError::OutcomeUnknown {
                apply_id: self.apply_id.clone(),
                reason: cause.to_string(),
            }
        } else {
            ApplyError::NotWritten { cause }
        }
    }
}

fn read_header(held: Option<&Stored>) -> Result<Header, ApplyError> {
    match held {
        Some(held) => parse_header(&held.text).ok_or(ApplyError::Unreadable),
        None => Ok(Header {
            revision: 0,
            apply_id: String::new(),
            author: String::new(),
        }),
    }
}

fn is_same(held: Option<&Stored>, wanted: &Configuration) -> bool {
    let held = held.and_then(|held| parse(&held.text).ok());
    held.is_some_and(|held| Difference::between(Some(&held), wanted).is_empty())
}

fn conflict(expected: u64, held: Option<&Stored>, wanted: &Configuration) -> ApplyError {
    let header = held.and_then(|held| parse_header(&held.text));
    let (found, author) = header.map_or_else(Default::default, |it| (it.revision, it.author));
    let held = held.and_then(|held| parse(&held.text).ok());
    ApplyError::Conflict {
        expected,
        found,
        author,
        difference: Box::new(Difference::between(held.as_ref(), wanted)),
    }
}
