//! Scale runs: one count grows at a time, what a balancer takes and sends is measured at each size,
//! and a straight line is fitted. [`decisions`] measures the policy and the flow table alone; two
//! modules measure a fleet of real balancers beside simulated ones on sockets: `steady` while it
//! runs, `storms` when balancers are killed or servers replaced. Loopback only, bounded in count and
//! time; a size that would pass a limit is named and not begun.

pub mod allocation;
mod clients;
pub mod decisions;
mod discovery;
mod error;
mod examined_servers;
pub mod fit;
mod fleet;
pub mod limits;
pub mod measurement;
pub mod plot;
mod processes;
pub mod scenario;
mod servers;
mod settings;
mod simulated_balancer;
mod steady;
mod storms;
pub mod table;

use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

pub use error::{BalancersDied, DeadBalancer, MeasurementError, ScaleRunError};

use fit::{LinearFit, least_squares};
use fleet::FleetPlan;
use limits::{Limits, Need};
use measurement::{Figures, Fixed, Line, LineWriter, Machine, Part, Varied};
use scenario::{Counts, DecisionsPart, ScaleScenario, SocketPart, StormPart};
use storms::Storm;

/// Threads of all that is simulated: the real balancers need the cores.
const THREADS: usize = 3;
/// When a size is done its connections are given so long to end.
const SHUTDOWN: Duration = Duration::from_millis(500);
/// Clients come over this part of the time in which a fleet settles.
const RAMP_PART: f64 = 0.4;
/// More servers than changes are due, for those that come late.
const SPARE_SERVERS: u64 = 8;
/// In a storm clients live until their connection is lost.
const UNLIMITED_LIFE: Option<f64> = None;

/// One size of one count.
#[derive(Clone, Copy)]
struct At {
    part: Part,
    varied: Varied,
    size: f64,
}

impl At {
    fn limit(&self, limits: &Limits, need: Need) -> Result<(), ScaleRunError> {
        let At {
            part, varied, size, ..
        } = *self;
        limits
            .allow(&need)
            .map_err(|exceeded| ScaleRunError::Limit {
                part,
                varied,
                size,
                exceeded,
            })
    }

    fn failed(&self, source: MeasurementError) -> ScaleRunError {
        ScaleRunError::Measurement {
            part: self.part,
            varied: self.varied,
            size: self.size,
            source,
        }
    }
}

/// A scale run: its scenario, what it may take, and where its lines go.
pub struct Run<'a, W: Write> {
    /// What is measured.
    pub scenario: &'a ScaleScenario,
    /// The program that is run as the real balancers.
    pub program: PathBuf,
    /// What the run may take.
    pub limits: Limits,
    /// Where its lines go.
    pub out: &'a mut LineWriter<W>,
}

/// The machine that this runs on.
pub fn machine(limits: &Limits) -> Machine {
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get() as u64);
    let memory_mb = limits::total_memory_mb().unwrap_or(0);
    Machine {
        cores,
        memory_mb,
        descriptors: limits.descriptors,
        load_average: limits::load_average(),
    }
}

