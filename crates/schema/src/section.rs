//! Key tables of INI sections and the text form of their values.

use std::fmt::Display;
use std::str::FromStr;

use thiserror::Error;

/// One INI section with its keys and access functions.
pub struct Section<S: 'static> {
    /// Name in brackets.
    pub name: &'static str,
    /// What the section is for.
    pub doc: &'static str,
    /// Keys in the order of the schema.
    pub keys: &'static [Key],
    /// Sets a key from its text.
    pub set: fn(&mut S, &str, &str) -> Result<(), Invalid>,
    /// Text of a key's value.
    pub get: fn(&S, &str) -> Option<String>,
}

impl<S> Section<S> {
    /// Key table entry of `name`.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<&'static Key> {
        self.keys.iter().find(|key| key.name == name)
    }
}

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name before the equals sign.
    pub name: &'static str,
    /// What the key is for.
    pub doc: &'static str,
    /// Values that the key takes.
    pub kind: Kind,
    /// Whether a file without the key is refused.
    pub required: bool,
}

/// Values that a key takes.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Any text that is not empty.
    Text,
    /// One of the words.
    Choice(&'static [&'static str]),
    /// Texts separated by commas.
    List,
    /// `yes` or `no`.
    Flag,
    /// A whole number.
    Number {
        /// Lowest value.
        low: u64,
        /// Highest value.
        high: u64,
    },
}

/// Reason why a key or its value is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Invalid {
    /// The section has no such key.
    #[error("unknown key")]
    Key,
    /// The value is empty.
    #[error("value is empty")]
    Empty,
    /// The value is not a whole number.
    #[error("`{0}` is not a whole number")]
    Number(String),
    /// The number is out of range.
    #[error("{value} is not between {low} and {high}")]
    Range {
        /// Value found.
        value: u64,
        /// Lowest value.
        low: u64,
        /// Highest value.
        high: u64,
    },
    /// The value is neither `yes` nor `no`.
    #[error("`{0}` is neither yes nor no")]
    Flag(String),
    /// The value is not one of the words.
    #[error("`{value}` is not one of: {}", words.join(", "))]
    Choice {
        /// Value found.
        value: String,
        /// Words allowed.
        words: &'static [&'static str],
    },
}

/// Reads a text or a choice.
pub(crate) fn parse_text(key: Option<&'static Key>, text: &str) -> Result<String, Invalid> {
    if text.is_empty() {
        return Err(Invalid::Empty);
    }
    match key.map(|key| key.kind) {
        Some(Kind::Choice(words)) if !words.contains(&text) => Err(Invalid::Choice {
            value: text.to_owned(),
            words,
        }),
        _ => Ok(text.to_owned()),
    }
}

/// Reads texts separated by commas; empty ones are left out.
pub(crate) fn parse_list(text: &str) -> Vec<String> {
    text.split(',')
        .map(str::trim)
        .filter(|word| !word.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Reads `yes` or `no`.
pub(crate) fn parse_flag(text: &str) -> Result<bool, Invalid> {
    match text {
        "yes" | "true" => Ok(true),
        "no" | "false" => Ok(false),
        "" => Err(Invalid::Empty),
        _ => Err(Invalid::Flag(text.to_owned())),
    }
}

/// Text of a flag.
pub(crate) fn print_flag(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}

/// Reads a whole number within the key's range.
pub(crate) fn parse_number<N>(key: Option<&'static Key>, text: &str) -> Result<N, Invalid>
where
    N: FromStr + TryFrom<u64> + Display,
{
    if text.is_empty() {
        return Err(Invalid::Empty);
    }
    let not_number = || Invalid::Number(text.to_owned());
    let value: u64 = text.parse().map_err(|_| not_number())?;
    if let Some(Kind::Number { low, high }) = key.map(|key| key.kind)
        && !(low..=high).contains(&value)
    {
        return Err(Invalid::Range { value, low, high });
    }
    N::try_from(value).map_err(|_| not_number())
}
