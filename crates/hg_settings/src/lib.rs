//! Reads and validates the settings files, and sets up logging from them.
//!
//! * [`ControlSettings`] and [`EntrySettings`] are the settings of the two kinds of process.
//! * [`ServerSettings`] are those of the HTTP server that both have.
//! * [`load`] reads a file and reports *all* mistakes, each with its line, key and allowed values.
//! * [`Key`] describes one key; docs/SETTINGS.md is generated from the tables of keys.
//! * [`new_log`] creates the root logger; [`LogBudget`] limits the rate of log lines.

mod check;
mod control_settings;
mod entry_settings;
mod key;
mod log;
mod log_budget;
mod server_settings;

pub use check::{SettingsError, SettingsFault, load, parse};
pub use control_settings::{AgreementSettings, ControlLimits, ControlSettings};
pub use entry_settings::{EntryLimits, EntrySettings, UpstreamSettings};
pub use key::{Key, Settings, ValueKind, reference_table};
pub use log::{LogFormat, LogLevel, LogSettings, new_log};
pub use log_budget::{DroppedLines, LogBudget};
pub use server_settings::ServerSettings;
