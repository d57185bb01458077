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

/// Reads a record.
///
/// # Errors
/// The file can't be read, is no record or of another version, or has a faulty line that isn't its
/// last; the line is named.
pub fn read(from: impl io::Read) -> Result<Read, String> {
    let mut lines = BufReader::new(from);
    let (mut seen, mut number, mut text) = (Vec::new(), 0, Vec::new());
    loop {
        text.clear();
        number += 1;
        if lines
            .read_until(b'\n', &mut text)
            .map_err(|e| format!("line {number}: {e}"))?
            == 0
        {
            break;
        }
        match serde_json::from_slice::<Observation>(&text) {
            Ok(one) => seen.push(one),
            Err(_) if text.last() != Some(&b'\n') && number > 1 => {
                return Ok(Read {
                    seen,
                    cut: Some(number),
                });
            }
            Err(e) => return Err(format!("line {number}: {e}")),
        }
        if number == 1 {
            match seen[0] {
                Observation::Header {
                    version: VERSION, ..
                } => {}
                Observation::Header { version, .. } => {
                    return Err(format!("line 1: version {version}, not {VERSION}"));
                }
                _ => return Err("line 1: no header".into()),
            }
        }
    }
    if seen.is_empty() {
        Err("line 1: nothing".into())
    } else {
        Ok(Read { seen, cut: None })
    }
}

#[cfg(test)]
mod tests;
