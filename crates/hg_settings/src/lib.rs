//! Settings, checked as a whole, and the log set-up that follows from them.
//!
//! * [`ControlSettings`] and [`EntrySettings`] are what a process runs with.
//! * [`load`] reads a file and reports *all* mistakes, each with line, key and what is allowed.
//! * [`Key`] describes one key; the tables of keys are also the source of docs/SETTINGS.md.
//! * [`new_log`] makes the root logger; [`LogBudget`] bounds its volume.

mod check;
mod control_settings;
mod entry_settings;
mod key;
mod log;
mod log_budget;

pub use check::{SettingsError, SettingsFault, load, parse};
pub use control_settings::{AgreementSettings, ControlLimits, ControlSettings};
pub use entry_settings::{EntryLimits, EntrySettings, UpstreamSettings};
pub use key::{Key, Kind, Settings, reference};
pub use log::{LogFormat, LogLevel, LogSettings, new_log};
pub use log_budget::{LeftOut, LogBudget};
