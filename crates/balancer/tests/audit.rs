//! The audit's table (docs/terms-audit.md) names tests and files that exist, gives each row one of
//! four statuses, and gives no row as holding without a test unless it says that it was read only.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const STATUSES: [&str; 4] = ["holds", "fixed", "open", "not reached"];
const COLUMNS: usize = 8;

/// What the repository's Rust files have: their names and the names of their tests.
struct Known {
    files: BTreeSet<String>,
    tests: BTreeSet<String>,
}

impl Known {
    fn read() -> Self {
        let mut known = Known {
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
                    known.add(&path);
                }
            }
        }
        known
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

/// What is wrong with a table.
fn faults(page: &str, known: &Known) -> Vec<String> {
    let mut faults = Vec::new();
    let mut counts = [0; STATUSES.len()];
    for line in page
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| ---"))
        .skip(1)
    {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        let [id, _, _, _, code, tests, status, note] = cells[..] else {
            faults.push(format!("{COLUMNS} columns are wanted: {line}"));
            continue;
        };
        match STATUSES.iter().position(|known| *known == status) {
            Some(place) => counts[place] += 1,
            None => faults.push(format!("{id}: no status: {status}")),
        }
        let named: Vec<&str> = tests.split('`').skip(1).step_by(2).collect();
        let missing = named.iter().filter(|test| !known.tests.contains(**test));
        faults.extend(missing.map(|test| format!("{id}: no such test: {test}")));
        if ["holds", "fixed"].contains(&status) && named.is_empty() && !note.contains("by reading")
        {
            faults.push(format!(
                "{id}: {status} without a test, and not said to be read only"
            ));
        }
        let words = code.split([' ', ',', ';', ':']);
        let files = words
            .filter(|word| word.ends_with(".rs"))
            .map(|word| word.rsplit('/').next().unwrap());
        let missing = files.filter(|file| !known.files.contains(*file));
        faults.extend(missing.map(|file| format!("{id}: no such file: {file}")));
    }
    let totals: Vec<String> = counts
        .iter()
        .zip(STATUSES)
        .map(|(count, status)| format!("{count} rows {status}"))
        .collect();
    let totals = format!("{}.", totals.join(", "));
    if !page.trim_end().ends_with(&totals) {
        faults.push(format!("the last line is not: {totals}"));
    }
    faults
}

#[test]
fn the_table_names_what_exists() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/terms-audit.md");
    let faults = faults(&std::fs::read_to_string(page).unwrap(), &Known::read());
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn a_table_that_names_what_does_not_exist_is_found_out() {
    let known = Known {
        files: BTreeSet::from(["send.rs".to_string()]),
        tests: BTreeSet::from(["one_test".to_string()]),
    };
    let page = |row: &str, totals: &str| {
        format!("| # | a | b | c | d | e | f | g |\n| --- |\n{row}\n\n{totals}\n")
    };
    let good = "1 rows holds, 0 rows fixed, 0 rows open, 0 rows not reached.";
    let row = "| 1 | p | c | r | send.rs send | `one_test` | holds | - |";
    assert_eq!(faults(&page(row, good), &known), Vec::<String>::new());
    for (bad, totals) in [
        (row.replace("one_test", "no_test"), good),
        (row.replace("send.rs", "sent.rs"), good),
        (row.replace("holds", "held"), good),
        (row.replace("`one_test`", "-"), good),
        (row.replace("| c ", ""), good),
        (
            row.to_string(),
            "2 rows holds, 0 rows fixed, 0 rows open, 0 rows not reached.",
        ),
    ] {
        assert!(
            !faults(&page(&bad, totals), &known).is_empty(),
            "{bad} {totals}"
        );
    }
}
