//! Checks the audit table (docs/terms-audit.md). The tests and files that it names must exist. Each
//! row must have one of four statuses. A row with the status `holds` or `fixed` must name a test or
//! say that it was checked by reading only.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The statuses that a row may have.
const STATUSES: [&str; 4] = ["holds", "fixed", "open", "not reached"];
/// Number of columns of the table.
const COLUMNS: usize = 8;

/// The Rust files of the repository's crates.
struct SourceFiles {
    /// File names without their directories.
    files: BTreeSet<String>,
    /// Names of the test functions.
    tests: BTreeSet<String>,
}

impl SourceFiles {
    fn read() -> Self {
        let mut sources = SourceFiles {
            files: BTreeSet::new(),
            tests: BTreeSet::new(),
        };
        let mut folders = vec![Path::new(env!("CARGO_MANIFEST_DIR")).join("..")];
        while let Some(folder) = folders.pop() {
            for entry in std::fs::read_dir(folder).unwrap() {
                let path = entry.unwrap().path();
                if path.is_dir() {
                    folders.push(path);
                } else if path.extension().is_some_and(|extension| extension == "rs") {
                    sources.add(&path);
                }
            }
        }
        sources
    }

    fn add(&mut self, path: &PathBuf) {
        let text = std::fs::read_to_string(path).unwrap();
        let lines: Vec<&str> = text.lines().map(str::trim).collect();
        for (i, _) in lines
            .iter()
            .enumerate()
            .filter(|(_, line)| **line == "#[test]")
        {
            let function = lines[i + 1..]
                .iter()
                .find_map(|line| line.strip_prefix("fn "));
            self.tests.extend(
                function
                    .and_then(|rest| rest.split_once('('))
                    .map(|(name, _)| name.to_string()),
            );
        }
        self.files
            .insert(path.file_name().unwrap().to_string_lossy().into_owned());
    }
}

/// Returns a message for each fault of the table.
fn faults(page: &str, sources: &SourceFiles) -> Vec<String> {
    let mut faults = Vec::new();
    let mut counts = [0; STATUSES.len()];
    for line in page
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| ---"))
        .skip(1)
    {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        let [id, _, _, _, code, tests, status, note] = cells[..] else {
            faults.push(format!("expected {COLUMNS} columns, found the row: {line}"));
            continue;
        };
        match STATUSES.iter().position(|allowed| *allowed == status) {
            Some(index) => counts[index] += 1,
            None => faults.push(format!("{id}: unknown status: {status}")),
        }
        let named: Vec<&str> = tests.split('`').skip(1).step_by(2).collect();
        let missing = named.iter().filter(|test| !sources.tests.contains(**test));
        faults.extend(missing.map(|test| format!("{id}: no such test: {test}")));
        if ["holds", "fixed"].contains(&status) && named.is_empty() && !note.contains("by reading")
        {
            faults.push(format!(
                "{id}: status {status} without a test and without the note 'by reading'"
            ));
        }
        let words = code.split([' ', ',', ';', ':']);
        let files = words
            .filter(|word| word.ends_with(".rs"))
            .map(|word| word.rsplit('/').next().unwrap());
        let missing = files.filter(|file| !sources.files.contains(*file));
        faults.extend(missing.map(|file| format!("{id}: no such file: {file}")));
    }
    let totals: Vec<String> = counts
        .iter()
        .zip(STATUSES)
        .map(|(count, status)| format!("{count} rows {status}"))
        .collect();
    let totals = format!("{}.", totals.join(", "));
    if !page.trim_end().ends_with(&totals) {
        faults.push(format!("the last line must end with: {totals}"));
    }
    faults
}

#[test]
fn the_audit_table_has_no_faults() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/terms-audit.md");
    let faults = faults(
        &std::fs::read_to_string(page).unwrap(),
        &SourceFiles::read(),
    );
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn every_kind_of_fault_in_an_audit_table_is_reported() {
    let sources = SourceFiles {
        files: BTreeSet::from(["send.rs".to_string()]),
        tests: BTreeSet::from(["one_test".to_string()]),
    };
    let page = |row: &str, totals: &str| {
        format!("| # | a | b | c | d | e | f | g |\n| --- |\n{row}\n\n{totals}\n")
    };
    let correct_totals = "1 rows holds, 0 rows fixed, 0 rows open, 0 rows not reached.";
    let row = "| 1 | p | c | r | send.rs send | `one_test` | holds | - |";
    assert_eq!(
        faults(&page(row, correct_totals), &sources),
        Vec::<String>::new()
    );
    for (faulty_row, totals) in [
        (row.replace("one_test", "no_test"), correct_totals),
        (row.replace("send.rs", "sent.rs"), correct_totals),
        (row.replace("holds", "held"), correct_totals),
        (row.replace("`one_test`", "-"), correct_totals),
        (row.replace("| c ", ""), correct_totals),
        (
            row.to_string(),
            "2 rows holds, 0 rows fixed, 0 rows open, 0 rows not reached.",
        ),
    ] {
        assert!(
            !faults(&page(&faulty_row, totals), &sources).is_empty(),
            "{faulty_row} {totals}"
        );
    }
}
