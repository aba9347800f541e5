//! Reads a settings file and reports all mistakes in it at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{fs, io};

use derive_more::{Display, Error};
use hg_model::HostName;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::{Key, Settings, ValueKind};

/// Most addresses in a list of addresses.
const ADDRESSES_MAX: usize = 16;

/// One mistake in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}:{line}: {key}: {problem}", file.display())]
pub struct SettingsFault {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1.
    pub line: usize,
    /// The key's full path.
    pub key: String,
    /// What is wrong, and the allowed values.
    pub problem: String,
}

impl SettingsFault {
    /// A mistake in the combination of several keys, which belongs to no single line; it is shown
    /// with line 1.
    pub(crate) fn between_keys(file: &Path, key: &str, problem: &str) -> Self {
        let (key, problem) = (key.to_owned(), problem.to_owned());
        Self { file: file.to_owned(), line: 1, key, problem }
    }
}

/// Why a settings file cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[display("{}: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The content has mistakes; all of them are listed.
    #[display("{}", lines(faults))]
    Faulty {
        /// The mistakes, in the order of their lines.
        faults: Vec<SettingsFault>,
    },
}

fn lines(faults: &[SettingsFault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`SettingsError`] if the file cannot be read, or with all mistakes.
pub fn load<S: Settings>(file: &Path) -> Result<S, SettingsError> {
    let text = fs::read_to_string(file)
        .map_err(|source| SettingsError::Unreadable { file: file.to_owned(), source })?;
    parse(file, &text)
}

/// Checks the text of a settings file.
///
/// # Errors
///
/// [`SettingsError`] with all mistakes.
pub fn parse<S: Settings>(file: &Path, text: &str) -> Result<S, SettingsError> {
    let mut checker = Checker { file, text, faults: Vec::new() };
    match DeTable::parse(text) {
        Ok(table) => checker.table(&S::keys(), table.get_ref()),
        Err(error) => {
            let at = error.span().map_or(0, |span| span.start);
            checker.fault(at, "toml", error.message().to_owned());
        }
    }
    if !checker.faults.is_empty() {
        checker.faults.sort_by_key(|fault| fault.line);
        return Err(SettingsError::Faulty { faults: checker.faults });
    }
    toml::from_str(text).map_err(|error| {
        let at = error.span().map_or(0, |span| span.start);
        checker.fault(at, "file", error.message().to_owned());
        SettingsError::Faulty { faults: checker.faults }
    })
}

/// Compares a parsed file with the descriptions of its keys and collects the mistakes.
struct Checker<'a> {
    file: &'a Path,
    text: &'a str,
    faults: Vec<SettingsFault>,
}

/// The values in the file, by the full path of their keys.
type Values<'a> = BTreeMap<String, &'a Spanned<DeValue<'a>>>;

impl Checker<'_> {
    /// Adds a mistake at a byte offset of the text.
    fn fault(&mut self, at: usize, key: &str, problem: String) {
        let before = self.text.get(..at).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let (file, key) = (self.file.to_owned(), key.to_owned());
        self.faults.push(SettingsFault { file, line, key, problem });
    }

    fn table(&mut self, keys: &[Key], table: &DeTable<'_>) {
        let mut values = Values::new();
        for (name, value) in table {
            let name_text: &str = name.get_ref();
            let is_section = keys.iter().any(|key| key.section == name_text);
            match value.get_ref() {
                DeValue::Table(inner) if is_section => {
                    self.section(keys, name_text, inner, &mut values)
                }
                _ => self.value(keys, name_text.to_owned(), name.span().start, value, &mut values),
            }
        }
        for key in keys.iter().filter(|key| key.default.is_none()) {
            if !values.contains_key(&key.path()) {
                let problem = format!("is missing; give {}", key.kind.allowed());
                self.fault(self.text.len(), &key.path(), problem);
            }
        }
    }

    fn section<'a>(
        &mut self,
        keys: &[Key],
        section: &str,
        table: &'a DeTable<'a>,
        values: &mut Values<'a>,
    ) {
        for (name, value) in table {
            let path = format!("{section}.{}", name.get_ref());
            self.value(keys, path, name.span().start, value, values);
        }
    }

    fn value<'a>(
        &mut self,
        keys: &[Key],
        path: String,
        at: usize,
        value: &'a Spanned<DeValue<'a>>,
        values: &mut Values<'a>,
    ) {
        let Some(key) = keys.iter().find(|key| key.path() == path) else {
            self.fault(at, &path, "is unknown; see docs/SETTINGS.md for the keys".to_owned());
            return;
        };
        if !is_allowed(&key.kind, value.get_ref()) {
            self.fault(value.span().start, &path, format!("is not {}", key.kind.allowed()));
        }
        values.insert(path, value);
    }
}

fn is_allowed(kind: &ValueKind, value: &DeValue<'_>) -> bool {
    match kind {
        ValueKind::Address => value.as_str().is_some_and(is_address),
        ValueKind::Addresses => value.as_array().is_some_and(|list| {
            let is_item_allowed =
                |item: &Spanned<DeValue<'_>>| item.get_ref().as_str().is_some_and(is_address);
            (1..=ADDRESSES_MAX).contains(&list.len()) && list.iter().all(is_item_allowed)
        }),
        ValueKind::Name => value.as_str().is_some_and(|text| HostName::new(text).is_ok()),
        ValueKind::Path => value.as_str().is_some_and(|text| !text.is_empty()),
        ValueKind::Number { min, max, .. } => value.as_integer().is_some_and(|number| {
            let parsed = u64::from_str_radix(number.as_str(), number.radix());
            parsed.is_ok_and(|n| (*min..=*max).contains(&n))
        }),
        ValueKind::OneOf(words) => value.as_str().is_some_and(|text| words.contains(&text)),
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}
