//! The command line: the commands and their arguments.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Bpaf, Parser};
use nettlemux_testbed::baselines::{PolicyKind, UnknownPolicy};

use crate::capacity_command;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// the testbed of nettlemux: scenarios, experiments, and the rule checker of the rules
pub enum Command {
    /// Runs a scenario in virtual time; exit code 0 only if all expectations and the rules hold
    #[bpaf(command)]
    Simulate(#[bpaf(external(simulate_arguments))] SimulateArguments),
    /// The same seeds under two policies, or two programs on sockets, with the paired difference
    /// and its 95 % interval
    #[bpaf(command)]
    Compare(#[bpaf(external(compare_arguments))] CompareArguments),
    /// One key of a scenario over several values
    #[bpaf(command)]
    Sweep(#[bpaf(external(sweep_arguments))] SweepArguments),
    /// Looks for the faults that are worst for the policy and cuts them down to a small scenario
    #[bpaf(command)]
    Hunt(#[bpaf(external(hunt_arguments))] HuntArguments),
    /// Judges a record by the rules
    #[bpaf(command)]
    Judge(#[bpaf(external(judge_arguments))] JudgeArguments),
    /// Runs a scenario on sockets with real balancers; exit code 3 if the machine was too slow for
    /// a result
    #[bpaf(command)]
    Run(#[bpaf(external(run_arguments))] RunArguments),
    /// Grows one count at a time and measures what a balancer takes and sends at each size
    #[bpaf(command)]
    Scale(#[bpaf(external(scale_arguments))] ScaleArguments),
    /// Runs balancers that break one rule each and fails unless each is caught and a sound one
    /// passes
    #[bpaf(command("self-check"))]
    SelfCheck(#[bpaf(external(self_check_arguments))] SelfCheckArguments),
    /// Checks the generated blocks of docs/CAPACITY.md against the stored run; exit code 1 if they
    /// differ
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_command::arguments))] capacity_command::Arguments),
    /// A small balancer on sockets that is sound or breaks one rule
    #[bpaf(command("faulty-balancer"), hide)]
    FaultyBalancer(#[bpaf(external(faulty_balancer_arguments))] FaultyBalancerArguments),
}

/// Arguments of [`Command::Simulate`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(simulate_arguments), ignore_rustdoc)]
pub struct SimulateArguments {
    /// Draws from this seed in place of the scenario's
    #[bpaf(argument("N"))]
    pub seed: Option<u64>,
    /// What decides: module, random, round-robin, least-connections or power-of-two
    #[bpaf(argument("NAME"), fallback(PolicyKind::Nettlemux))]
    pub policy: PolicyKind,
    /// Writes the record there
    #[bpaf(argument("FILE"))]
    pub record: Option<PathBuf>,
    /// Prints the figures as JSON
    pub json: bool,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Arguments of [`Command::Compare`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(compare_arguments), ignore_rustdoc)]
pub struct CompareArguments {
    /// A policy's name, or a program's path
    #[bpaf(
        long("a"),
        argument("NAME|PATH"),
        fallback(Side::Policy(PolicyKind::Nettlemux))
    )]
    pub a: Side,
    /// All baselines where it is not given
    #[bpaf(long("b"), argument("NAME|PATH"))]
    pub b: Option<Side>,
    #[bpaf(argument("N"), fallback(5))]
    pub seeds: u64,
    #[bpaf(external)]
    pub threads: usize,
    pub json: bool,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Arguments of [`Command::Sweep`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(sweep_arguments), ignore_rustdoc)]
pub struct SweepArguments {
    /// The key's path, for example clients.rate or faults.0.amount
    #[bpaf(argument("KEY"))]
    pub key: String,
    /// Values, set apart by commas
    #[bpaf(argument("V,V,…"))]
    pub values: String,
    #[bpaf(argument("NAME"), fallback(PolicyKind::Nettlemux))]
    pub policy: PolicyKind,
    #[bpaf(argument("N"), fallback(3))]
    pub seeds: u64,
    #[bpaf(external)]
    pub threads: usize,
    pub json: bool,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Arguments of [`Command::Hunt`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(hunt_arguments), ignore_rustdoc)]
pub struct HuntArguments {
    #[bpaf(argument("N"), fallback(30))]
    pub tries: usize,
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Writes the scenario there
    #[bpaf(argument("FILE"))]
    pub out: Option<PathBuf>,
    #[bpaf(external)]
    pub threads: usize,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Arguments of [`Command::Judge`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(judge_arguments), ignore_rustdoc)]
pub struct JudgeArguments {
    /// Milliseconds by which each time limit is longer: 50 for a record from sockets
    #[bpaf(argument("MS"), fallback(0))]
    pub slack: u64,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
    #[bpaf(positional("RECORD"))]
    pub record: PathBuf,
}

/// Arguments of [`Command::Run`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(run_arguments), ignore_rustdoc)]
pub struct RunArguments {
    #[bpaf(external)]
    pub program: PathBuf,
    #[bpaf(argument("N"))]
    pub seed: Option<u64>,
    /// Writes the record there
    #[bpaf(argument("FILE"))]
    pub record: Option<PathBuf>,
    /// Keeps the balancers' logs there
    #[bpaf(argument("FOLDER"))]
    pub logs: Option<PathBuf>,
    pub json: bool,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Arguments of [`Command::Scale`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(scale_arguments), ignore_rustdoc)]
pub struct ScaleArguments {
    #[bpaf(external)]
    pub program: PathBuf,
    /// Writes the lines there, the table and the plot beside them
    #[bpaf(argument("FILE"), fallback(PathBuf::from("scale.jsonl")))]
    pub out: PathBuf,
    /// Names the text that is measured, for the first line
    #[bpaf(argument("NAME"), fallback(env!("CARGO_PKG_VERSION").to_string()))]
    pub text: String,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Arguments of [`Command::SelfCheck`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(self_check_arguments), ignore_rustdoc)]
pub struct SelfCheckArguments {
    /// On sockets too, with the balancer itself among the sound ones
    pub sockets: bool,
    #[bpaf(external)]
    pub program: PathBuf,
}

/// Arguments of [`Command::FaultyBalancer`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(faulty_balancer_arguments), ignore_rustdoc)]
pub struct FaultyBalancerArguments {
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// The program that is run as the balancers; the `nettlemux` beside this one where none is named.
fn program() -> impl Parser<PathBuf> {
    let beside = std::env::current_exe()
        .unwrap_or_default()
        .with_file_name("nettlemux");
    let help = "The balancer's program; without it, the nettlemux beside this one";
    bpaf::long("program")
        .help(help)
        .argument::<PathBuf>("PATH")
        .fallback(beside)
}

fn threads() -> impl Parser<usize> {
    let all = std::thread::available_parallelism().map_or(1, usize::from);
    bpaf::long("threads")
        .help("Runs at a time")
        .argument::<usize>("N")
        .fallback(all)
}

/// One side of a comparison.
#[derive(Clone, Debug)]
pub enum Side {
    Policy(PolicyKind),
    Program(PathBuf),
}

impl FromStr for Side {
    type Err = UnknownPolicy;
    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        match name.contains(std::path::MAIN_SEPARATOR) {
            true => Ok(Side::Program(name.into())),
            false => name.parse().map(Side::Policy),
        }
    }
}
