//! From the items of the INI parser to sections with places.

use ini_core::{Item, Parser};
use types::{Finding, Findings};

use crate::section::{Entry, Section};

/// Reads all sections of a text.
pub(crate) fn read(file: &str, text: &str) -> (Vec<Section>, Findings) {
    let clean = clean(text);
    let mut reader = Reader::new(file);
    let mut parser = Parser::new(&clean).auto_trim(true);
    while let Some(item) = parser.next() {
        let line = parser.line();
        match item {
            Item::Section(header) => reader.open(header, line),
            Item::Property(key, Some(value)) => reader.add(key, value, line),
            Item::Property(text, None) | Item::Error(text) => reader.refuse(text, line),
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }
    reader.finish()
}

/// Trims the lines and removes comments. The parser itself knows only whole-line comments with one
/// comment character, and section headers without indentation.
fn clean(text: &str) -> String {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let mut clean = String::with_capacity(text.len() + 1);
    for line in text.split('\n') {
        clean.push_str(strip_comment(line).trim());
        clean.push('\n');
    }
    clean
}

/// Removes a comment. A `;` or `#` inside a word belongs to the value.
fn strip_comment(line: &str) -> &str {
    let mut after_space = true;
    for (index, c) in line.char_indices() {
        if after_space && matches!(c, ';' | '#') {
            return &line[..index];
        }
        after_space = c.is_whitespace();
    }
    line
}

/// Where the lines after a header belong.
enum Target {
    /// No header has been read.
    Outside,
    /// The last section.
    Last,
    /// A section that was refused.
    Refused(Section),
}

struct Reader<'a> {
    file: &'a str,
    sections: Vec<Section>,
    target: Target,
    findings: Findings,
}

impl<'a> Reader<'a> {
    fn new(file: &'a str) -> Self {
        Self {
            file,
            sections: Vec::new(),
            target: Target::Outside,
            findings: Findings::new(),
        }
    }

    fn report(&mut self, line: u32, key: String, message: String) {
        let finding = Finding::new(self.file, message)
            .with_line(line)
            .with_key(key);
        self.findings.push(finding);
    }

    fn refuse(&mut self, text: &str, line: u32) {
        let message = if text.starts_with('[') {
            self.target = Target::Refused(section(text, line));
            format!("`{text}` is not a section header")
        } else {
            format!("`{text}` is neither a section header nor `key = value`")
        };
        self.report(line, String::new(), message);
    }

    fn open(&mut self, header: &str, line: u32) {
        let opened = section(header, line);
        let same = |other: &&Section| other.kind == opened.kind && other.name == opened.name;
        let refusal = if opened.kind.is_empty() {
            Some("section header is empty".to_owned())
        } else if header.contains(['[', ']']) {
            Some(format!("`[{header}]` is not a section header"))
        } else {
            self.sections.iter().find(same).map(|first| {
                format!(
                    "section [{opened}] appears again; the first one is in line {}",
                    first.line
                )
            })
        };
        if let Some(message) = refusal {
            self.report(line, String::new(), message);
            self.target = Target::Refused(opened);
        } else {
            self.sections.push(opened);
            self.target = Target::Last;
        }
    }

    fn add(&mut self, key: &str, value: &str, line: u32) {
        let file = self.file;
        let section = match &mut self.target {
            Target::Outside => None,
            Target::Last => self.sections.last_mut(),
            Target::Refused(section) => Some(section),
        };
        let Some(section) = section else {
            self.report(
                line,
                key.to_owned(),
                "key is outside of a section".to_owned(),
            );
            return;
        };
        if key.is_empty() {
            self.report(line, String::new(), format!("no key before `= {value}`"));
        } else if let Some(first) = section.entry(key) {
            let message = format!("key appears again; the first one is in line {}", first.line);
            let finding = Finding::new(file, message)
                .with_line(line)
                .with_key(format!("{section}.{key}"));
            self.findings.push(finding);
        } else {
            section.entries.push(Entry {
                key: key.to_owned(),
                value: value.to_owned(),
                line,
            });
        }
    }

    fn finish(self) -> (Vec<Section>, Findings) {
        (self.sections, self.findings)
    }
}

/// Section of a header without brackets. Words after the first one form the name.
fn section(header: &str, line: u32) -> Section {
    let mut words = header.split_whitespace();
    let kind = words.next().unwrap_or_default().to_owned();
    let rest: Vec<_> = words.collect();
    Section {
        kind,
        name: (!rest.is_empty()).then(|| rest.join(" ")),
        line,
        entries: Vec::new(),
    }
}
