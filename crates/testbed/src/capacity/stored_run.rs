//! The stored scale run, in JSON lines that are parsed strictly. The first line describes the run.
//! Each further line is a measured point or a fitted line. The points also give the range of sizes
//! that a fitted line was measured over.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use super::error::{CapacityError, StoredRunError};
pub use crate::scale::measurement::{Part, Varied};

/// The first line, which describes the run.
#[derive(Clone, Debug, Deserialize)]
struct Header {
    run: String,
    machine: serde_json::Map<String, Value>,
    text: String,
}

/// The figures measured at one size.
#[derive(Clone, Debug, Deserialize)]
pub struct Point {
    run: String,
    /// The part of the run.
    pub part: Part,
    /// The count that was varied.
    pub varied: Varied,
    /// The size of the varied count.
    pub size: f64,
    /// The other counts and settings of the measurement.
    #[serde(default)]
    pub fixed: serde_json::Map<String, Value>,
    /// The figures by name. A figure that was not measured at this size is null.
    pub figures: BTreeMap<String, Value>,
}

/// A straight line fitted to the points of one figure.
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
    /// The value of the figure at a count of 0.
    pub intercept: f64,
    /// The increase of the figure if the count grows by 1.
    pub slope: f64,
    /// The root mean square of the deviations of the points from the line.
    pub residual: f64,
}

impl Fit {
    /// Returns the value of the line at a count.
    pub fn at(&self, count: f64) -> f64 {
        self.intercept + self.slope * count
    }
}

/// Part of the run, varied count and figure of a fitted line.
type FitKey = (Part, Varied, String);

/// A stored scale run.
#[derive(Clone, Debug)]
pub struct StoredRun {
    /// The name of the run.
    pub name: String,
    /// The commit that was measured.
    pub commit: String,
    /// Properties of the machine that the run was made on.
    pub machine: serde_json::Map<String, Value>,
    fits: BTreeMap<FitKey, Fit>,
    points: Vec<Point>,
    /// The smallest and the largest measured size of each varied count.
    ranges: BTreeMap<(Part, Varied), (f64, f64)>,
}

