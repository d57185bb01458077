//! `nettlemux-testbed capacity`: its arguments and its output.

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
    /// The assumptions that the page combines with the run
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("docs/scale/assumptions.toml"))
    )]
    assumptions: PathBuf,
    /// Rewrites the generated blocks of the page
    write: bool,
    /// The page; the default is docs/CAPACITY.md
    #[bpaf(positional("PAGE"), fallback(PathBuf::from("docs/CAPACITY.md")))]
    page: PathBuf,
}

/// Checks or rewrites the page. Returns the text to print and whether the page is up to date.
///
/// # Errors
/// Names the invalid file, line and key.
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
        capacity::regenerate_page(&files)?;
        return Ok((format!("{page}: written\n"), true));
    }
    let stale = capacity::stale_blocks(&files)?;
    match stale.is_empty() {
        true => Ok((
            format!("{page}: matches the stored run and the assumptions\n"),
            true,
        )),
        false => {
            let text = format!(
                "{page}: does not match the stored run and the assumptions: {}\n",
                stale.join(", ")
            );
            Ok((
                text + "nettlemux-testbed capacity --write updates it\n",
                false,
            ))
        }
    }
}
