//! One figure of a role: how it is calculated, its budget and the mechanism behind it.

use std::cell::RefCell;
use std::collections::BTreeSet;

use super::assumptions::Assumptions;
use super::deployment::{Deployment, UnknownQuantity};
use super::markdown::{Table, figures, number};
use super::mechanism::Mechanism;
use super::stored_run::{Fit, Part, StoredRun, Varied};

/// The inputs that the page is calculated from.
pub struct Inputs<'a> {
    pub assumptions: &'a Assumptions,
    /// `None` if there is no stored run yet.
    pub run: Option<&'a StoredRun>,
    /// Figures of the run that were requested by [`Inputs::slope`].
    used: RefCell<BTreeSet<(Part, Varied, &'static str)>>,
}

impl<'a> Inputs<'a> {
    /// Creates inputs of which no figure was requested yet.
    pub fn new(assumptions: &'a Assumptions, run: Option<&'a StoredRun>) -> Self {
        Inputs {
            assumptions,
            run,
            used: RefCell::default(),
        }
    }

    /// Returns the slope of a figure over a varied count, and records that it was requested. The slope
    /// has no values if the run does not contain the figure.
    pub fn slope(&self, part: Part, varied: Varied, figure: &'static str) -> Slope<'a> {
        self.used.borrow_mut().insert((part, varied, figure));
        Slope {
            part,
            varied,
            figure,
            run: self.run,
        }
    }

    /// Returns the slopes of all figures that were requested so far.
    pub fn used(&self) -> Vec<Slope<'a>> {
        let used = self.used.borrow();
        used.iter()
            .map(|&(part, varied, figure)| Slope {
                part,
                varied,
                figure,
                run: self.run,
            })
            .collect()
    }
}

/// A figure of the stored run as a function of a varied count.
#[derive(Clone, Copy)]
pub struct Slope<'a> {
    pub part: Part,
    pub varied: Varied,
    pub figure: &'static str,
    run: Option<&'a StoredRun>,
}

impl<'a> Slope<'a> {
    /// Returns the value of the figure at a count, or `None` if the figure was not measured.
    pub fn at(&self, count: f64) -> Option<f64> {
        self.run?.at(self.part, self.varied, self.figure, count)
    }

    /// Returns the increase of the figure if the count grows by 1.
    pub fn per_unit(&self) -> Option<f64> {
        self.fit().map(|fit| fit.slope)
    }

    /// Returns the fitted line.
    pub fn fit(&self) -> Option<&'a Fit> {
        self.run?.fit(self.part, self.varied, self.figure)
    }

    /// Returns the largest measured size of the count.
    fn largest_measured_size(&self) -> Option<f64> {
        self.run?
            .range(self.part, self.varied)
            .map(|(_, largest)| largest)
    }

    /// Returns the text of the page for this slope.
    pub fn describe(&self) -> String {
        let (figure, count, part) = (self.figure, self.varied.name(), self.part.name());
        let Some(fit) = self.fit() else {
            return format!("{figure} over {count} ({part}): *not measured*");
        };
        let range = self
            .largest_measured_size()
            .map_or(String::new(), |largest| format!(", to {}", number(largest)));
        let sign = if fit.intercept < 0.0 { "-" } else { "+" };
        let [slope, intercept, residual] =
            [fit.slope, fit.intercept.abs(), fit.residual].map(number);
        let source = format!("measured, {part}{range}, residual {residual}");
        format!("{figure} = {slope} x {count} {sign} {intercept} ({source})")
    }
}

/// Calculates a figure for a fleet.
type Formula<'a> = Box<dyn Fn(&Deployment) -> Option<f64> + 'a>;

/// One figure of a role.
pub struct Row<'a> {
    pub quantity: &'static str,
    pub unit: &'static str,
    /// How the figure is calculated, as printed on the page: slope x count, or the assumption.
    pub basis: String,
    pub varies: Option<UnknownQuantity>,
    pub value: Formula<'a>,
    pub budget: Option<f64>,
    pub mechanism: Mechanism,
}

impl<'a> Row<'a> {
    /// Creates a figure that has no budget and depends on no unknown quantity.
    pub fn new(
        quantity: &'static str,
        unit: &'static str,
        basis: impl Into<String>,
        value: impl Fn(&Deployment) -> Option<f64> + 'a,
        mechanism: Mechanism,
    ) -> Self {
        let value = Box::new(value);
        Row {
            quantity,
            unit,
            basis: basis.into(),
            varies: None,
            value,
            budget: None,
            mechanism,
        }
    }

    /// Calculates the figure for the three values of an unknown quantity.
    pub fn over(mut self, unknown: UnknownQuantity) -> Self {
        self.varies = Some(unknown);
        self
    }

    /// Sets the budget, which is the maximum of the figure.
    pub fn within(mut self, budget: f64) -> Self {
        self.budget = Some(budget);
        self
    }

    fn values(&self, fleet: &Deployment, assumptions: &Assumptions) -> Vec<Option<f64>> {
        match self.varies {
            None => vec![(self.value)(fleet)],
            Some(unknown) => fleet
                .cases(assumptions, unknown)
                .iter()
                .map(|case| (self.value)(case))
                .collect(),
        }
    }

    /// Returns the ratio of the figure to its budget at the middle values of the unknown quantities.
    pub fn budget_ratio(&self, fleet: &Deployment) -> Option<f64> {
        Some((self.value)(fleet)? / self.budget?)
    }
}

/// Returns the table of a role: each figure at the required fleet size and at a tenth of it.
pub fn table(
    rows: &[Row],
    assumptions: &Assumptions,
    full: &Deployment,
    tenth: &Deployment,
) -> String {
    let columns = [
        "figure",
        "unit",
        "worked out by",
        "full size",
        "a tenth",
        "budget",
        "of the budget",
        "mechanism",
    ];
    let mut table = Table::new(&columns);
    for row in rows {
        let ratio = row.budget_ratio(full);
        table.row([
            row.quantity.to_string(),
            row.unit.to_string(),
            row.basis.clone(),
            figures(&row.values(full, assumptions)),
            figures(&row.values(tenth, assumptions)),
            row.budget.map_or(String::new(), number),
            match (row.budget, ratio) {
                (Some(_), Some(ratio)) => format!("x {}", number(ratio)),
                _ => String::new(),
            },
            row.mechanism.describe(),
        ]);
    }
    table.finish()
}
