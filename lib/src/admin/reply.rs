use ragwortgrade_schema::admin::{AdminError, AdminRefusal};
use rouille::Response;
use serde::Serialize;

const INTERNAL_ERROR: u16 = 500;

pub(super) fn json_response(status: u16, body: &impl Serialize) -> Response {
    match serde_json::to_string(body) {
        Ok(text) => Response::from_data("application/json", text).with_status_code(status),
        Err(_) => Response::text("").with_status_code(INTERNAL_ERROR),
    }
}

/// Returns an error response with a code for programs and a message for operators.
pub(super) fn error_response(status: u16, code: &str, message: &str) -> Response {
    let error = AdminError {
        code: code.to_owned(),
        message: message.to_owned(),
    };
    json_response(status, &AdminRefusal { error })
}
