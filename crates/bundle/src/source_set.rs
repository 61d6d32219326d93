use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use types::{Finding, Findings};

use crate::{Service, Source, validate::check_services};

/// Operator files that are validated and published together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceSet {
    /// Files that define a service, sorted by path within each directory.
    pub sources: Vec<Source>,
}

/// Maximum depth of subdirectories that [`read_sources`] visits.
const MAX_DIRECTORY_DEPTH: usize = 16;

/// Maximum size of an operator file. The text of a service whose piece is at most 256 KiB is never
/// as large.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

impl SourceSet {
    /// Services of all files.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.sources.iter().map(|source| &source.service)
    }

    /// Validates the services of the files together with `others`, which have been published
    /// already. Findings about a file of this set have its path and a line.
    #[must_use]
    pub fn validate<'a, I>(&'a self, others: I) -> Findings
    where
        I: IntoIterator<Item = &'a Service>,
    {
        let services: Vec<_> = others.into_iter().chain(self.services()).collect();
        let first_source = services.len() - self.sources.len();
        let add_location =
            |(index, finding): (usize, Finding)| match index.checked_sub(first_source) {
                Some(index) if index < self.sources.len() => {
                    locate_finding(&self.sources[index], finding)
                }
                _ => finding,
            };
        check_services(&services)
            .findings
            .into_iter()
            .map(add_location)
            .collect()
    }
}

/// Sets the path and line of a finding about the service of `source`.
fn locate_finding(source: &Source, finding: Finding) -> Finding {
    let line = source.document.line(&finding.key);
    Finding {
        file: source.document.file().to_owned(),
        ..finding
    }
    .with_line(line)
}

/// Reads all `*.ini` files in and below the given directories. A path may also name a single file.
///
/// The findings report every fault that a file shows by itself, and paths that cannot be read or
/// contain no operator file. [`SourceSet::validate`] finds the faults between files. Hidden files,
/// hidden directories and symbolic links to directories are skipped.
#[must_use]
pub fn read_sources<I>(paths: I) -> (SourceSet, Findings)
where
    I: IntoIterator<Item: AsRef<Path>>,
{
    let mut set = SourceSet::default();
    let mut findings = Findings::new();
    for path in paths {
        let root = path.as_ref();
        let mut files = Vec::new();
        let result = if root.is_dir() {
            find_files(root, MAX_DIRECTORY_DEPTH, &mut files)
        } else {
            files.push(root.to_owned());
            Ok(())
        };
        if let Err((path, error)) = result {
            findings.push(Finding::new(
                path.display().to_string(),
                format!("cannot be read: {error}"),
            ));
        } else if files.is_empty() {
            findings.push(Finding::new(
                root.display().to_string(),
                "contains no *.ini files",
            ));
        }
        files.sort();
        for file in files {
            let (source, file_findings) = read_file(root, &file);
            set.sources.extend(source);
            findings.append(file_findings);
        }
    }
    (set, findings)
}

/// Collects the operator files in and below a directory. An error names the path concerned.
fn find_files(
    directory: &Path,
    remaining_depth: usize,
    files: &mut Vec<PathBuf>,
) -> Result<(), (PathBuf, io::Error)> {
    let with_path = |error| (directory.to_owned(), error);
    for entry in fs::read_dir(directory).map_err(with_path)? {
        let entry = entry.map_err(with_path)?;
        let path = entry.path();
        let is_hidden = entry.file_name().to_string_lossy().starts_with('.');
        let kind = entry.file_type().map_err(with_path)?;
        if kind.is_dir() && !is_hidden {
            if remaining_depth == 0 {
                return Err((path, io::Error::other("directories are nested too deeply")));
            }
            find_files(&path, remaining_depth - 1, files)?;
        } else if !is_hidden
            && path.extension().is_some_and(|extension| extension == "ini")
            && path.is_file()
        {
            files.push(path);
        }
    }
    Ok(())
}

fn read_file(root: &Path, path: &Path) -> (Option<Source>, Findings) {
    let shown_path = path.display().to_string();
    let file = match path.strip_prefix(root) {
        Ok(relative) if !relative.as_os_str().is_empty() => relative.display().to_string(),
        _ => path
            .file_name()
            .map(|name| name.to_string_lossy().into_owned())
            .unwrap_or_default(),
    };
    match read_text(path) {
        Ok(text) => Source::parse(&shown_path, &file, &text),
        Err(finding) => (None, [finding].into_iter().collect()),
    }
}

fn read_text(path: &Path) -> Result<String, Finding> {
    let finding = |message: String| Finding::new(path.display().to_string(), message);
    let unreadable = |error: io::Error| finding(format!("cannot be read: {error}"));
    let length = fs::metadata(path).map_err(unreadable)?.len();
    if length > MAX_FILE_BYTES {
        return Err(finding(format!(
            "has {length} bytes; the limit is {MAX_FILE_BYTES}"
        )));
    }
    let bytes = fs::read(path).map_err(unreadable)?;
    String::from_utf8(bytes).map_err(|error| {
        let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
        let line = valid.split(|byte| *byte == b'\n').count();
        finding("is not UTF-8 text".to_owned()).with_line(u32::try_from(line).unwrap_or(u32::MAX))
    })
}
