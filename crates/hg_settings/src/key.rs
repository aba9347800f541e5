//! Descriptions of settings keys, and the reference table made from them.

use std::fmt::Write as _;

use serde::de::DeserializeOwned;

/// The kind of value that a key accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueKind {
    /// An IP address and port, such as `127.0.0.1:7100`.
    Address,
    /// A list of addresses.
    Addresses,
    /// A name of 1 to 64 characters out of `a-z A-Z 0-9 . _ -`.
    Name,
    /// A path to a file or folder.
    Path,
    /// A whole number in a range, with its unit.
    Number {
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
        /// The unit of the value.
        unit: &'static str,
    },
    /// One of these words.
    OneOf(&'static [&'static str]),
}

/// One key of a settings file.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// The section of the key; empty for a key outside all sections.
    pub section: &'static str,
    /// The name of the key.
    pub name: &'static str,
    /// The kind of value that the key accepts.
    pub kind: ValueKind,
    /// The default as shown in the reference table; `None` if the key is required.
    pub default: Option<&'static str>,
    /// What the key sets, in one sentence.
    pub description: &'static str,
}

/// The settings of a program, with descriptions of their keys.
pub trait Settings: DeserializeOwned {
    /// The program to which the settings belong.
    const PROGRAM: &'static str;

    /// The descriptions of all keys.
    fn keys() -> Vec<Key>;
}

impl Key {
    /// Describes a key that must be given.
    pub const fn required(
        section: &'static str,
        name: &'static str,
        kind: ValueKind,
        description: &'static str,
    ) -> Self {
        Self { section, name, kind, default: None, description }
    }

    /// Describes a key that may be omitted.
    pub const fn optional(
        section: &'static str,
        name: &'static str,
        kind: ValueKind,
        default: &'static str,
        description: &'static str,
    ) -> Self {
        Self { section, name, kind, default: Some(default), description }
    }

    /// The section and the name, joined by a dot.
    pub fn path(&self) -> String {
        if self.section.is_empty() {
            return self.name.to_owned();
        }
        format!("{}.{}", self.section, self.name)
    }
}

impl ValueKind {
    /// The allowed values, as shown in errors and in the reference table.
    pub fn allowed(&self) -> String {
        match self {
            Self::Address => "an IP address with port, such as \"127.0.0.1:7100\"".to_owned(),
            Self::Addresses => "a list of 1 to 16 IP addresses with ports".to_owned(),
            Self::Name => "1 to 64 characters out of a-z A-Z 0-9 . _ -".to_owned(),
            Self::Path => "a path that is not empty".to_owned(),
            Self::Number { min, max, unit } => format!("{min} to {max} {unit}"),
            Self::OneOf(words) => words.join(" or "),
        }
    }
}

/// The reference table of a program's settings, in Markdown.
pub fn reference_table<S: Settings>() -> String {
    let mut text =
        format!("## {}\n\n| key | allowed | default | meaning |\n|---|---|---|---|\n", S::PROGRAM);
    for key in S::keys() {
        let default = key.default.map_or("must be given".to_owned(), |d| format!("`{d}`"));
        let path = key.path();
        let allowed = key.kind.allowed();
        writeln!(text, "| `{path}` | {allowed} | {default} | {} |", key.description)
            .expect("writing to a string does not fail");
    }
    text
}