impl<W: Write> Run<'_, W> {
    /// Measures all sizes of all parts; `text` names the text that is measured.
    ///
    /// # Errors
    /// A size would pass a limit or failed, or a line couldn't be written. What was measured before
    /// it is written.
    pub fn all(&mut self, text: &str) -> Result<(), ScaleRunError> {
        let (run, machine) = (self.scenario.name.clone(), machine(&self.limits));
        self.write(Line::Start {
            run,
            machine,
            text: text.into(),
        })?;
        let scenario = self.scenario;
        if let Some(part) = &scenario.module {
            self.decisions(part)?;
        }
        if let Some(part) = &scenario.sockets {
            self.sockets(part)?;
        }
        if let Some(part) = &scenario.storm {
            self.storms(part)?;
        }
        Ok(())
    }

    fn decisions(&mut self, part: &DecisionsPart) -> Result<(), ScaleRunError> {
        for (varied, sizes) in part.sizes.all() {
            let mut measured = Vec::new();
            for size in sizes {
                let counts = part.fixed.with(varied, *size);
                let at = At {
                    part: Part::Decisions,
                    varied,
                    size: *size,
                };
                at.limit(&self.limits, limits::of_decisions(&counts, part))?;
                let figures = decisions::measure(&counts, part, self.scenario.seed);
                let figures = figures.map_err(|e| at.failed(e))?;
                let fixed = Fixed {
                    probe_price: Some(part.probe_price),
                    ..Fixed::new(counts)
                };
                self.write_measurement(at, fixed, &figures)?;
                measured.push((*size, figures));
            }
            self.write_fits(Part::Decisions, varied, &measured)?;
        }
        Ok(())
    }

    fn sockets(&mut self, part: &SocketPart) -> Result<(), ScaleRunError> {
        for (varied, sizes) in part.sizes.all() {
            let mut measured = Vec::new();
            for size in sizes {
                let counts = part.fixed.with(varied, *size);
                let at = At {
                    part: Part::Sockets,
                    varied,
                    size: *size,
                };
                at.limit(
                    &self.limits,
                    limits::of_sockets(&counts, part, self.limits.descriptors),
                )?;
                let plan = self.socket_plan(&counts, part);
                let figures = on_threads(steady::measure(&plan, part)).map_err(|e| at.failed(e))?;
                let fixed = Fixed {
                    real_balancers: Some(plan.real),
                    simulated_balancers: Some(plan.simulated),
                    probe_price: Some(part.probe_price),
                    ..Fixed::new(counts)
                };
                self.write_measurement(at, fixed, &figures)?;
                measured.push((*size, figures));
            }
            self.write_fits(Part::Sockets, varied, &measured)?;
        }
        Ok(())
    }

    fn socket_plan(&self, counts: &Counts, part: &SocketPart) -> FleetPlan {
        let changes = (counts.changes_per_second * part.measure_seconds).ceil() as u64;
        FleetPlan {
            counts: *counts,
            real: part.real_balancers,
            simulated: counts
                .balancers
                .saturating_sub(part.real_balancers)
                .min(part.hollow_limit),
            hollow_connections: part.hollow_connections,
            hollow_probes_per_second: part.hollow_probes_per_second,
            probe_price: part.probe_price,
            connection_seconds: Some(part.connection_seconds),
            spare_servers: changes + SPARE_SERVERS,
            descriptors: self.limits.descriptors,
            seed: self.scenario.seed,
            program: self.program.clone(),
            ramp: Duration::from_secs_f64(part.settle_seconds * RAMP_PART),
        }
    }

    fn storms(&mut self, part: &StormPart) -> Result<(), ScaleRunError> {
        let plan = self.storm_plan(part);
        for storm in [Storm::BalancersKilled, Storm::ServersReplaced] {
            let (varied, size) = match storm {
                Storm::BalancersKilled => (Varied::Balancers, part.fixed.balancers),
                Storm::ServersReplaced => (Varied::Servers, part.fixed.servers),
            };
            let at = At {
                part: Part::Storm,
                varied,
                size: size as f64,
            };
            at.limit(
                &self.limits,
                limits::of_storm(part, self.limits.descriptors),
            )?;
            let figures =
                on_threads(storms::measure(&plan, part, storm)).map_err(|e| at.failed(e))?;
            self.write_measurement(at, storm_counts(&plan, part, storm), &figures)?;
        }
        Ok(())
    }

    fn storm_plan(&self, part: &StormPart) -> FleetPlan {
        FleetPlan {
            counts: part.fixed,
            real: part.real_balancers,
            simulated: part.fixed.balancers - part.real_balancers,
            hollow_connections: part.hollow_connections,
            hollow_probes_per_second: part.hollow_probes_per_second,
            probe_price: 0.0,
            connection_seconds: UNLIMITED_LIFE,
            spare_servers: part.replaced,
            descriptors: self.limits.descriptors,
            seed: self.scenario.seed,
            program: self.program.clone(),
            ramp: Duration::from_secs_f64(part.settle_seconds * RAMP_PART),
        }
    }

    fn write_measurement(
        &mut self,
        at: At,
        fixed: Fixed,
        figures: &Figures,
    ) -> Result<(), ScaleRunError> {
        let At {
            part, varied, size, ..
        } = at;
        let (run, figures) = (self.scenario.name.clone(), Box::new(figures.clone()));
        self.write(Line::Measurement {
            run,
            part,
            varied,
            size,
            fixed,
            figures,
        })
    }

    fn write_fits(
        &mut self,
        part: Part,
        varied: Varied,
        measured: &[(f64, Figures)],
    ) -> Result<(), ScaleRunError> {
        for (name, points) in by_figure(measured) {
            if let Some(LinearFit {
                intercept,
                slope,
                residual,
            }) = least_squares(&points)
            {
                let run = self.scenario.name.clone();
                self.write(Line::Fit {
                    run,
                    part,
                    fit: name,
                    varied,
                    intercept,
                    slope,
                    residual,
                })?;
            }
        }
        Ok(())
    }

    fn write(&mut self, line: Line) -> Result<(), ScaleRunError> {
        self.out.write(line).map_err(ScaleRunError::Write)
    }
}

/// The counts of a storm, as its line has them.
fn storm_counts(plan: &FleetPlan, part: &StormPart, storm: Storm) -> Fixed {
    let (killed, replaced) = match storm {
        Storm::BalancersKilled => (Some(part.killed), None),
        Storm::ServersReplaced => (None, Some(part.replaced)),
    };
    Fixed {
        real_balancers: Some(plan.real),
        simulated_balancers: Some(plan.simulated),
        probe_price: Some(plan.probe_price),
        killed,
        replaced,
        ..Fixed::new(plan.counts)
    }
}

/// Each figure with its points, in the order in which figures are written.
fn by_figure(measured: &[(f64, Figures)]) -> Vec<(String, Vec<(f64, f64)>)> {
    let points: Vec<(f64, Vec<(String, f64)>)> = measured
        .iter()
        .map(|(size, figures)| (*size, figures.measured()))
        .collect();
    let of = |name: String| {
        let value = |(size, figures): &(f64, Vec<(String, f64)>)| {
            figures
                .iter()
                .find(|(figure, _)| *figure == name)
                .map(|(_, value)| (*size, *value))
        };
        let points = points.iter().filter_map(value).collect();
        (name, points)
    };
    table::names(&points).into_iter().map(of).collect()
}

/// Runs a fleet on threads of its own, which end with it.
fn on_threads(
    work: impl Future<Output = Result<Figures, MeasurementError>>,
) -> Result<Figures, MeasurementError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build();
    let runtime = runtime.map_err(MeasurementError::Threads)?;
    let figures = runtime.block_on(work);
    runtime.shutdown_timeout(SHUTDOWN);
    figures
}

/// Where the table and the plot of a run stand, beside its lines.
pub fn beside(lines: &Path) -> (PathBuf, PathBuf) {
    (lines.with_extension("md"), lines.with_extension("svg"))
}
