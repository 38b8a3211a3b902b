use ragwortgrade_schema::configuration::{Configuration, Header};

use crate::{
    ApplyError, ApplyOutcome, Difference, Retry, Store, StoreError, StoredDocument, parse,
    parse_header, render,
};

/// Applies one configuration.
///
/// Each applier is used once, because its apply identity must identify a single write.
#[derive(Debug)]
pub struct Applier<'a, S: ?Sized, R> {
    store: &'a S,
    retry: R,
    apply_id: String,
    /// Document revision that must be stored, if any is required.
    base: Option<u64>,
    /// Lowest document revision that may be stored.
    in_force: u64,
}

impl<'a, S: Store + ?Sized, R: Retry> Applier<'a, S, R> {
    /// Creates an applier; `apply_id` must be unique to this apply.
    pub fn new(store: &'a S, retry: R, apply_id: &str) -> Self {
        Self {
            store,
            retry,
            apply_id: apply_id.to_owned(),
            base: None,
            in_force: 0,
        }
    }

    /// Requires that the stored document has this revision, the one against which the change was
    /// reviewed.
    #[must_use]
    pub fn on_base(mut self, revision: u64) -> Self {
        self.base = Some(revision);
        self
    }

    /// Requires that the stored document is at least as new as `revision`, which is in force at the
    /// daemons.
    #[must_use]
    pub fn in_force(mut self, revision: u64) -> Self {
        self.in_force = revision;
        self
    }

    /// Writes the configuration as the next revision, unless the stored document has the same
    /// declarations.
    ///
    /// # Errors
    ///
    /// Fails if another operator changed the configuration first, if the platform does not answer
    /// in time or if its document is older than that of the daemons or has no readable header.
    pub fn apply(mut self, desired: &Configuration) -> Result<ApplyOutcome, ApplyError> {
        let stored = self
            .read()
            .map_err(|cause| ApplyError::NotWritten { cause })?;
        let header = read_header(stored.as_ref())?;
        if header.revision < self.in_force {
            return Err(ApplyError::PlatformBehind {
                found: header.revision,
                in_force: self.in_force,
            });
        }
        if let Some(base) = self.base.filter(|base| *base != header.revision) {
            return Err(conflict_error(base, stored.as_ref(), desired));
        }
        if is_unchanged(stored.as_ref(), desired) {
            return Ok(ApplyOutcome::Unchanged {
                revision: header.revision,
            });
        }
        self.write(desired, &header, stored.map_or(0, |stored| stored.revision))
    }

    /// Writes the document; retries until the outcome is known or the retry policy ends the
    /// retries.
    ///
    /// Every attempt expects the same revision of the key, so at most one of them takes effect,
    /// even if an earlier write whose answer was lost arrives after a later one.
    fn write(
        &mut self,
        desired: &Configuration,
        current: &Header,
        expect: u64,
    ) -> Result<ApplyOutcome, ApplyError> {
        let mut document = desired.clone();
        document.header.revision = current.revision + 1;
        document.header.apply_id.clone_from(&self.apply_id);
        let text = render(&document);
        let mut is_answer_lost = false;
        let mut failures = 0;
        loop {
            let cause = match self.store.write(&text, expect) {
                Ok(()) => {
                    return Ok(ApplyOutcome::Written {
                        revision: document.header.revision,
                    });
                }
                Err(StoreError::Conflict) => {
                    return self.resolve_conflict(&document, current, is_answer_lost);
                }
                Err(cause) => cause,
            };
            is_answer_lost |= matches!(cause, StoreError::AnswerLost(_));
            failures += 1;
            if !self.retry.wait(failures, &cause) {
                return Err(self.timeout_error(is_answer_lost, cause));
            }
        }
    }

    /// Determines from the apply identity of the stored document whether an earlier attempt of this
    /// apply or another operator's write caused the conflict.
    fn resolve_conflict(
        &mut self,
        document: &Configuration,
        current: &Header,
        is_answer_lost: bool,
    ) -> Result<ApplyOutcome, ApplyError> {
        let stored = self
            .read()
            .map_err(|cause| self.timeout_error(is_answer_lost, cause))?;
        let header = read_header(stored.as_ref())?;
        let revision = document.header.revision;
        if header.apply_id == self.apply_id {
            return Ok(ApplyOutcome::Written {
                revision: header.revision,
            });
        }
        if is_answer_lost && header.revision > revision {
            return Err(ApplyError::OutcomeUnknown {
                apply_id: self.apply_id.clone(),
                reason: format!(
                    "revision {} by {} followed before the answer could be read back",
                    header.revision, header.author
                ),
            });
        }
        Err(conflict_error(current.revision, stored.as_ref(), document))
    }

    /// Reads the stored document, with retries.
    fn read(&mut self) -> Result<Option<StoredDocument>, StoreError> {
        let mut failures = 0;
        loop {
            match self.store.read() {
                Ok(stored) => return Ok(stored),
                Err(cause) => {
                    failures += 1;
                    if !self.retry.wait(failures, &cause) {
                        return Err(cause);
                    }
                }
            }
        }
    }

    /// Returns the error of an apply whose retries have ended.
    fn timeout_error(&self, is_answer_lost: bool, cause: StoreError) -> ApplyError {
        if is_answer_lost {
            ApplyError::OutcomeUnknown {
                apply_id: self.apply_id.clone(),
                reason: cause.to_string(),
            }
        } else {
            ApplyError::NotWritten { cause }
        }
    }
}

/// Returns the header of the stored document; revision 0 stands for no document.
fn read_header(stored: Option<&StoredDocument>) -> Result<Header, ApplyError> {
    match stored {
        Some(stored) => parse_header(&stored.text).ok_or(ApplyError::Unreadable),
        None => Ok(Header {
            revision: 0,
            apply_id: String::new(),
            author: String::new(),
        }),
    }
}

/// Returns whether the stored document has the desired declarations.
fn is_unchanged(stored: Option<&StoredDocument>, desired: &Configuration) -> bool {
    let stored = stored.and_then(|stored| parse(&stored.text).ok());
    stored.is_some_and(|stored| Difference::between(Some(&stored), desired).is_empty())
}

fn conflict_error(
    expected: u64,
    stored: Option<&StoredDocument>,
    desired: &Configuration,
) -> ApplyError {
    let header = stored.and_then(|stored| parse_header(&stored.text));
    let (found, author) =
        header.map_or_else(Default::default, |header| (header.revision, header.author));
    let stored = stored.and_then(|stored| parse(&stored.text).ok());
    ApplyError::Conflict {
        expected,
        found,
        author,
        difference: Box::new(Difference::between(stored.as_ref(), desired)),
    }
}
