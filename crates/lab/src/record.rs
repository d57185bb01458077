//! Records: JSON lines, the first a header with the version. It owns their file. A record that was cut off mid-line is read up
//! to the cut, and the cut is told; one of another version is refused.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use nettlemux_world::seen::{Seen, VERSION};

/// Writes a record; its first fact must be the header.
pub struct Writer(BufWriter<File>);

impl Writer {
    pub fn create(file: &Path) -> io::Result<Self> {
        Ok(Writer(BufWriter::new(File::create(file)?)))
    }

    pub fn write(&mut self, seen: &Seen) -> io::Result<()> {
        serde_json::to_writer(&mut self.0, seen)?;
        self.0.write_all(b"\n")
    }

    pub fn finish(mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// A record as read.
#[derive(Debug, PartialEq)]
pub struct Read {
    pub seen: Vec<Seen>,
    /// The line that was cut off, where the last one was.
    pub cut: Option<usize>,
}

/// Reads a record.
///
/// # Errors
/// The file can't be read, is no record or of another version, or has a faulty line that isn't its last; the line is named.
pub fn read(from: impl io::Read) -> Result<Read, String> {
    let mut lines = BufReader::new(from);
    let (mut seen, mut number, mut text) = (Vec::new(), 0, Vec::new());
    loop {
        text.clear();
        number += 1;
        if lines.read_until(b'\n', &mut text).map_err(|e| format!("line {number}: {e}"))? == 0 {
            break;
        }
        match serde_json::from_slice::<Seen>(&text) {
            Ok(one) => seen.push(one),
            Err(_) if text.last() != Some(&b'\n') && number > 1 => {
                return Ok(Read { seen, cut: Some(number) });
            }
            Err(e) => return Err(format!("line {number}: {e}")),
        }
        if number == 1 {
            match seen[0] {
                Seen::Header { version: VERSION, .. } => {}
                Seen::Header { version, .. } => {
                    return Err(format!("line 1: version {version}, not {VERSION}"));
                }
                _ => return Err("line 1: no header".into()),
            }
        }
    }
    if seen.is_empty() { Err("line 1: nothing".into()) } else { Ok(Read { seen, cut: None }) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_record_is_read_up_to_where_it_was_cut() {
        let header = Seen::Header { version: VERSION, scenario: "s".into(), seed: 1, program: "p".into() };
        let left = Seen::Left { at: 5, flow: 7 };
        let text: String =
            [&header, &left].iter().map(|s| serde_json::to_string(s).unwrap() + "\n").collect();
        let whole = read(text.as_bytes()).unwrap();
        assert_eq!(whole, Read { seen: vec![header.clone(), left], cut: None });
        // Cut anywhere: never a panic, never more than was there.
        for at in 0..text.len() {
            match read(&text.as_bytes()[..at]) {
                Ok(cut) => assert!(cut.seen[0] == header && cut.seen.len() <= 2, "{at}"),
                Err(why) => assert!(why.starts_with("line 1"), "{at}: {why}"),
            }
        }
        assert_eq!(read(&text.as_bytes()[..text.len() - 4]).unwrap().cut, Some(2));
        assert!(
            read(text.replace(r#""version":1"#, r#""version":9"#).as_bytes())
                .unwrap_err()
                .contains("version 9")
        );
        let middle = text.replacen("left", "lost", 1) + "\n";
        assert!(read(middle.as_bytes()).unwrap_err().starts_with("line 2"));
    }
}
