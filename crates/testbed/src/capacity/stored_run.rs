//! The stored scale run: JSON lines, read strictly. The first line describes the run, further ones
//! hold a measured point or a fitted slope. Points serve to tell how far a slope was measured.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use super::fault::Fault;
pub use crate::scale::measurement::{Part, Varied};

/// The first line.
#[derive(Clone, Debug, Deserialize)]
struct Head {
    run: String,
    machine: serde_json::Map<String, Value>,
    text: String,
}

/// One measured size.
#[derive(Clone, Debug, Deserialize)]
pub struct Point {
    run: String,
    pub part: Part,
    pub varied: Varied,
    pub size: f64,
    /// The other counts and settings of the measurement.
    #[serde(default)]
    pub fixed: serde_json::Map<String, Value>,
    pub figures: BTreeMap<String, Value>,
}

/// A straight line through the points of one figure.
#[derive(Clone, Debug, Deserialize)]
pub struct Fit {
    run: String,
    pub part: Part,
    #[serde(rename = "fit")]
    pub figure: String,
    pub varied: Varied,
    pub intercept: f64,
    pub slope: f64,
    pub residual: f64,
}

impl Fit {
    /// The figure at a count.
    pub fn at(&self, count: f64) -> f64 {
        self.intercept + self.slope * count
    }
}

/// What a figure was fitted for.
type FitKey = (Part, Varied, String);

/// A scale run as stored.
#[derive(Clone, Debug)]
pub struct StoredRun {
    pub name: String,
    /// The commit that was measured.
    pub text: String,
    pub machine: serde_json::Map<String, Value>,
    fits: BTreeMap<FitKey, Fit>,
    points: Vec<Point>,
    /// The smallest and the largest measured size.
    ranges: BTreeMap<(Part, Varied), (f64, f64)>,
}

