use std::fs::File;
use std::path::Path;

use serde::Serialize;

use crate::Error;

/// Rows of one measurement, printed with the quantities below each other.
#[derive(Clone, Debug, Default)]
pub struct Table {
    names: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table from rows of one type.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Answer`] when a row cannot be written as text.
    pub fn new<R>(rows: &[R]) -> Result<Self, Error>
    where
        R: Serialize,
    {
        let mut writer = csv::Writer::from_writer(Vec::new());
        for row in rows {
            writer
                .serialize(row)
                .map_err(|error| Error::Answer(error.to_string()))?;
        }
        let text = writer
            .into_inner()
            .map_err(|error| Error::Answer(error.to_string()))?;
        let mut reader = csv::Reader::from_reader(text.as_slice());
        let fields =
            |record: &csv::StringRecord| record.iter().map(str::to_owned).collect::<Vec<_>>();
        let names = reader
            .headers()
            .map(fields)
            .map_err(|error| Error::Answer(error.to_string()))?;
        let rows = reader
            .records()
            .flatten()
            .map(|record| fields(&record))
            .collect();
        Ok(Self { names, rows })
    }

    /// Prints one line for each quantity and one column for each row.
    pub fn print(&self) {
        for (index, name) in self.names.iter().enumerate() {
            let cells = self
                .rows
                .iter()
                .map(|row| format!("{:>12}", shorten(&row[index])));
            println!("{name:<22}{}", cells.collect::<String>());
        }
    }

    /// Writes the rows as CSV.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let failed = |error: std::io::Error| Error::Io(path.display().to_string(), error);
        let mut writer = csv::Writer::from_writer(File::create(path).map_err(failed)?);
        for record in std::iter::once(&self.names).chain(&self.rows) {
            writer
                .write_record(record)
                .map_err(|error| failed(error.into()))?;
        }
        writer.flush().map_err(failed)
    }
}

/// Rounds a number for printing.
fn shorten(text: &str) -> String {
    match text.parse::<f64>() {
        Ok(number) if text.contains('.') => format!("{number:.2}"),
        _ => text.to_owned(),
    }
}