impl StoredRun {
    /// Loads a stored run. Returns `None` if the file does not exist.
    ///
    /// # Errors
    /// Names the file, the line and the invalid key.
    pub fn load(file: &Path) -> Result<Option<Self>, CapacityError> {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(file, &text).map(Some),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(CapacityError::in_file(file, e)),
        }
    }

    /// Parses the text of a stored run. Errors name `file` as its origin.
    ///
    /// # Errors
    /// Names the file, the line and the invalid key.
    pub fn parse(file: &Path, text: &str) -> Result<Self, CapacityError> {
        let mut lines = text
            .lines()
            .enumerate()
            .map(|(index, line)| (index + 1, line));
        let (number, first) = lines
            .next()
            .ok_or_else(|| CapacityError::in_file(file, StoredRunError::Empty))?;
        let in_line = |number, reason| CapacityError::in_line(file, number, reason);
        let header: Header = parse_json(first)
            .and_then(deserialize_checked)
            .map_err(|reason: StoredRunError| in_line(number, reason))?;
        let mut run = StoredRun {
            name: header.run,
            commit: header.text,
            machine: header.machine,
            fits: BTreeMap::new(),
            points: Vec::new(),
            ranges: BTreeMap::new(),
        };
        for (number, line) in lines {
            parse_json(line)
                .and_then(|value| run.add_record(value))
                .map_err(|reason: StoredRunError| in_line(number, reason))?;
        }
        Ok(run)
    }

    /// Returns the fitted line of a figure.
    pub fn fit(&self, part: Part, varied: Varied, figure: &str) -> Option<&Fit> {
        self.fits.get(&(part, varied, figure.to_string()))
    }

    /// Returns the value of a figure at a count. Between two measured sizes the value is interpolated
    /// linearly. Outside the measured range it is taken from the fitted line.
    pub fn at(&self, part: Part, varied: Varied, figure: &str, count: f64) -> Option<f64> {
        let values = self.measured_values(part, varied, figure);
        let pairs = values.iter().zip(values.iter().skip(1));
        let enclosing = pairs
            .into_iter()
            .find(|((size, _), (next_size, _))| (*size..=*next_size).contains(&count));
        match enclosing {
            Some(((size, value), (next_size, next_value))) if next_size > size => {
                Some(value + (next_value - value) * (count - size) / (next_size - size))
            }
            _ => self.fit(part, varied, figure).map(|fit| fit.at(count)),
        }
    }

    /// Returns the size and the value of each measured point of a figure, in ascending order of size.
    fn measured_values(&self, part: Part, varied: Varied, figure: &str) -> Vec<(f64, f64)> {
        let points = self.points(part).filter(|point| point.varied == varied);
        let value = |point: &Point| Some((point.size, point.figures.get(figure)?.as_f64()?));
        let mut measured_values: Vec<(f64, f64)> = points.filter_map(value).collect();
        measured_values.sort_by(|a, b| a.0.total_cmp(&b.0));
        measured_values
    }

    /// Returns the measured points of a part, in the order of the run.
    pub fn points(&self, part: Part) -> impl Iterator<Item = &Point> {
        self.points.iter().filter(move |point| point.part == part)
    }

    /// Returns the smallest and the largest measured size of a count.
    pub fn range(&self, part: Part, varied: Varied) -> Option<(f64, f64)> {
        self.ranges.get(&(part, varied)).copied()
    }

    /// Returns the smallest and the largest measured size of each varied count.
    pub fn ranges(&self) -> impl Iterator<Item = ((Part, Varied), (f64, f64))> {
        self.ranges.iter().map(|(key, range)| (*key, *range))
    }

    fn add_record(&mut self, value: Value) -> Result<(), StoredRunError> {
        if value.get("fit").is_some() {
            let fit: Fit = deserialize_checked(value)?;
            self.check_run_name(&fit.run)?;
            self.add_fit(fit)
        } else if value.get("figures").is_some() {
            let point: Point = deserialize_checked(value)?;
            self.check_run_name(&point.run)?;
            self.add_point(point)
        } else {
            Err(StoredRunError::UnknownRecord)
        }
    }

    fn check_run_name(&self, name: &str) -> Result<(), StoredRunError> {
        if name == self.name {
            return Ok(());
        }
        Err(StoredRunError::RunMismatch {
            found: name.into(),
            expected: self.name.clone(),
        })
    }

    fn add_fit(&mut self, fit: Fit) -> Result<(), StoredRunError> {
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

    fn add_point(&mut self, point: Point) -> Result<(), StoredRunError> {
        if point.size <= 0.0 {
            return Err(StoredRunError::SizeNotPositive);
        }
        // A figure that was not measured at this size is null.
        let number_or_null = |value: &Value| value.is_number() || value.is_null();
        if let Some((name, _)) = point
            .figures
            .iter()
            .find(|(_, value)| !number_or_null(value))
        {
            let key = format!("figures.{name}");
            return Err(StoredRunError::ExpectedNumber { key });
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

fn parse_json(line: &str) -> Result<Value, StoredRunError> {
    serde_json::from_str(line).map_err(StoredRunError::InvalidJson)
}

/// Deserializes an object. Errors of `serde_json` name a missing key, but not a key whose value has
/// the wrong type. Types of values are therefore checked first.
fn deserialize_checked<T: for<'de> Deserialize<'de>>(value: Value) -> Result<T, StoredRunError> {
    let object = value.as_object().ok_or(StoredRunError::NotAnObject)?;
    let has_wrong_type =
        |key: &str, is_valid: fn(&Value) -> bool| object.get(key).is_some_and(|v| !is_valid(v));
    if let Some(key) = NUMBER_KEYS
        .iter()
        .find(|key| has_wrong_type(key, Value::is_number))
    {
        let key = key.to_string();
        return Err(StoredRunError::ExpectedNumber { key });
    }
    if let Some(key) = STRING_KEYS
        .iter()
        .find(|key| has_wrong_type(key, Value::is_string))
    {
        return Err(StoredRunError::ExpectedString { key });
    }
    Ok(T::deserialize(value)?)
}

/// Keys whose values must be numbers.
const NUMBER_KEYS: [&str; 4] = ["size", "intercept", "slope", "residual"];
/// Keys whose values must be strings.
const STRING_KEYS: [&str; 5] = ["run", "text", "part", "varied", "fit"];