impl StoredRun {
    /// Reads a stored run; none where there is no such file yet.
    ///
    /// # Errors
    /// Names the file, the line and the key at fault.
    pub fn load(file: &Path) -> Result<Option<Self>, Fault> {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(file, &text).map(Some),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(Fault::file(file, e)),
        }
    }

    /// Reads a stored run that is in hand; `file` is named in errors.
    ///
    /// # Errors
    /// Names the file, the line and the key at fault.
    pub fn parse(file: &Path, text: &str) -> Result<Self, Fault> {
        let mut lines = text
            .lines()
            .enumerate()
            .map(|(index, line)| (index + 1, line));
        let (number, first) = lines
            .next()
            .ok_or_else(|| Fault::file(file, "is empty: no run"))?;
        let head: Head = typed(file, number, json(file, number, first)?)?;
        let mut run = StoredRun {
            name: head.run,
            text: head.text,
            machine: head.machine,
            fits: BTreeMap::new(),
            points: Vec::new(),
            ranges: BTreeMap::new(),
        };
        for (number, line) in lines {
            run.take(json(file, number, line)?, file, number)?;
        }
        Ok(run)
    }

    /// The fitted line of a figure.
    pub fn fit(&self, part: Part, varied: Varied, figure: &str) -> Option<&Fit> {
        self.fits.get(&(part, varied, figure.to_string()))
    }

    /// A figure at a count: read between the two measured sizes around it, or on the fitted line
    /// outside of all sizes.
    pub fn at(&self, part: Part, varied: Varied, figure: &str, count: f64) -> Option<f64> {
        let between = self.measured(part, varied, figure);
        let pairs = between.iter().zip(between.iter().skip(1));
        let around = pairs
            .into_iter()
            .find(|((least, _), (most, _))| (*least..=*most).contains(&count));
        match around {
            Some(((size, value), (next_size, next_value))) if next_size > size => {
                Some(value + (next_value - value) * (count - size) / (next_size - size))
            }
            _ => self.fit(part, varied, figure).map(|fit| fit.at(count)),
        }
    }

    /// A figure at each measured size, from the smallest on.
    fn measured(&self, part: Part, varied: Varied, figure: &str) -> Vec<(f64, f64)> {
        let points = self.points(part).filter(|point| point.varied == varied);
        let value = |point: &Point| Some((point.size, point.figures.get(figure)?.as_f64()?));
        let mut measured: Vec<(f64, f64)> = points.filter_map(value).collect();
        measured.sort_by(|a, b| a.0.total_cmp(&b.0));
        measured
    }

    /// All measured points of a part, in the order of the run.
    pub fn points(&self, part: Part) -> impl Iterator<Item = &Point> {
        self.points.iter().filter(move |point| point.part == part)
    }

    /// The smallest and the largest size measured for a count.
    pub fn range(&self, part: Part, varied: Varied) -> Option<(f64, f64)> {
        self.ranges.get(&(part, varied)).copied()
    }

    /// The smallest and the largest size of each count that was varied.
    pub fn ranges(&self) -> impl Iterator<Item = ((Part, Varied), (f64, f64))> {
        self.ranges.iter().map(|(key, range)| (*key, *range))
    }

    fn take(&mut self, value: Value, file: &Path, line: usize) -> Result<(), Fault> {
        if value.get("fit").is_some() {
            let fit: Fit = typed(file, line, value)?;
            self.check_name(&fit.run, file, line)?;
            self.take_fit(fit)
                .map_err(|reason| Fault::line(file, line, reason))
        } else if value.get("figures").is_some() {
            let point: Point = typed(file, line, value)?;
            self.check_name(&point.run, file, line)?;
            self.take_point(point)
                .map_err(|reason| Fault::line(file, line, reason))
        } else {
            Err(Fault::line(
                file,
                line,
                "neither `figures` nor `fit`: no point and no slope",
            ))
        }
    }

    fn check_name(&self, name: &str, file: &Path, line: usize) -> Result<(), Fault> {
        if name == self.name {
            return Ok(());
        }
        Err(Fault::line(
            file,
            line,
            format!("`run` is '{name}', the first line's is '{}'", self.name),
        ))
    }

    fn take_fit(&mut self, fit: Fit) -> Result<(), String> {
        let key = (fit.part, fit.varied, fit.figure.clone());
        let what = format!(
            "`fit` {} over {} in {}",
            fit.figure,
            fit.varied.name(),
            fit.part.name()
        );
        match self.fits.insert(key, fit) {
            Some(_) => Err(format!("{what}: stands there already")),
            None => Ok(()),
        }
    }

    fn take_point(&mut self, point: Point) -> Result<(), String> {
        if point.size <= 0.0 {
            return Err("`size` is not over 0".into());
        }
        // A figure that wasn't measured at a size is null there.
        let readable = |value: &Value| value.is_number() || value.is_null();
        if let Some((name, _)) = point.figures.iter().find(|(_, value)| !readable(value)) {
            return Err(format!("`figures.{name}` is no number"));
        }
        let range = self
            .ranges
            .entry((point.part, point.varied))
            .or_insert((point.size, point.size));
        *range = (range.0.min(point.size), range.1.max(point.size));
        self.points.push(point);
        Ok(())
    }
}

fn json(file: &Path, number: usize, line: &str) -> Result<Value, Fault> {
    serde_json::from_str(line)
        .map_err(|e| Fault::line(file, number, format!("no JSON object: {e}")))
}

fn typed<T: for<'de> Deserialize<'de>>(
    file: &Path,
    number: usize,
    value: Value,
) -> Result<T, Fault> {
    let object = value
        .as_object()
        .ok_or_else(|| Fault::line(file, number, "no JSON object"))?;
    // The reader names a missing key, but not the one whose value has the wrong type.
    let wrong = NUMBERS
        .iter()
        .find(|key| object.get(**key).is_some_and(|value| !value.is_number()));
    if let Some(key) = wrong {
        return Err(Fault::line(file, number, format!("`{key}` is no number")));
    }
    let texts = TEXTS
        .iter()
        .find(|key| object.get(**key).is_some_and(|value| !value.is_string()));
    if let Some(key) = texts {
        return Err(Fault::line(file, number, format!("`{key}` is no text")));
    }
    T::deserialize(value).map_err(|e| Fault::line(file, number, e))
}

/// Keys whose values are numbers.
const NUMBERS: [&str; 4] = ["size", "intercept", "slope", "residual"];
/// Keys whose values are texts.
const TEXTS: [&str; 5] = ["run", "text", "part", "varied", "fit"];
