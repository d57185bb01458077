//! The capacity page: what each role would hold, send and spend at the size that the operators have
//! told, worked out from the stored scale run and from assumptions. It reads both, writes the
//! generated blocks of the page and says which are stale. It must never measure anything.

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

/// The part of the operators' size that is worked out beside it.
const TENTH: f64 = 0.1;

/// Where the page and what it is worked out from are.
#[derive(Clone, Debug)]
pub struct Files {
    /// The stored scale run.
    pub run: PathBuf,
    /// The assumptions file.
    pub assumptions: PathBuf,
    /// The page.
    pub page: PathBuf,
}

/// Names of the blocks that differ from what run and assumptions give.
///
/// # Errors
/// Names the file, line and key at fault.
pub fn check(files: &Files) -> Result<Vec<&'static str>, CapacityError> {
    let blocks = load_blocks(files)?;
    page::stale_blocks(&files.page, &read(&files.page)?, &blocks)
}

/// Writes the blocks anew; the page is replaced as a whole or not at all.
///
/// # Errors
/// Names the file, line and key at fault; nothing has been written then.
pub fn write(files: &Files) -> Result<(), CapacityError> {
    let blocks = load_blocks(files)?;
    let text = page::write_blocks(&files.page, &read(&files.page)?, &blocks)?;
    let temporary = files.page.with_extension("md.new");
    let at = |file: &Path, e: std::io::Error| CapacityError::in_file(file, e);
    std::fs::write(&temporary, text).map_err(|e| at(&temporary, e))?;
    std::fs::rename(&temporary, &files.page).map_err(|e| at(&files.page, e))
}

/// What stands in the page by hand.
///
/// # Errors
/// Names the marker at fault.
pub fn prose(files: &Files) -> Result<String, CapacityError> {
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
    let tenth = Deployment::new(assumptions, TENTH);
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
    // Last, when all have asked for theirs.
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
        run.text,
        machine.join(", ")
    )
}

/// The lines that the other blocks have used.
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

/// What was varied, and what was fixed meanwhile.
fn sizes_text(run: &StoredRun) -> String {
    let mut table = Table::new(&["part", "varied", "from", "to", "fixed at the first size"]);
    for ((part, varied), (least, most)) in run.ranges() {
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
                .chain([number(least), number(most), fixed.join(", ")]),
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
