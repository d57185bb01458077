//! The page: hand-written text with generated blocks between markers. This module defines the
//! markers. Text outside the markers is never changed.

use std::path::Path;

use super::error::{CapacityError, MarkerError};

/// A generated block of the page.
pub struct Block {
    pub name: &'static str,
    pub text: String,
}

fn begin_marker(name: &str) -> String {
    format!("<!-- generated: {name} -->")
}

fn end_marker(name: &str) -> String {
    format!("<!-- end: {name} -->")
}

/// Returns the byte range of a block's text, between its markers.
fn block_range(
    file: &Path,
    page: &str,
    name: &str,
) -> Result<std::ops::Range<usize>, CapacityError> {
    let (begin, end) = (begin_marker(name), end_marker(name));
    for marker in [&begin, &end] {
        check_marker(page, marker).map_err(|e| CapacityError::in_file(file, e))?;
    }
    let text_start = page.find(&begin).expect("counted above") + begin.len();
    let text_end = page.find(&end).expect("counted above");
    if text_start > text_end {
        return Err(CapacityError::in_file(
            file,
            MarkerError::Reversed { begin, end },
        ));
    }
    Ok(text_start..text_end)
}

/// Checks that a marker occurs in the page exactly once.
fn check_marker(page: &str, marker: &str) -> Result<(), MarkerError> {
    let marker = marker.to_string();
    match page.matches(marker.as_str()).count() {
        1 => Ok(()),
        0 => Err(MarkerError::Missing { marker }),
        count => Err(MarkerError::Repeated { marker, count }),
    }
}

/// Returns the page with the text of its blocks replaced.
///
/// # Errors
/// Names the marker that is missing, repeated or in the wrong order.
pub fn write_blocks(file: &Path, page: &str, blocks: &[Block]) -> Result<String, CapacityError> {
    let mut page = page.to_string();
    for block in blocks {
        let range = block_range(file, &page, block.name)?;
        page.replace_range(
            range,
            &format!("\n\n{}\n", block.text.trim_end().to_string() + "\n"),
        );
    }
    Ok(page)
}

/// Returns the names of the blocks whose text in the page differs from the generated text.
///
/// # Errors
/// Names the marker that is missing, repeated or in the wrong order.
pub fn stale_blocks(
    file: &Path,
    page: &str,
    blocks: &[Block],
) -> Result<Vec<&'static str>, CapacityError> {
    let mut stale = Vec::new();
    for block in blocks {
        let range = block_range(file, page, block.name)?;
        if page[range].trim() != block.text.trim() {
            stale.push(block.name);
        }
    }
    Ok(stale)
}

/// Returns the page without the text of its generated blocks.
///
/// # Errors
/// Names the marker that is missing, repeated or in the wrong order.
pub fn without_blocks(file: &Path, page: &str, blocks: &[Block]) -> Result<String, CapacityError> {
    let mut page = page.to_string();
    for block in blocks {
        let range = block_range(file, &page, block.name)?;
        page.replace_range(range, "");
    }
    Ok(page)
}
