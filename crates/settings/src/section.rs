use std::fmt::{self, Display, Formatter};

/// One section of a file as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// First word of the header.
    pub kind: String,
    /// Second word of the header, as in `[route renew]`.
    pub name: Option<String>,
    /// Line of the header, counted from 1.
    pub line: u32,
    /// Keys in the order of the file, each one once.
    pub entries: Vec<Entry>,
}

/// One key of a section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Text before the equals sign.
    pub key: String,
    /// Text after the equals sign, without comment.
    pub value: String,
    /// Line, counted from 1.
    pub line: u32,
}

impl Section {
    /// Entry of a key.
    #[must_use]
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

/// Writes the header without brackets.
impl Display for Section {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.kind)?;
        match &self.name {
            Some(name) => write!(f, " {name}"),
            None => Ok(()),
        }
    }
}
