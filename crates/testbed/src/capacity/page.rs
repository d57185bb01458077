//! The page: text by hand with generated blocks between markers. It owns the markers. What stands
//! outside of them is never changed.

use std::path::Path;

use super::error::{CapacityError, MarkerError};

/// A generated part of the page.
pub struct Block {
    pub name: &'static str,
    pub text: String,
}

fn begin(name: &str) -> String {
    format!("<!-- generated: {name} -->")
}

fn end(name: &str) -> String {
    format!("<!-- end: {name} -->")
}

/// Where a block's text lies in the page.
fn place(file: &Path, page: &str, name: &str) -> Result<std::ops::Range<usize>, CapacityError> {
    let (begin, end) = (begin(name), end(name));
    for marker in [&begin, &end] {
        check_marker(page, marker).map_err(|e| CapacityError::in_file(file, e))?;
    }
    let start = page.find(&begin).expect("counted above") + begin.len();
    let stop = page.find(&end).expect("counted above");
    if start > stop {
        return Err(CapacityError::in_file(
            file,
            MarkerError::Reversed { begin, end },
        ));
    }
    Ok(start..stop)
}

/// Checks that a marker stands in the page exactly once.
fn check_marker(page: &str, marker: &str) -> Result<(), MarkerError> {
    let marker = marker.to_string();
    match page.matches(marker.as_str()).count() {
        1 => Ok(()),
        0 => Err(MarkerError::Missing { marker }),
        count => Err(MarkerError::Repeated { marker, count }),
    }
}

/// The page with its blocks written anew.
///
/// # Errors
/// Names the marker that is missing, doubled or in the wrong order.
pub fn write_blocks(file: &Path, page: &str, blocks: &[Block]) -> Result<String, CapacityError> {
    let mut page = page.to_string();
    for block in blocks {
        let range = place(file, &page, block.name)?;
        page.replace_range(
            range,
            &format!("\n\n{}\n", block.text.trim_end().to_string() + "\n"),
        );
    }
    Ok(page)
}

/// Names of the blocks that say something else in the page than they should.
///
/// # Errors
/// Names the marker that is missing, doubled or in the wrong order.
pub fn stale_blocks(
    file: &Path,
    page: &str,
    blocks: &[Block],
) -> Result<Vec<&'static str>, CapacityError> {
    let mut stale = Vec::new();
    for block in blocks {
        let range = place(file, page, block.name)?;
        if page[range].trim() != block.text.trim() {
            stale.push(block.name);
        }
    }
    Ok(stale)
}

/// The page without its generated blocks.
///
/// # Errors
/// Names the marker that is missing, doubled or in the wrong order.
pub fn without_blocks(file: &Path, page: &str, blocks: &[Block]) -> Result<String, CapacityError> {
    let mut page = page.to_string();
    for block in blocks {
        let range = place(file, &page, block.name)?;
        page.replace_range(range, "");
    }
    Ok(page)
}
