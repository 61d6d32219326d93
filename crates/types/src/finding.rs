use std::fmt::{self, Display, Formatter};

use serde::Serialize;

/// One fault of an input file, with its place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// File that was read.
    pub file: String,
    /// Line, counted from 1; zero when the fault concerns the whole file.
    pub line: u32,
    /// Section and key, such as `route renew.deadline_ms`; empty when no key is concerned.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// Nearest valid name, where the fault is an unknown one.
    pub nearest: Option<String>,
}

impl Finding {
    /// Creates a finding about a whole file.
    #[must_use]
    pub fn new<F, M>(file: F, message: M) -> Self
    where
        F: Into<String>,
        M: Into<String>,
    {
        Self {
            file: file.into(),
            line: 0,
            key: String::new(),
            message: message.into(),
            nearest: None,
        }
    }

    /// Sets the line, counted from 1.
    #[must_use]
    pub fn with_line(mut self, line: u32) -> Self {
        self.line = line;
        self
    }

    /// Sets the key.
    #[must_use]
    pub fn with_key<K>(mut self, key: K) -> Self
    where
        K: Into<String>,
    {
        self.key = key.into();
        self
    }

    /// Sets the nearest valid name.
    #[must_use]
    pub fn with_nearest(mut self, nearest: Option<String>) -> Self {
        self.nearest = nearest;
        self
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)?;
        match &self.nearest {
            Some(name) => write!(f, " (did you mean `{name}`?)"),
            None => Ok(()),
        }
    }
}

/// All faults of an input, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Creates an empty collection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Adds all findings of another collection.
    pub fn append(&mut self, mut other: Self) {
        self.0.append(&mut other.0);
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The findings, sorted by place.
    #[must_use]
    pub fn sorted(&self) -> Vec<&Finding> {
        let mut sorted: Vec<_> = self.0.iter().collect();
        sorted.sort();
        sorted
    }

    /// `value` when nothing was found, otherwise the findings.
    ///
    /// # Errors
    ///
    /// Returns the findings when there are any.
    pub fn or<V>(self, value: V) -> Result<V, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl Display for Findings {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.sorted().into_iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            Display::fmt(finding, f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

impl IntoIterator for Findings {
    type Item = Finding;
    type IntoIter = std::vec::IntoIter<Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl FromIterator<Finding> for Findings {
    fn from_iter<I>(findings: I) -> Self
    where
        I: IntoIterator<Item = Finding>,
    {
        Self(findings.into_iter().collect())
    }
}
