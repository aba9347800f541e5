//! Reading a settings file and checking it as a whole.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{fs, io};

use derive_more::{Display, Error};
use hg_model::HostName;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::{Key, Kind, Settings};

/// Most addresses in a list.
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
    /// What is wrong and what is allowed.
    pub problem: String,
}

impl SettingsFault {
    /// A mistake that lies in how several keys go together.
    pub(crate) fn whole_file(file: &Path, key: &str, problem: &str) -> Self {
        let (key, problem) = (key.to_owned(), problem.to_owned());
        Self { file: file.to_owned(), line: 1, key, problem }
    }
}

/// A settings file that cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[display("{}: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The content has mistakes; all of them are listed.
    #[display("{}", lines(faults))]
    Faulty {
        /// The mistakes, in the order of the file.
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
/// [`SettingsError`] with all mistakes.
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
    let mut check = Check { file, text, faults: Vec::new() };
    match DeTable::parse(text) {
        Ok(table) => check.table(&S::keys(), table.get_ref()),
        Err(error) => {
            let at = error.span().map_or(0, |span| span.start);
            check.fault(at, "toml", error.message().to_owned());
        }
    }
    if !check.faults.is_empty() {
        check.faults.sort_by_key(|fault| fault.line);
        return Err(SettingsError::Faulty { faults: check.faults });
    }
    toml::from_str(text).map_err(|error| {
        let at = error.span().map_or(0, |span| span.start);
        check.fault(at, "file", error.message().to_owned());
        SettingsError::Faulty { faults: check.faults }
    })
}

struct Check<'a> {
    file: &'a Path,
    text: &'a str,
    faults: Vec<SettingsFault>,
}

type Found<'a> = BTreeMap<String, &'a Spanned<DeValue<'a>>>;

impl Check<'_> {
    fn fault(&mut self, at: usize, key: &str, problem: String) {
        let before = self.text.get(..at).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let (file, key) = (self.file.to_owned(), key.to_owned());
        self.faults.push(SettingsFault { file, line, key, problem });
    }

    fn table(&mut self, keys: &[Key], table: &DeTable<'_>) {
        let mut found = Found::new();
        for (name, value) in table {
            let name_text: &str = name.get_ref();
            let is_section = keys.iter().any(|key| key.section == name_text);
            match value.get_ref() {
                DeValue::Table(inner) if is_section => {
                    self.section(keys, name_text, inner, &mut found)
                }
                _ => self.found(keys, name_text.to_owned(), name.span().start, value, &mut found),
            }
        }
        for key in keys.iter().filter(|key| key.default.is_none()) {
            if !found.contains_key(&key.path()) {
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
        found: &mut Found<'a>,
    ) {
        for (name, value) in table {
            let path = format!("{section}.{}", name.get_ref());
            self.found(keys, path, name.span().start, value, found);
        }
    }

    fn found<'a>(
        &mut self,
        keys: &[Key],
        path: String,
        at: usize,
        value: &'a Spanned<DeValue<'a>>,
        found: &mut Found<'a>,
    ) {
        let Some(key) = keys.iter().find(|key| key.path() == path) else {
            self.fault(at, &path, "is unknown; see docs/SETTINGS.md for the keys".to_owned());
            return;
        };
        if !is_allowed(&key.kind, value.get_ref()) {
            self.fault(value.span().start, &path, format!("is not {}", key.kind.allowed()));
        }
        found.insert(path, value);
    }
}

fn is_allowed(kind: &Kind, value: &DeValue<'_>) -> bool {
    match kind {
        Kind::Address => value.as_str().is_some_and(is_address),
        Kind::Addresses => value.as_array().is_some_and(|list| {
            let is_item =
                |item: &Spanned<DeValue<'_>>| item.get_ref().as_str().is_some_and(is_address);
            (1..=ADDRESSES_MAX).contains(&list.len()) && list.iter().all(is_item)
        }),
        Kind::Name => value.as_str().is_some_and(|text| HostName::new(text).is_ok()),
        Kind::Path => value.as_str().is_some_and(|text| !text.is_empty()),
        Kind::Number { min, max, .. } => value.as_integer().is_some_and(|number| {
            let parsed = u64::from_str_radix(number.as_str(), number.radix());
            parsed.is_ok_and(|n| (*min..=*max).contains(&n))
        }),
        Kind::Word(words) => value.as_str().is_some_and(|text| words.contains(&text)),
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}
