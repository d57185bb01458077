//! Scale runs. A run increases one count at a time, measures at each size the resources that a
//! balancer uses and the traffic that it sends, and fits a straight line through the sizes.
//! [`decisions`] measures the policy and the flow table alone. Two modules measure a fleet of real
//! and simulated balancers on sockets: `steady` in steady operation, `storms` after balancers are
//! killed or servers replaced. Runs use loopback only and are bounded in count and time. A size that
//! would exceed a limit is reported and not started.

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

pub use error::{BalancersExited, ExitedBalancer, MeasurementError, ScaleRunError};

use fit::{LinearFit, least_squares};
use fleet::FleetPlan;
use limits::{Limits, Need};
use measurement::{Figures, Fixed, Line, LineWriter, Machine, Part, Varied};
use scenario::{Counts, DecisionsPart, ScaleScenario, SocketPart, StormPart};
use storms::Storm;

/// Threads that run all simulated parts of a fleet. Few, since the real balancers need the cores.
const FLEET_THREADS: usize = 3;
/// How long the tasks of a fleet may take to end once its size has been measured.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of the settling time over which clients arrive.
const RAMP_SHARE: f64 = 0.4;
/// Servers started in addition to those that the planned changes need, since changes may run late.
const SPARE_SERVERS: u64 = 8;
/// In a storm, clients hold their connection until it is lost.
const UNLIMITED_CONNECTION_LIFE: Option<f64> = None;

/// One size of one count, in one part of the run.
#[derive(Clone, Copy)]
struct MeasurementPoint {
    part: Part,
    varied: Varied,
    size: f64,
}

impl MeasurementPoint {
    fn check_limits(&self, limits: &Limits, need: Need) -> Result<(), ScaleRunError> {
        let MeasurementPoint {
            part, varied, size, ..
        } = *self;
        limits
            .check(&need)
            .map_err(|exceeded| ScaleRunError::Limit {
                part,
                varied,
                size,
                exceeded,
            })
    }

    fn measurement_failed(&self, source: MeasurementError) -> ScaleRunError {
        ScaleRunError::Measurement {
            part: self.part,
            varied: self.varied,
            size: self.size,
            source,
        }
    }
}

/// A scale run: its scenario, its resource limits, and the writer of its lines.
pub struct Run<'a, W: Write> {
    /// What is measured.
    pub scenario: &'a ScaleScenario,
    /// The program that the real balancers run.
    pub program: PathBuf,
    /// The resources that the run may use.
    pub limits: Limits,
    /// Writer of the run's lines.
    pub out: &'a mut LineWriter<W>,
}

