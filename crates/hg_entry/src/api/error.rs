//! Error bodies with a stable code.

use std::time::Duration;

use derive_more::{Display, Error};
use hg_model::ListFault;
use poem::error::ResponseError;
use poem::http::StatusCode;
use poem::{IntoResponse as _, Response};
use serde::Serialize;

/// What went wrong, for programs.
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
    /// Someone else's lists came first; nothing was changed.
    ListConflict,
    /// Too much is in progress here; nothing was done.
    Overloaded,
    /// This entry is about to end; nothing was done.
    Stopping,
    /// No control leader answered; it may or may not have been done. Ask again with the same id.
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

/// An error as callers see it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize)]
#[display("{code}: {message}")]
pub struct ApiError {
    /// For programs.
    pub code: ErrorCode,
    /// For people.
    pub message: String,
    /// The mistakes of lists, each with its place.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<ListFault>,
    /// When it may help to come back; also sent as `Retry-After`, in whole seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ApiError {
    /// An error with a sentence.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), faults: Vec::new(), retry_after_ms: None }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after_ms = u64::try_from(span.as_millis()).ok();
        self
    }

    /// Adds the mistakes of lists.
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

/// Adds `Retry-After`, rounded up to whole seconds.
pub(super) fn with_retry_after(mut response: Response, retry_after_ms: Option<u64>) -> Response {
    const MS_PER_S: u64 = 1_000;
    if let Some(ms) = retry_after_ms {
        response.headers_mut().insert("retry-after", ms.div_ceil(MS_PER_S).max(1).into());
    }
    response
}

/// Gives unknown paths an error body like any other.
pub(super) async fn not_found(_: poem::error::NotFoundError) -> Response {
    ApiError::new(ErrorCode::NotFound, "there is no such path").as_response().into_response()
}
