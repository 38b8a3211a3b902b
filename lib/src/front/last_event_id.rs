use super::{Code, Refusal};

const REQUEST_DIGITS: usize = 32;

/// The last event of a stream that a caller received, from its header `Last-Event-ID`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastEventId {
    /// Identity of the request.
    pub request: String,
    /// Index of the last token received.
    pub index: u32,
}

impl LastEventId {
    /// Parses `<request id>.<token index>`.
    ///
    /// # Errors
    ///
    /// Fails for any other text.
    pub fn parse(text: &str) -> Result<Self, Refusal> {
        let malformed = || Refusal::not_run(Code::Malformed, "Last-Event-ID is malformed");
        let (request, index) = text.split_once('.').ok_or_else(malformed)?;
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if request.len() != REQUEST_DIGITS || !request.bytes().all(is_digit) {
            return Err(malformed());
        }
        if !index.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(malformed());
        }
        let index: u32 = index.parse().map_err(|_too_large| malformed())?;
        if index == u32::MAX {
            return Err(malformed());
        }
        Ok(Self {
            request: request.to_owned(),
            index,
        })
    }

    /// Returns the tag of the request's entry daemon.
    #[must_use]
    pub fn daemon_tag(&self) -> u16 {
        u128::from_str_radix(&self.request, 16).unwrap_or_default() as u16
    }
}
