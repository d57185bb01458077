//! The capacity page: the connections, traffic, memory and CPU time of each role at the fleet size
//! that the operators require, calculated from the stored scale run and from assumptions. This
//! module reads both, writes the generated blocks of the page and reports which blocks are stale.
//! It must never measure anything.

pub mod assumptions;
mod cold_servers;
pub mod deployment;
mod error;
mod gaps;
pub mod markdown;
mod mechanism;
mod needs;
mod page;
mod roles;
mod row;
pub mod stored_run;
mod storms;

use std::path::{Path, PathBuf};

pub use error::{
    AssumptionsError, CapacityError, CapacityProblem, MarkerError, ParameterError, StoredRunError,
};

use assumptions::Assumptions;
use deployment::Deployment;
use markdown::{NOT_MEASURED, Table, number};
use page::Block;
use row::Inputs;
use stored_run::StoredRun;

/// Fraction of the required fleet size that the page shows beside the full size.
const TENTH_SCALE: f64 = 0.1;

/// Paths of the page and of the files that it is generated from.
#[derive(Clone, Debug)]
pub struct Files {
    /// The stored scale run.
    pub run: PathBuf,
    /// The assumptions file.
    pub assumptions: PathBuf,
    /// The page.
    pub page: PathBuf,
}

/// Returns the names of the blocks that differ from the text generated from run and assumptions.
///
/// # Errors
/// Names the file, the line and the invalid key.
pub fn stale_blocks(files: &Files) -> Result<Vec<&'static str>, CapacityError> {
    let blocks = load_blocks(files)?;
    page::stale_blocks(&files.page, &read(&files.page)?, &blocks)
}

/// Regenerates the blocks. The page is replaced atomically, by renaming a temporary file.
///
/// # Errors
/// Names the file, the line and the invalid key. The page is unchanged in that case.
pub fn regenerate_page(files: &Files) -> Result<(), CapacityError> {
    let blocks = load_blocks(files)?;
    let text = page::write_blocks(&files.page, &read(&files.page)?, &blocks)?;
    let temporary = files.page.with_extension("md.new");
    let at = |file: &Path, e: std::io::Error| CapacityError::in_file(file, e);
    std::fs::write(&temporary, text).map_err(|e| at(&temporary, e))?;
    std::fs::rename(&temporary, &files.page).map_err(|e| at(&files.page, e))
}

/// Returns the hand-written text of the page.
///
/// # Errors
/// Names the file, and the line and key or the marker that is invalid.
pub fn hand_written_text(files: &Files) -> Result<String, CapacityError> {
    let blocks = load_blocks(files)?;
    page::without_blocks(&files.page, &read(&files.page)?, &blocks)
}

fn read(file: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(file).map_err(|e| CapacityError::in_file(file, e))
}

fn load_blocks(files: &Files) -> Result<Vec<Block>, CapacityError> {
    let assumptions = Assumptions::load(&files.assumptions)?;
    let run = StoredRun::load(&files.run)?;
    Ok(blocks(&assumptions, run.as_ref()))
}

fn blocks(assumptions: &Assumptions, run: Option<&StoredRun>) -> Vec<Block> {
    let inputs = Inputs::new(assumptions, run);
    let full = Deployment::new(assumptions, 1.0);
    let tenth = Deployment::new(assumptions, TENTH_SCALE);
    let role = |name, rows: Vec<row::Row>| Block {
        name,
        text: row::table(&rows, assumptions, &full, &tenth),
    };
    let mut blocks = vec![
        Block {
            name: "run",
            text: run_text(run),
        },
        Block {
            name: "first missing",
            text: gaps::ranking(&inputs, &full, &tenth),
        },
        role("balancer", roles::balancer::rows(&inputs)),
        role("server", roles::server::rows(&inputs)),
        role("discovery", roles::discovery::rows(&inputs)),
        role("control machines", roles::control::rows(&inputs)),
        role("clients", roles::clients::rows(&inputs)),
        Block {
            name: "storms at full size",
            text: storms::table(&inputs, &full),
        },
        Block {
            name: "storms at a tenth",
            text: storms::table(&inputs, &tenth),
        },
        Block {
            name: "cold servers",
            text: cold_servers::table(&inputs, &full, &tenth),
        },
        Block {
            name: "measured storms",
            text: storms::measured_table(&inputs),
        },
        Block {
            name: "assumptions",
            text: assumptions_text(assumptions),
        },
    ];
    // Last, since it lists the fitted lines that the other blocks have used.
    blocks.push(Block {
        name: "slopes",
        text: slopes_text(&inputs),
    });
    blocks
}

fn run_text(run: Option<&StoredRun>) -> String {
    let Some(run) = run else {
        return format!("No run is stored yet: every slope is {NOT_MEASURED}.\n");
    };
    let machine: Vec<String> = run
        .machine
        .iter()
        .map(|(key, value)| format!("{key} {value}"))
        .collect();
    format!(
        "Run `{}` of text `{}`, on a machine with {}.\n",
        run.name,
        run.commit,
        machine.join(", ")
    )
}

/// Lists the fitted lines that the other blocks have used.
fn slopes_text(inputs: &Inputs) -> String {
    let Some(run) = inputs.run else {
        return format!("{NOT_MEASURED}\n");
    };
    let mut table = Table::new(&[
        "run",
        "part",
        "figure",
        "varied",
        "intercept",
        "slope",
        "residual",
    ]);
    for slope in inputs.used() {
        let names = [
            run.name.as_str(),
            slope.part.name(),
            slope.figure,
            slope.varied.name(),
        ];
        let fitted = slope
            .fit()
            .map(|fit| [fit.intercept, fit.slope, fit.residual].map(number));
        let fitted = fitted.unwrap_or([NOT_MEASURED; 3].map(String::from));
        table.row(names.map(String::from).into_iter().chain(fitted));
    }
    format!("{}\n{}", sizes_text(run), table.finish())
}

/// Lists the varied counts with their ranges and the counts that were fixed meanwhile.
fn sizes_text(run: &StoredRun) -> String {
    let mut table = Table::new(&["part", "varied", "from", "to", "fixed at the first size"]);
    for ((part, varied), (smallest, largest)) in run.ranges() {
        let first = run.points(part).find(|point| point.varied == varied);
        let fixed = first.into_iter().flat_map(|point| &point.fixed);
        let fixed: Vec<String> = fixed
            .filter(|(key, _)| key.as_str() != varied.name())
            .map(|(key, value)| format!("{key} {value}"))
            .collect();
        let names = [part.name(), varied.name()].map(String::from);
        table.row(
            names
                .into_iter()
                .chain([number(smallest), number(largest), fixed.join(", ")]),
        );
    }
    table.finish()
}

fn assumptions_text(assumptions: &Assumptions) -> String {
    let mut table = Table::new(&["kind", "key", "value", "why"]);
    for entry in assumptions.entries() {
        let values: Vec<String> = entry.values.iter().map(|value| number(*value)).collect();
        let cells = [entry.section, entry.key, &values.join(" / "), entry.why];
        table.row(cells.map(String::from));
    }
    table.finish()
}
