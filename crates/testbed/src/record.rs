//! Records: JSON lines, the first a header with the version. It owns their file. A record that was
//! cut off mid-line is read up to the cut, and the cut is told; one of another version is refused.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use nettlemux_fleet_model::observation::{Observation, VERSION};

/// Writes a record; its first fact must be the header.
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
    pub fn write(&mut self, seen: &Observation) -> io::Result<()> {
        serde_json::to_writer(&mut self.0, seen)?;
        self.0.write_all(b"\n")
    }

    /// Writes what is still buffered.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn finish(mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// A record as read.
#[derive(Debug, PartialEq)]
pub struct Read {
    /// The observations, the header first.
    pub seen: Vec<Observation>,
    /// The line that was cut off, where the last one was.
    pub cut: Option<usize>,
}

/// A record that cannot be read, by the line at fault.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct RecordError {
    /// The line, counted from one.
    pub line: usize,
    /// What is wrong there.
    #[source]
    pub problem: RecordProblem,
}

/// What is wrong in a line of a record.
#[derive(Debug, thiserror::Error)]
pub enum RecordProblem {
    /// The line cannot be read from the file.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is no observation.
    #[error(transparent)]
    NotAnObservation(#[from] serde_json::Error),
    /// The record is of another version.
    #[error("version {version}, not {VERSION}")]
    OtherVersion {
        /// The record's version.
        version: u32,
    },
    /// The first line is another observation than the header.
    #[error("no header")]
    NoHeader,
    /// The file is empty.
    #[error("nothing")]
    Empty,
}

/// Reads a record.
///
/// # Errors
/// The file can't be read, is no record or of another version, or has a faulty line that isn't its
/// last; the line is named.
pub fn read(from: impl io::Read) -> Result<Read, RecordError> {
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
    Ok(Read { seen, cut })
}

/// Checks that the first observation is a header of this version.
fn check_header(first: &Observation) -> Result<(), RecordProblem> {
    match *first {
        Observation::Header {
            version: VERSION, ..
        } => Ok(()),
        Observation::Header { version, .. } => Err(RecordProblem::OtherVersion { version }),
        _ => Err(RecordProblem::NoHeader),
    }
}

#[cfg(test)]
mod tests;
