//! The log settings and the root logger.

use std::time::Instant;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use slog::{Drain as _, Logger, o};

use crate::log_budget::LINES_PER_SECOND;
use crate::{Key, LogBudget, ValueKind};

/// Most log lines that wait to be written; further lines are dropped and counted.
const LOG_QUEUE_LINES: usize = 8_192;

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Lines of plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The least severe level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// All lines.
    Debug,
    /// Decisions and changes of state, and all more severe lines.
    #[default]
    Info,
    /// Only lines about conditions that need attention.
    Warning,
}

/// The log format and level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: LogLevel,
}

pub(crate) const LOG_KEYS: [Key; 2] = [
    Key::optional(
        "log",
        "format",
        ValueKind::OneOf(&["text", "json"]),
        "text",
        "Format of log lines.",
    ),
    Key::optional(
        "log",
        "level",
        ValueKind::OneOf(&["debug", "info", "warning"]),
        "info",
        "The least severe level that is written.",
    ),
];

/// Creates the root logger, which writes to standard output and adds `host` to each line.
pub fn new_log(settings: LogSettings, host: &str) -> Logger {
    let level = match settings.level {
        LogLevel::Debug => slog::Level::Debug,
        LogLevel::Info => slog::Level::Info,
        LogLevel::Warning => slog::Level::Warning,
    };
    let host = host.to_owned();
    match settings.format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stdout());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            build_logger(drain, level, host)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            build_logger(drain, level, host)
        }
    }
}

/// Adds the level filter, the asynchronous queue and the rate limit to a drain.
fn build_logger<D>(drain: D, level: slog::Level, host: String) -> Logger
where
    D: slog::Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog::LevelFilter::new(drain, level).fuse();
    let drain = slog_async::Async::new(drain).chan_size(LOG_QUEUE_LINES).build().fuse();
    let drain = LogBudget::new(drain, LINES_PER_SECOND, Instant::now()).fuse();
    Logger::root(drain, o!("host" => host))
}
