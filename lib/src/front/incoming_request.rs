use super::head;

/// A caller's request, read completely and within the limits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncomingRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers in the order of the request; never logged.
    pub headers: Vec<(String, String)>,
    /// Body; never logged.
    pub body: Vec<u8>,
}

impl IncomingRequest {
    /// Returns the value of the first header with a name; case is ignored.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        head::find_header(&self.headers, name)
    }

    /// Returns the path without its query.
    #[must_use]
    pub fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}
