//! One figure of a role: how it is worked out, what it may be and what carries it in the code.

use std::cell::RefCell;
use std::collections::BTreeSet;

use super::assumptions::Assumptions;
use super::deployment::{Deployment, UnknownQuantity};
use super::markdown::{Table, figures, number};
use super::mechanism::Mechanism;
use super::stored_run::{Fit, Part, StoredRun, Varied};

/// What the page is worked out from.
pub struct Inputs<'a> {
    pub assumptions: &'a Assumptions,
    /// None until there is a stored run.
    pub run: Option<&'a StoredRun>,
    /// Figures of the run that were asked for.
    used: RefCell<BTreeSet<(Part, Varied, &'static str)>>,
}

impl<'a> Inputs<'a> {
    /// Nothing has been asked for yet.
    pub fn new(assumptions: &'a Assumptions, run: Option<&'a StoredRun>) -> Self {
        Inputs {
            assumptions,
            run,
            used: RefCell::default(),
        }
    }

    /// The slope of a figure, or that no run has it.
    pub fn slope(&self, part: Part, varied: Varied, figure: &'static str) -> Slope<'a> {
        self.used.borrow_mut().insert((part, varied, figure));
        Slope {
            part,
            varied,
            figure,
            run: self.run,
        }
    }

    /// Slopes of all figures that were asked for so far.
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

/// A figure over a count, as the stored run has it.
#[derive(Clone, Copy)]
pub struct Slope<'a> {
    pub part: Part,
    pub varied: Varied,
    pub figure: &'static str,
    run: Option<&'a StoredRun>,
}

impl<'a> Slope<'a> {
    /// The figure at a count; none where it was not measured.
    pub fn at(&self, count: f64) -> Option<f64> {
        self.run?.at(self.part, self.varied, self.figure, count)
    }

    /// The slope alone.
    pub fn per_unit(&self) -> Option<f64> {
        self.fit().map(|fit| fit.slope)
    }

    /// The fitted line.
    pub fn fit(&self) -> Option<&'a Fit> {
        self.run?.fit(self.part, self.varied, self.figure)
    }

    /// The largest measured size.
    fn largest_measured_size(&self) -> Option<f64> {
        self.run?
            .range(self.part, self.varied)
            .map(|(_, most)| most)
    }

    /// How the page tells of it.
    pub fn describe(&self) -> String {
        let (figure, count, part) = (self.figure, self.varied.name(), self.part.name());
        let Some(fit) = self.fit() else {
            return format!("{figure} over {count} ({part}): *not measured*");
        };
        let range = self
            .largest_measured_size()
            .map_or(String::new(), |most| format!(", to {}", number(most)));
        let sign = if fit.intercept < 0.0 { "-" } else { "+" };
        let [slope, intercept, residual] =
            [fit.slope, fit.intercept.abs(), fit.residual].map(number);
        let source = format!("measured, {part}{range}, residual {residual}");
        format!("{figure} = {slope} x {count} {sign} {intercept} ({source})")
    }
}

/// Works a figure out for a fleet.
type Formula<'a> = Box<dyn Fn(&Deployment) -> Option<f64> + 'a>;

/// One figure of a role.
pub struct Row<'a> {
    pub quantity: &'static str,
    pub unit: &'static str,
    /// Slope x count, or the assumption.
    pub basis: String,
    pub varies: Option<UnknownQuantity>,
    pub value: Formula<'a>,
    pub budget: Option<f64>,
    pub mechanism: Mechanism,
}

impl<'a> Row<'a> {
    /// A figure without a budget that depends on no unknown.
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

    /// It is worked out for three values of this.
    pub fn over(mut self, unknown: UnknownQuantity) -> Self {
        self.varies = Some(unknown);
        self
    }

    /// It may be no more than this.
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

    /// How often it passes its budget at the middle values.
    pub fn budget_ratio(&self, fleet: &Deployment) -> Option<f64> {
        Some((self.value)(fleet)? / self.budget?)
    }
}

/// A role's table: each figure at the operators' size and at a tenth of it.
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
        let share = row.budget_ratio(full);
        table.row([
            row.quantity.to_string(),
            row.unit.to_string(),
            row.basis.clone(),
            figures(&row.values(full, assumptions)),
            figures(&row.values(tenth, assumptions)),
            row.budget.map_or(String::new(), number),
            match (row.budget, share) {
                (Some(_), Some(share)) => format!("x {}", number(share)),
                _ => String::new(),
            },
            row.mechanism.describe(),
        ]);
    }
    table.finish()
}
