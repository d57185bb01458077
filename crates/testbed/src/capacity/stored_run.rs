//! The stored scale run: JSON lines, read strictly. The first line describes the run, further ones
//! hold a measured point or a fitted slope. Points serve to tell how far a slope was measured.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use super::error::{CapacityError, StoredRunError};
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
    /// The part of the run.
    pub part: Part,
    /// The count that was varied.
    pub varied: Varied,
    /// Its size.
    pub size: f64,
    /// The other counts and settings of the measurement.
    #[serde(default)]
    pub fixed: serde_json::Map<String, Value>,
    /// The figures by name; null where one wasn't measured.
    pub figures: BTreeMap<String, Value>,
}

/// A straight line through the points of one figure.
#[derive(Clone, Debug, Deserialize)]
pub struct Fit {
    run: String,
    /// The part of the run.
    pub part: Part,
    /// The figure's name.
    #[serde(rename = "fit")]
    pub figure: String,
    /// The count that was varied.
    pub varied: Varied,
    /// The figure at a count of zero.
    pub intercept: f64,
    /// How much the figure grows with one more.
    pub slope: f64,
    /// The root mean square of what the line misses by.
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
    /// The run's name.
    pub name: String,
    /// The commit that was measured.
    pub text: String,
    /// The machine that it was made on.
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
    pub fn load(file: &Path) -> Result<Option<Self>, CapacityError> {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(file, &text).map(Some),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(CapacityError::in_file(file, e)),
        }
    }

    /// Reads a stored run that is in hand; `file` is named in errors.
    ///
    /// # Errors
    /// Names the file, the line and the key at fault.
    pub fn parse(file: &Path, text: &str) -> Result<Self, CapacityError> {
        let mut lines = text
            .lines()
            .enumerate()
            .map(|(index, line)| (index + 1, line));
        let (number, first) = lines
            .next()
            .ok_or_else(|| CapacityError::in_file(file, StoredRunError::Empty))?;
        let in_line = |number, reason| CapacityError::in_line(file, number, reason);
        let head: Head = json(first)
            .and_then(typed)
            .map_err(|reason: StoredRunError| in_line(number, reason))?;
        let mut run = StoredRun {
            name: head.run,
            text: head.text,
            machine: head.machine,
            fits: BTreeMap::new(),
            points: Vec::new(),
            ranges: BTreeMap::new(),
        };
        for (number, line) in lines {
            json(line)
                .and_then(|value| run.take(value))
                .map_err(|reason: StoredRunError| in_line(number, reason))?;
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

    fn take(&mut self, value: Value) -> Result<(), StoredRunError> {
        if value.get("fit").is_some() {
            let fit: Fit = typed(value)?;
            self.check_name(&fit.run)?;
            self.take_fit(fit)
        } else if value.get("figures").is_some() {
            let point: Point = typed(value)?;
            self.check_name(&point.run)?;
            self.take_point(point)
        } else {
            Err(StoredRunError::UnknownLine)
        }
    }

    fn check_name(&self, name: &str) -> Result<(), StoredRunError> {
        if name == self.name {
            return Ok(());
        }
        Err(StoredRunError::OtherRun {
            found: name.into(),
            expected: self.name.clone(),
        })
    }

    fn take_fit(&mut self, fit: Fit) -> Result<(), StoredRunError> {
        let (part, varied, figure) = (fit.part, fit.varied, fit.figure.clone());
        match self.fits.insert((part, varied, figure.clone()), fit) {
            Some(_) => Err(StoredRunError::DuplicateFit {
                figure,
                varied: varied.name(),
                part: part.name(),
            }),
            None => Ok(()),
        }
    }

    fn take_point(&mut self, point: Point) -> Result<(), StoredRunError> {
        if point.size <= 0.0 {
            return Err(StoredRunError::SizeNotPositive);
        }
        // A figure that wasn't measured at a size is null there.
        let readable = |value: &Value| value.is_number() || value.is_null();
        if let Some((name, _)) = point.figures.iter().find(|(_, value)| !readable(value)) {
            let key = format!("figures.{name}");
            return Err(StoredRunError::NotANumber { key });
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

fn json(line: &str) -> Result<Value, StoredRunError> {
    serde_json::from_str(line).map_err(StoredRunError::NotJson)
}

/// Reads an object. The reader names a missing key, but not the one whose value has the wrong type:
/// those are checked first.
fn typed<T: for<'de> Deserialize<'de>>(value: Value) -> Result<T, StoredRunError> {
    let object = value.as_object().ok_or(StoredRunError::NotAnObject)?;
    let is_wrong =
        |key: &str, right: fn(&Value) -> bool| object.get(key).is_some_and(|v| !right(v));
    if let Some(key) = NUMBERS.iter().find(|key| is_wrong(key, Value::is_number)) {
        let key = key.to_string();
        return Err(StoredRunError::NotANumber { key });
    }
    if let Some(key) = TEXTS.iter().find(|key| is_wrong(key, Value::is_string)) {
        return Err(StoredRunError::NotAText { key });
    }
    Ok(T::deserialize(value)?)
}

/// Keys whose values are numbers.
const NUMBERS: [&str; 4] = ["size", "intercept", "slope", "residual"];
/// Keys whose values are texts.
const TEXTS: [&str; 5] = ["run", "text", "part", "varied", "fit"];
