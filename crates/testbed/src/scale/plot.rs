//! The plot of a run: for each part and count that grew, the figures that have a budget are drawn
//! over the sizes, with both axes logarithmic. The plot is generated from the run's lines alone.

use plotters::coord::Shift;
use plotters::prelude::*;

use super::measurement::{Line, Part, Varied};
use super::table::{kinds, points};

/// Figures that are drawn for the policy and the flow table alone.
const DECISION_FIGURES: [&str; 5] = [
    "place_p50_us",
    "place_p99_us",
    "place_us_per_flow",
    "probes_per_second",
    "bytes_per_server",
];
/// Figures that are drawn for a fleet on sockets.
const SOCKET_FIGURES: [&str; 5] = [
    "control_bytes_per_second",
    "probes_per_second",
    "cpu_percent_of_core",
    "memory_mb",
    "change_seen_ms_p99",
];
const COLORS: [RGBColor; 5] = [BLUE, RED, GREEN, MAGENTA, BLACK];
const PANEL_WIDTH: u32 = 520;
const PANEL_HEIGHT: u32 = 320;
const COLUMNS: usize = 2;
/// Lowest value on a logarithmic axis; lower ones are drawn at it.
const LOG_AXIS_MIN: f64 = 0.01;

/// Error of the drawing library for a panel or a page.
type DrawingError = DrawingAreaErrorKind<std::io::Error>;

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    /// The page as a whole could not be drawn.
    #[error(transparent)]
    Page(#[from] DrawingError),
    /// One panel could not be drawn.
    #[error("{} by {}: {source}", .part.name(), .varied.name())]
    Panel {
        /// The part of the run that the panel shows.
        part: Part,
        /// The count that grows.
        varied: Varied,
        /// The drawing library's error.
        source: DrawingError,
    },
}

/// Draws a run as SVG.
///
/// # Errors
/// The drawing library failed on the page or on a panel.
pub fn svg(lines: &[Line]) -> Result<String, PlotError> {
    let kinds: Vec<(Part, Varied)> = kinds(lines)
        .into_iter()
        .filter(|(part, _)| *part != Part::Storm)
        .collect();
    let rows = kinds.len().div_ceil(COLUMNS).max(1);
    let size = (PANEL_WIDTH * COLUMNS as u32, PANEL_HEIGHT * rows as u32);
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
        root.fill(&WHITE)?;
        let panels = root.split_evenly((rows, COLUMNS));
        for (kind, panel) in kinds.iter().zip(&panels) {
            draw(panel, lines, *kind).map_err(|source| PlotError::Panel {
                part: kind.0,
                varied: kind.1,
                source,
            })?;
        }
        root.present()?;
    }
    Ok(text)
}

type Panel<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn draw(panel: &Panel, lines: &[Line], kind: (Part, Varied)) -> Result<(), DrawingError> {
    let series = series(lines, kind);
    let values = || series.iter().flat_map(|(_, points)| points);
    let bounds = |of: fn(&(f64, f64)) -> f64| {
        let lowest = values()
            .map(of)
            .fold(f64::INFINITY, f64::min)
            .max(LOG_AXIS_MIN);
        let highest = values().map(of).fold(LOG_AXIS_MIN, f64::max);
        lowest / 1.5..highest.max(lowest) * 1.5
    };
    let mut chart = ChartBuilder::on(panel)
        .caption(
            format!("{}, by {}", kind.0.name(), kind.1.name()),
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(28)
        .y_label_area_size(64)
        .build_cartesian_2d(
            bounds(|point| point.0).log_scale(),
            bounds(|point| point.1).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc(kind.1.name())
        .light_line_style(TRANSPARENT)
        .draw()?;
    for ((name, points), color) in series.iter().zip(COLORS) {
        let line =
            chart.draw_series(LineSeries::new(points.iter().copied(), color).point_size(3))?;
        line.label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(())
}

/// A figure's name and its points.
type Series = (String, Vec<(f64, f64)>);

fn series(lines: &[Line], kind: (Part, Varied)) -> Vec<Series> {
    let names: &[&str] = if kind.0 == Part::Decisions {
        &DECISION_FIGURES
    } else {
        &SOCKET_FIGURES
    };
    let points = points(lines, kind);
    let of = |name: &&str| {
        let value = |(size, figures): &(f64, Vec<(String, f64)>)| {
            let value = figures.iter().find(|(figure, _)| figure == name)?.1;
            Some((*size, value.max(LOG_AXIS_MIN)))
        };
        (
            name.to_string(),
            points.iter().filter_map(value).collect::<Vec<_>>(),
        )
    };
    names
        .iter()
        .map(of)
        .filter(|(_, points)| !points.is_empty())
        .collect()
}
