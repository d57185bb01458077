//! The page: text by hand with generated blocks between markers. It owns the markers. What stands
//! outside of them is never changed.

use std::path::Path;

use super::fault::Fault;

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
fn place(file: &Path, page: &str, name: &str) -> Result<std::ops::Range<usize>, Fault> {
    let (begin, end) = (begin(name), end(name));
    for marker in [&begin, &end] {
        match page.matches(marker.as_str()).count() {
            1 => {}
            0 => {
                return Err(Fault::file(
                    file,
                    format!("the marker '{marker}' is missing"),
                ));
            }
            count => {
                return Err(Fault::file(
                    file,
                    format!("the marker '{marker}' stands there {count} times"),
                ));
            }
        }
    }
    let start = page.find(&begin).expect("counted above") + begin.len();
    let stop = page.find(&end).expect("counted above");
    match start <= stop {
        true => Ok(start..stop),
        false => Err(Fault::file(
            file,
            format!("the marker '{end}' stands before '{begin}'"),
        )),
    }
}

/// The page with its blocks written anew.
///
/// # Errors
/// Names the marker that is missing, doubled or in the wrong order.
pub fn write_blocks(file: &Path, page: &str, blocks: &[Block]) -> Result<String, Fault> {
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
pub fn stale_blocks(file: &Path, page: &str, blocks: &[Block]) -> Result<Vec<&'static str>, Fault> {
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
pub fn without_blocks(file: &Path, page: &str, blocks: &[Block]) -> Result<String, Fault> {
    let mut page = page.to_string();
    for block in blocks {
        let range = place(file, &page, block.name)?;
        page.replace_range(range, "");
    }
    Ok(page)
}
