use schema::section::{Invalid, Section as Table};
use types::{Finding, Findings};

use crate::section::{Entry, Section};
use crate::{Named, nearest, reader};

/// An INI file with the place of every section and key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    file: String,
    sections: Vec<Section>,
}

impl Document {
    /// Reads a text. `file` is the name that findings show.
    ///
    /// The findings name lines that cannot be parsed, keys outside of a section, and keys and
    /// sections that appear twice; the first one of these counts.
    #[must_use]
    pub fn read(file: &str, text: &str) -> (Self, Findings) {
        let (sections, findings) = reader::read(file, text);
        let file = file.to_owned();
        (Self { file, sections }, findings)
    }

    /// Name of the file.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Sections in the order of the file.
    #[must_use]
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }

    /// Line of a section or key as findings name it, such as `route renew.path`. Zero when the file
    /// does not have it; the line of the section when only the key is missing.
    #[must_use]
    pub fn line(&self, key: &str) -> u32 {
        let section = |header: &str| {
            self.sections
                .iter()
                .find(|section| section.to_string() == header)
        };
        if let Some(section) = section(key) {
            return section.line;
        }
        // Route names may contain dots, keys may not.
        let Some((header, key)) = key.rsplit_once('.') else {
            return 0;
        };
        section(header).map_or(0, |section| {
            section.entry(key).map_or(section.line, |entry| entry.line)
        })
    }

    /// Reports sections whose kind is none of `kinds`.
    pub fn check_kinds(&self, kinds: &[&str], findings: &mut Findings) {
        for section in &self.sections {
            if !kinds.contains(&section.kind.as_str()) {
                let finding = self
                    .finding(section.line, &section.to_string(), "unknown section")
                    .with_nearest(nearest(&section.kind, kinds.iter().copied()));
                findings.push(finding);
            }
        }
    }

    /// Reads the one section of a kind. Keys that are absent or refused keep their defaults.
    ///
    /// Reports unknown keys, refused values, and required keys that are missing.
    pub fn fill<S>(&self, table: &Table<S>, findings: &mut Findings) -> S
    where
        S: Default,
    {
        let mut value = S::default();
        let mut found = None;
        for section in self.of_kind(table.name) {
            if section.name.is_some() {
                let message = format!("section [{}] takes no name", table.name);
                findings.push(self.finding(section.line, &section.to_string(), &message));
            }
            // A named section stands in for the one without a name, so that its keys are checked too.
            if found.is_none() || section.name.is_none() {
                found = Some(section);
            }
        }
        match found {
            Some(section) => self.fill_section(table, section, &mut value, findings),
            None => self.check_absent(table, findings),
        }
        value
    }

    /// Reads all sections of a kind that have a name, in the order of the file.
    ///
    /// Reports the same faults as [`Document::fill`], and sections without a name.
    pub fn fill_named<S>(&self, table: &Table<S>, findings: &mut Findings) -> Vec<Named<S>>
    where
        S: Default,
    {
        let mut all = Vec::new();
        for section in self.of_kind(table.name) {
            let mut value = S::default();
            self.fill_section(table, section, &mut value, findings);
            if let Some(name) = &section.name {
                all.push(Named {
                    name: name.clone(),
                    line: section.line,
                    value,
                });
            } else {
                let message = format!("section needs a name, as in [{} NAME]", table.name);
                findings.push(self.finding(section.line, table.name, &message));
            }
        }
        all
    }

    fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Section> {
        self.sections
            .iter()
            .filter(move |section| section.kind == kind)
    }

    fn fill_section<S>(
        &self,
        table: &Table<S>,
        section: &Section,
        value: &mut S,
        findings: &mut Findings,
    ) {
        for entry in &section.entries {
            if let Err(invalid) = (table.set)(value, &entry.key, &entry.value) {
                findings.push(self.refuse(table, section, entry, &invalid));
            }
        }
        for key in table.keys.iter().filter(|key| key.required) {
            if section.entry(key.name).is_none() {
                let place = format!("{section}.{}", key.name);
                findings.push(self.finding(section.line, &place, "required key is missing"));
            }
        }
    }

    fn check_absent<S>(&self, table: &Table<S>, findings: &mut Findings) {
        let required: Vec<_> = table
            .keys
            .iter()
            .filter(|key| key.required)
            .map(|key| key.name)
            .collect();
        if !required.is_empty() {
            let message = format!("section is missing; it needs {}", required.join(", "));
            findings.push(self.finding(0, table.name, &message));
        }
    }

    fn refuse<S>(
        &self,
        table: &Table<S>,
        section: &Section,
        entry: &Entry,
        invalid: &Invalid,
    ) -> Finding {
        let suggestion = match invalid {
            Invalid::Key => nearest(&entry.key, table.keys.iter().map(|key| key.name)),
            Invalid::Choice { value, words } => nearest(value, words.iter().copied()),
            _ => None,
        };
        let place = format!("{section}.{}", entry.key);
        self.finding(entry.line, &place, &invalid.to_string())
            .with_nearest(suggestion)
    }

    fn finding(&self, line: u32, key: &str, message: &str) -> Finding {
        Finding::new(&self.file, message)
            .with_line(line)
            .with_key(key)
    }
}
