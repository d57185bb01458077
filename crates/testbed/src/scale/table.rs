//! The tables of a run in Markdown: one for each part and count that grew, with the fitted lines
//! below it. They are generated from the run's lines alone, so that a stored run gives the same tables
//! again.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use super::measurement::{Line, Part, Varied};

/// Generates all tables of a run.
pub fn markdown(lines: &[Line]) -> String {
    let mut out = String::new();
    for line in lines {
        if let Line::Start { run, machine, text } = line {
            let (cores, memory, descriptors) =
                (machine.cores, machine.memory_mb, machine.descriptors);
            writeln!(
                out,
                "# Scale run `{run}`\n\nMeasured on {cores} cores with {memory} MB, {descriptors} descriptors a process, at {text}."
            )
            .expect("writing to a string can't fail");
            if let Some(load) = machine.load_average {
                writeln!(out, "Load average at the start: {load}.")
                    .expect("writing to a string can't fail");
            }
        }
    }
    for (part, varied) in kinds(lines) {
        writeln!(out, "\n## {}, by {}\n", part.name(), varied.name())
            .expect("writing to a string can't fail");
        out += &measurements(lines, part, varied);
        out += &fits(lines, part, varied);
    }
    out
}

/// Returns each part and count that has measurements.
pub fn kinds(lines: &[Line]) -> BTreeSet<(Part, Varied)> {
    let kind = |line: &Line| match line {
        Line::Measurement { part, varied, .. } => Some((*part, *varied)),
        _ => None,
    };
    lines.iter().filter_map(kind).collect()
}

/// Returns the sizes and figures of one part and count, in the order of the lines.
pub fn points(lines: &[Line], kind: (Part, Varied)) -> Vec<(f64, Vec<(String, f64)>)> {
    let one = |line: &Line| match line {
        Line::Measurement {
            part,
            varied,
            size,
            figures,
            ..
        } if (*part, *varied) == kind => Some((*size, figures.measured())),
        _ => None,
    };
    lines.iter().filter_map(one).collect()
}

fn measurements(lines: &[Line], part: Part, varied: Varied) -> String {
    let points = points(lines, (part, varied));
    let mut out = format!(
        "| figure |{}\n",
        points
            .iter()
            .map(|(size, _)| format!(" {size} |"))
            .collect::<String>()
    );
    out += &format!("| --- |{}\n", " ---: |".repeat(points.len()));
    for name in figure_names(&points) {
        let cell = |(_, figures): &(f64, Vec<(String, f64)>)| {
            let value = figures.iter().find(|(figure, _)| *figure == name);
            value.map_or(" - |".to_string(), |(_, value)| {
                format!(" {} |", rounded(*value))
            })
        };
        writeln!(
            out,
            "| `{name}` |{}",
            points.iter().map(cell).collect::<String>()
        )
        .expect("writing to a string can't fail");
    }
    out
}

/// Returns the names of the figures in the order in which they first occur.
pub fn figure_names(points: &[(f64, Vec<(String, f64)>)]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for (name, _) in points.iter().flat_map(|(_, figures)| figures) {
        if !names.contains(name) {
            names.push(name.clone());
        }
    }
    names
}

fn fits(lines: &[Line], of_part: Part, of_varied: Varied) -> String {
    let mut out = String::new();
    for line in lines {
        if let Line::Fit {
            part,
            fit,
            varied,
            intercept,
            slope,
            residual,
            ..
        } = line
            && (*part, *varied) == (of_part, of_varied)
        {
            if out.is_empty() {
                out += "\n| fitted | at 0 | slope | residual |\n| --- | ---: | ---: | ---: |\n";
            }
            let [intercept, slope, residual] =
                [intercept, slope, residual].map(|value| rounded(*value));
            writeln!(out, "| `{fit}` | {intercept} | {slope} | {residual} |")
                .expect("writing to a string can't fail");
        }
    }
    out
}

/// Formats a value with three significant digits and without an exponent.
fn rounded(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits <= 0 {
        format!("{value:.0}")
    } else {
        format!("{value:.*}", digits.min(9) as usize)
    }
}
