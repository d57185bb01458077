//! Reads and writes record files: JSON lines of observations, the first of which is a header with
//! the version. A record whose last line is truncated is read up to that line, and the line is
//! reported. A record of another version is rejected.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use nettlemux_fleet_model::observation::{Observation, RECORD_FORMAT_VERSION};

/// Writes a record. The first observation must be the header.
pub struct Writer(BufWriter<File>);

impl Writer {
    /// Creates the file.
    ///
    /// # Errors
    /// The file cannot be created.
    pub fn create(file: &Path) -> io::Result<Self> {
        Ok(Writer(BufWriter::new(File::create(file)?)))
    }

    /// Appends an observation.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&mut self, observation: &Observation) -> io::Result<()> {
        serde_json::to_writer(&mut self.0, observation)?;
        self.0.write_all(b"\n")
    }

    /// Writes the buffered observations to the file.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn finish(mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// The content of a record file.
#[derive(Debug, PartialEq)]
pub struct Record {
    /// The observations, the header first.
    pub observations: Vec<Observation>,
    /// The number of the last line if it is truncated.
    pub truncated_line: Option<usize>,
}

/// Why a record cannot be read, and in which line.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct RecordError {
    /// The line, counted from one.
    pub line: usize,
    /// What is wrong in the line.
    #[source]
    pub problem: RecordProblem,
}

/// What is wrong in a line of a record.
#[derive(Debug, thiserror::Error)]
pub enum RecordProblem {
    /// The line cannot be read from the file.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is not an observation.
    #[error(transparent)]
    InvalidObservation(#[from] serde_json::Error),
    /// The record is of another version.
    #[error("expected version {RECORD_FORMAT_VERSION}, found version {version}")]
    UnsupportedVersion {
        /// The record's version.
        version: u32,
    },
    /// The first line is an observation other than the header.
    #[error("expected a header")]
    MissingHeader,
    /// The file is empty.
    #[error("the record is empty")]
    Empty,
}

/// Reads a record.
///
/// # Errors
/// The file can't be read, is empty, does not start with a header, is of another version, or has an
/// invalid line other than a truncated last line. The error names the line.
pub fn read(from: impl io::Read) -> Result<Record, RecordError> {
    let mut reader = BufReader::new(from);
    let (mut seen, mut line, mut text) = (Vec::new(), 0, Vec::new());
    let cut = loop {
        text.clear();
        line += 1;
        let at_line = |problem| RecordError { line, problem };
        let length = reader
            .read_until(b'\n', &mut text)
            .map_err(|e| at_line(e.into()))?;
        if length == 0 {
            break None;
        }
        match serde_json::from_slice::<Observation>(&text) {
            Ok(observation) => seen.push(observation),
            Err(_) if text.last() != Some(&b'\n') && line > 1 => break Some(line),
            Err(e) => return Err(at_line(e.into())),
        }
        if line == 1 {
            check_header(&seen[0]).map_err(at_line)?;
        }
    };
    if seen.is_empty() {
        let problem = RecordProblem::Empty;
        return Err(RecordError { line: 1, problem });
    }
    Ok(Record {
        observations: seen,
        truncated_line: cut,
    })
}

/// Checks that the first observation is a header of this version.
fn check_header(first: &Observation) -> Result<(), RecordProblem> {
    match *first {
        Observation::Header {
            version: RECORD_FORMAT_VERSION,
            ..
        } => Ok(()),
        Observation::Header { version, .. } => Err(RecordProblem::UnsupportedVersion { version }),
        _ => Err(RecordProblem::MissingHeader),
    }
}

#[cfg(test)]
mod tests;
