//! The root logger.

use std::time::Instant;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use slog::{Drain as _, Logger, o};

use crate::log_budget::LINES_PER_SECOND;
use crate::{Key, Kind, LogBudget};

/// Most log lines that wait to be written; more are dropped and counted.
const LOG_QUEUE_LINES: usize = 8_192;

/// How log lines look.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The least severe lines that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Decisions and changes.
    #[default]
    Info,
    /// What needs attention.
    Warning,
}

/// How to log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The format.
    pub format: LogFormat,
    /// The level.
    pub level: LogLevel,
}

pub(crate) const LOG_KEYS: [Key; 2] = [
    Key::optional("log", "format", Kind::Word(&["text", "json"]), "text", "How log lines look."),
    Key::optional(
        "log",
        "level",
        Kind::Word(&["debug", "info", "warning"]),
        "info",
        "The least severe lines that are written.",
    ),
];

/// Makes the root logger, which writes to standard output.
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
            finish(drain, level, host)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            finish(drain, level, host)
        }
    }
}

fn finish<D>(drain: D, level: slog::Level, host: String) -> Logger
where
    D: slog::Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog::LevelFilter::new(drain, level).fuse();
    let drain = slog_async::Async::new(drain).chan_size(LOG_QUEUE_LINES).build().fuse();
    let drain = LogBudget::new(drain, LINES_PER_SECOND, Instant::now()).fuse();
    Logger::root(drain, o!("host" => host))
}
