//! Error responses with a stable code.

use std::time::Duration;

use derive_more::{Display, Error};
use hg_model::ListFault;
use poem::error::ResponseError;
use poem::http::StatusCode;
use poem::{IntoResponse as _, Response};
use serde::Serialize;

/// The kind of an error, stable for programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed or a field is out of bounds.
    BadRequest,
    /// There is no such path, job or upstream.
    NotFound,
    /// The body is too large.
    TooLarge,
    /// The id belongs to another job.
    IdTaken,
    /// The lists have mistakes; nothing was changed.
    ListFaults,
    /// Another write of the lists came first; nothing was changed.
    ListConflict,
    /// A limit of this entry is reached; nothing was done.
    Overloaded,
    /// This entry is shutting down; nothing was done.
    Stopping,
    /// No control leader answered, so the outcome is unknown. Retry with the same id.
    ControlUnavailable,
    /// The answer's upstream cannot be reached now.
    AnswerUnavailable,
}

impl ErrorCode {
    const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IdTaken | Self::ListConflict => StatusCode::CONFLICT,
            Self::ListFaults => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::Stopping | Self::ControlUnavailable | Self::AnswerUnavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

/// An error as it is sent to the client.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize)]
#[display("{code}: {message}")]
pub struct ApiError {
    /// The kind of the error, for programs.
    pub code: ErrorCode,
    /// The explanation, for people.
    pub message: String,
    /// The mistakes in the lists, each with its place.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<ListFault>,
    /// When a retry may succeed, in milliseconds; also sent as `Retry-After`, in whole seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ApiError {
    /// An error with its explanation.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), faults: Vec::new(), retry_after_ms: None }
    }

    /// Adds the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = u64::try_from(delay.as_millis()).ok();
        self
    }

    /// Adds the mistakes in the lists.
    #[must_use]
    pub fn with_faults(mut self, faults: Vec<ListFault>) -> Self {
        self.faults = faults;
        self
    }
}

impl ResponseError for ApiError {
    fn status(&self) -> StatusCode {
        self.code.status()
    }

    fn as_response(&self) -> Response {
        with_retry_after(super::json(self.status(), self), self.retry_after_ms)
    }
}

/// Adds the header `Retry-After`, rounded up to whole seconds and at least 1.
pub(super) fn with_retry_after(mut response: Response, retry_after_ms: Option<u64>) -> Response {
    const MS_PER_S: u64 = 1_000;
    if let Some(ms) = retry_after_ms {
        response.headers_mut().insert("retry-after", ms.div_ceil(MS_PER_S).max(1).into());
    }
    response
}

/// Responds to unknown paths with an error body like that of other errors.
pub(super) async fn not_found(_: poem::error::NotFoundError) -> Response {
    ApiError::new(ErrorCode::NotFound, "there is no such path").as_response().into_response()
}
