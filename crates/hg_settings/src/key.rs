//! The description of one settings key.

use std::fmt::Write as _;

use serde::de::DeserializeOwned;

/// What a key's value may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
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
        /// The least allowed.
        min: u64,
        /// The most allowed.
        max: u64,
        /// What is counted.
        unit: &'static str,
    },
    /// One of a few words.
    Word(&'static [&'static str]),
}

/// One key of a settings file.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Its section; empty at the top.
    pub section: &'static str,
    /// Its name.
    pub name: &'static str,
    /// What it may be.
    pub kind: Kind,
    /// The default as shown to readers; `None` if it must be given.
    pub default: Option<&'static str>,
    /// What it does, in a sentence.
    pub about: &'static str,
}

/// Settings that know their keys.
pub trait Settings: DeserializeOwned {
    /// Which program they are for.
    const PROGRAM: &'static str;

    /// All keys.
    fn keys() -> Vec<Key>;
}

impl Key {
    /// A key that must be given.
    pub const fn required(
        section: &'static str,
        name: &'static str,
        kind: Kind,
        about: &'static str,
    ) -> Self {
        Self { section, name, kind, default: None, about }
    }

    /// A key that may be left out.
    pub const fn optional(
        section: &'static str,
        name: &'static str,
        kind: Kind,
        default: &'static str,
        about: &'static str,
    ) -> Self {
        Self { section, name, kind, default: Some(default), about }
    }

    /// Section and name with a dot.
    pub fn path(&self) -> String {
        if self.section.is_empty() {
            return self.name.to_owned();
        }
        format!("{}.{}", self.section, self.name)
    }
}

impl Kind {
    /// What is allowed, in words.
    pub fn allowed(&self) -> String {
        match self {
            Self::Address => "an IP address with port, such as \"127.0.0.1:7100\"".to_owned(),
            Self::Addresses => "a list of 1 to 16 IP addresses with ports".to_owned(),
            Self::Name => "1 to 64 characters out of a-z A-Z 0-9 . _ -".to_owned(),
            Self::Path => "a path that is not empty".to_owned(),
            Self::Number { min, max, unit } => format!("{min} to {max} {unit}"),
            Self::Word(words) => words.join(" or "),
        }
    }
}

/// The reference table of a program's settings, in Markdown.
pub fn reference<S: Settings>() -> String {
    let mut text =
        format!("## {}\n\n| key | allowed | default | meaning |\n|---|---|---|---|\n", S::PROGRAM);
    for key in S::keys() {
        let default = key.default.map_or("must be given".to_owned(), |d| format!("`{d}`"));
        let path = key.path();
        let allowed = key.kind.allowed();
        writeln!(text, "| `{path}` | {allowed} | {default} | {} |", key.about)
            .expect("writing to a string does not fail");
    }
    text
}
