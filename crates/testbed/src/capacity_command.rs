//! `nettlemux-testbed capacity`: its arguments, and what is printed.

use std::path::PathBuf;

use bpaf::Bpaf;
use nettlemux_testbed::capacity::{self, CapacityError, Files};

/// Arguments of `nettlemux-testbed capacity`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub struct Arguments {
    /// The stored scale run
    #[bpaf(argument("FILE"), fallback(PathBuf::from("docs/scale/run.jsonl")))]
    run: PathBuf,
    /// What is taken for granted beside it
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("docs/scale/assumptions.toml"))
    )]
    assumptions: PathBuf,
    /// Writes the generated blocks of the page anew
    write: bool,
    /// The page, docs/CAPACITY.md where none is named
    #[bpaf(positional("PAGE"), fallback(PathBuf::from("docs/CAPACITY.md")))]
    page: PathBuf,
}

/// What to print, and whether the page is as it should be.
///
/// # Errors
/// Names the file, line and key at fault.
pub fn run(arguments: &Arguments) -> Result<(String, bool), CapacityError> {
    let Arguments {
        run,
        assumptions,
        page,
        write,
    } = arguments.clone();
    let files = Files {
        run,
        assumptions,
        page,
    };
    let page = files.page.display();
    if write {
        capacity::write(&files)?;
        return Ok((format!("{page}: written\n"), true));
    }
    let stale = capacity::check(&files)?;
    match stale.is_empty() {
        true => Ok((format!("{page}: as run and assumptions give\n"), true)),
        false => {
            let text = format!(
                "{page}: not as run and assumptions give: {}\n",
                stale.join(", ")
            );
            Ok((
                text + "nettlemux-testbed capacity --write writes it anew\n",
                false,
            ))
        }
    }
}
