//! The command line: the commands and their arguments.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Bpaf, Parser};
use nettlemux_testbed::baselines::{PolicyKind, UnknownPolicy};

use crate::capacity_command;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// the testbed of nettlemux: scenarios, experiments and the rule checker
pub enum Command {
    /// Runs a scenario in virtual time
    ///
    ///
    /// Exits with 0 only if all expectations are met and no rule is broken.
    #[bpaf(command)]
    Simulate(#[bpaf(external(simulate_arguments))] SimulateArguments),
    /// Compares two policies, or two programs on sockets, over the same seeds
    ///
    ///
    /// Prints the paired difference of each figure with its 95 % confidence interval.
    #[bpaf(command)]
    Compare(#[bpaf(external(compare_arguments))] CompareArguments),
    /// Runs a scenario with several values of one key
    #[bpaf(command)]
    Sweep(#[bpaf(external(sweep_arguments))] SweepArguments),
    /// Searches for the faults that hurt the policy most and minimizes the scenario
    #[bpaf(command)]
    Hunt(#[bpaf(external(hunt_arguments))] HuntArguments),
    /// Checks a recorded run against the rules
    #[bpaf(command)]
    Judge(#[bpaf(external(judge_arguments))] JudgeArguments),
    /// Runs a scenario on sockets with real balancers
    ///
    ///
    /// Exits with 3 if the machine was too slow for a valid result.
    #[bpaf(command)]
    Run(#[bpaf(external(run_arguments))] RunArguments),
    /// Increases one count at a time and measures a balancer's resources and traffic
    #[bpaf(command)]
    Scale(#[bpaf(external(scale_arguments))] ScaleArguments),
    /// Verifies the rule checker against balancers that break one rule each
    ///
    ///
    /// Fails unless every broken rule is detected and a correct balancer passes.
    #[bpaf(command("self-check"))]
    SelfCheck(#[bpaf(external(self_check_arguments))] SelfCheckArguments),
    /// Checks the generated blocks of docs/CAPACITY.md against the stored run
    ///
    ///
    /// Exits with 1 if they differ.
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_command::arguments))] capacity_command::Arguments),
    /// Runs a minimal balancer on sockets that is correct or breaks one rule
    #[bpaf(command("faulty-balancer"), hide)]
    FaultyBalancer(#[bpaf(external(faulty_balancer_arguments))] FaultyBalancerArguments),
}

/// Arguments of [`Command::Simulate`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(simulate_arguments), ignore_rustdoc)]
pub struct SimulateArguments {
    /// Random seed, instead of the scenario's
    #[bpaf(argument("N"))]
    pub seed: Option<u64>,
    /// Policy: module, random, round-robin, least-connections or power-of-two
    #[bpaf(argument("NAME"), fallback(PolicyKind::Nettlemux))]
    pub policy: PolicyKind,
    /// Writes the record of the run to this file
    #[bpaf(argument("FILE"))]
    pub record: Option<PathBuf>,
    /// Prints the result as JSON
    pub json: bool,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Arguments of [`Command::Compare`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(compare_arguments), ignore_rustdoc)]
pub struct CompareArguments {
    /// First side: a policy's name or a program's path
    #[bpaf(
        long("a"),
        argument("NAME|PATH"),
        fallback(Side::Policy(PolicyKind::Nettlemux))
    )]
    pub a: Side,
    /// Second side; all baseline policies if it is not given
    #[bpaf(long("b"), argument("NAME|PATH"))]
    pub b: Option<Side>,
    /// Number of seeds, from the scenario's on
    #[bpaf(argument("N"), fallback(5))]
    pub seeds: u64,
    #[bpaf(external)]
    pub threads: usize,
    /// Prints the result as JSON
    pub json: bool,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Arguments of [`Command::Sweep`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(sweep_arguments), ignore_rustdoc)]
pub struct SweepArguments {
    /// Path of the key, for example clients.rate or faults.0.amount
    #[bpaf(argument("KEY"))]
    pub key: String,
    /// Numbers, separated by commas
    #[bpaf(argument("V,V,…"))]
    pub values: String,
    /// Policy: module, random, round-robin, least-connections or power-of-two
    #[bpaf(argument("NAME"), fallback(PolicyKind::Nettlemux))]
    pub policy: PolicyKind,
    /// Number of seeds for each value, from the scenario's on
    #[bpaf(argument("N"), fallback(3))]
    pub seeds: u64,
    #[bpaf(external)]
    pub threads: usize,
    /// Prints the result as JSON
    pub json: bool,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Arguments of [`Command::Hunt`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(hunt_arguments), ignore_rustdoc)]
pub struct HuntArguments {
    /// Number of random sets of faults to try
    #[bpaf(argument("N"), fallback(30))]
    pub tries: usize,
    /// Random seed of the search
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Writes the scenario found to this file
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
    /// Milliseconds to add to each time limit: 50 for a record of a run on sockets
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
    /// Random seed, instead of the scenario's
    #[bpaf(argument("N"))]
    pub seed: Option<u64>,
    /// Writes the record of the run to this file
    #[bpaf(argument("FILE"))]
    pub record: Option<PathBuf>,
    /// Keeps the balancers' logs in this folder
    #[bpaf(argument("FOLDER"))]
    pub logs: Option<PathBuf>,
    /// Prints the result as JSON
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
    /// Writes the results to this file, and a table and a plot next to it
    #[bpaf(argument("FILE"), fallback(PathBuf::from("scale.jsonl")))]
    pub out: PathBuf,
    /// Name of the measured version, for the first line of the file
    #[bpaf(argument("NAME"), fallback(env!("CARGO_PKG_VERSION").to_string()))]
    pub text: String,
    #[bpaf(positional("SCENARIO"))]
    pub scenario: PathBuf,
}

/// Arguments of [`Command::SelfCheck`].
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(self_check_arguments), ignore_rustdoc)]
pub struct SelfCheckArguments {
    /// Checks on sockets too, with the real balancer as a correct one
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

/// The balancer program. The default is the `nettlemux` in the directory of this executable.
fn program() -> impl Parser<PathBuf> {
    let default = std::env::current_exe()
        .unwrap_or_default()
        .with_file_name("nettlemux");
    let help = "Balancer program; the default is nettlemux in this executable's directory";
    bpaf::long("program")
        .help(help)
        .argument::<PathBuf>("PATH")
        .fallback(default)
}

fn threads() -> impl Parser<usize> {
    let all = std::thread::available_parallelism().map_or(1, usize::from);
    bpaf::long("threads")
        .help("Number of concurrent runs")
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