/// Describes the machine that this process runs on.
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
    /// Measures all sizes of all parts. `text` names the source revision that is measured.
    ///
    /// # Errors
    /// A size would exceed a limit or could not be measured, or a line could not be written. The
    /// measurements before the error are written.
    pub fn measure_all(&mut self, text: &str) -> Result<(), ScaleRunError> {
        let (run, machine) = (self.scenario.name.clone(), machine(&self.limits));
        self.write(Line::Start {
            run,
            machine,
            text: text.into(),
        })?;
        let scenario = self.scenario;
        if let Some(part) = &scenario.module {
            self.measure_decisions(part)?;
        }
        if let Some(part) = &scenario.sockets {
            self.measure_sockets(part)?;
        }
        if let Some(part) = &scenario.storm {
            self.measure_storms(part)?;
        }
        Ok(())
    }

    fn measure_decisions(&mut self, part: &DecisionsPart) -> Result<(), ScaleRunError> {
        for (varied, sizes) in part.sizes.all() {
            let mut measured = Vec::new();
            for size in sizes {
                let counts = part.fixed.with(varied, *size);
                let point = MeasurementPoint {
                    part: Part::Decisions,
                    varied,
                    size: *size,
                };
                point.check_limits(&self.limits, limits::decisions_need(&counts, part))?;
                let figures = decisions::measure(&counts, part, self.scenario.seed);
                let figures = figures.map_err(|e| point.measurement_failed(e))?;
                let fixed = Fixed {
                    probe_price: Some(part.probe_price),
                    ..Fixed::new(counts)
                };
                self.write_measurement(point, fixed, &figures)?;
                measured.push((*size, figures));
            }
            self.write_fits(Part::Decisions, varied, &measured)?;
        }
        Ok(())
    }

    fn measure_sockets(&mut self, part: &SocketPart) -> Result<(), ScaleRunError> {
        for (varied, sizes) in part.sizes.all() {
            let mut measured = Vec::new();
            for size in sizes {
                let counts = part.fixed.with(varied, *size);
                let point = MeasurementPoint {
                    part: Part::Sockets,
                    varied,
                    size: *size,
                };
                point.check_limits(
                    &self.limits,
                    limits::sockets_need(&counts, part, self.limits.descriptors),
                )?;
                let plan = self.socket_plan(&counts, part);
                let figures = run_on_own_runtime(steady::measure(&plan, part))
                    .map_err(|e| point.measurement_failed(e))?;
                let fixed = Fixed {
                    real_balancers: Some(plan.real),
                    simulated_balancers: Some(plan.simulated),
                    probe_price: Some(part.probe_price),
                    ..Fixed::new(counts)
                };
                self.write_measurement(point, fixed, &figures)?;
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
                .min(part.simulated_balancers_max),
            connections_per_simulated_balancer: part.connections_per_simulated_balancer,
            probes_per_second_of_simulated_balancer: part.probes_per_second_of_simulated_balancer,
            probe_price: part.probe_price,
            connection_seconds: Some(part.connection_seconds),
            spare_servers: changes + SPARE_SERVERS,
            descriptors: self.limits.descriptors,
            seed: self.scenario.seed,
            program: self.program.clone(),
            ramp: Duration::from_secs_f64(part.settle_seconds * RAMP_SHARE),
        }
    }

    fn measure_storms(&mut self, part: &StormPart) -> Result<(), ScaleRunError> {
        let plan = self.storm_plan(part);
        for storm in [Storm::BalancersKilled, Storm::ServersReplaced] {
            let (varied, size) = match storm {
                Storm::BalancersKilled => (Varied::Balancers, part.fixed.balancers),
                Storm::ServersReplaced => (Varied::Servers, part.fixed.servers),
            };
            let point = MeasurementPoint {
                part: Part::Storm,
                varied,
                size: size as f64,
            };
            point.check_limits(
                &self.limits,
                limits::storm_need(part, self.limits.descriptors),
            )?;
            let figures = run_on_own_runtime(storms::measure(&plan, part, storm))
                .map_err(|e| point.measurement_failed(e))?;
            self.write_measurement(point, storm_counts(&plan, part, storm), &figures)?;
        }
        Ok(())
    }

    fn storm_plan(&self, part: &StormPart) -> FleetPlan {
        FleetPlan {
            counts: part.fixed,
            real: part.real_balancers,
            simulated: part.fixed.balancers - part.real_balancers,
            connections_per_simulated_balancer: part.connections_per_simulated_balancer,
            probes_per_second_of_simulated_balancer: part.probes_per_second_of_simulated_balancer,
            probe_price: 0.0,
            connection_seconds: UNLIMITED_CONNECTION_LIFE,
            spare_servers: part.replaced,
            descriptors: self.limits.descriptors,
            seed: self.scenario.seed,
            program: self.program.clone(),
            ramp: Duration::from_secs_f64(part.settle_seconds * RAMP_SHARE),
        }
    }

    fn write_measurement(
        &mut self,
        point: MeasurementPoint,
        fixed: Fixed,
        figures: &Figures,
    ) -> Result<(), ScaleRunError> {
        let MeasurementPoint {
            part, varied, size, ..
        } = point;
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
        for (name, points) in points_by_figure(measured) {
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

/// The counts of a storm, as written in its line.
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

/// Returns each figure with its points, in the order in which the figures are written.
fn points_by_figure(measured: &[(f64, Figures)]) -> Vec<(String, Vec<(f64, f64)>)> {
    let points: Vec<(f64, Vec<(String, f64)>)> = measured
        .iter()
        .map(|(size, figures)| (*size, figures.measured()))
        .collect();
    let points_of = |name: String| {
        let value = |(size, figures): &(f64, Vec<(String, f64)>)| {
            figures
                .iter()
                .find(|(figure, _)| *figure == name)
                .map(|(_, value)| (*size, *value))
        };
        let points = points.iter().filter_map(value).collect();
        (name, points)
    };
    table::figure_names(&points)
        .into_iter()
        .map(points_of)
        .collect()
}

/// Runs a fleet on a runtime of its own, whose threads end with the fleet.
fn run_on_own_runtime(
    work: impl Future<Output = Result<Figures, MeasurementError>>,
) -> Result<Figures, MeasurementError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(FLEET_THREADS)
        .enable_all()
        .build();
    let runtime = runtime.map_err(MeasurementError::Threads)?;
    let figures = runtime.block_on(work);
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    figures
}

/// Paths of a run's table and plot: those of its lines with another extension.
pub fn table_and_plot_paths(lines: &Path) -> (PathBuf, PathBuf) {
    (lines.with_extension("md"), lines.with_extension("svg"))
}
