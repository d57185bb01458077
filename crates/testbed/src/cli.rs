//! The command line: the commands and their arguments.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Bpaf, Parser};
use nettlemux_testbed::baselines::PolicyKind;

use crate::capacity_command;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// the testbed of nettlemux: scenarios, experiments, and the rule checker of the rules
pub enum Command {
    /// Runs a scenario in virtual time; exit code 0 only if all expectations and the rules hold
    #[bpaf(command)]
    Simulate {
        /// Draws from this seed in place of the scenario's
        #[bpaf(argument("N"))]
        seed: Option<u64>,
        /// What decides: module, random, round-robin, least-connections or power-of-two
        #[bpaf(argument("NAME"), fallback(PolicyKind::Nettlemux))]
        policy: PolicyKind,
        /// Writes the record there
        #[bpaf(argument("FILE"))]
        record: Option<PathBuf>,
        /// Prints the figures as JSON
        json: bool,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// The same seeds under two policies, or two programs on sockets, with the paired difference
    /// and its 95 % interval
    #[bpaf(command)]
    Compare {
        /// A policy's name, or a program's path
        #[bpaf(
            long("a"),
            argument("NAME|PATH"),
            fallback(Side::Policy(PolicyKind::Nettlemux))
        )]
        a: Side,
        /// All baselines where it is not given
        #[bpaf(long("b"), argument("NAME|PATH"))]
        b: Option<Side>,
        #[bpaf(argument("N"), fallback(5))]
        seeds: u64,
        #[bpaf(external)]
        threads: usize,
        json: bool,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// One key of a scenario over several values
    #[bpaf(command)]
    Sweep {
        /// The key's path, for example clients.rate or faults.0.amount
        #[bpaf(argument("KEY"))]
        key: String,
        /// Values, set apart by commas
        #[bpaf(argument("V,V,…"))]
        values: String,
        #[bpaf(argument("NAME"), fallback(PolicyKind::Nettlemux))]
        policy: PolicyKind,
        #[bpaf(argument("N"), fallback(3))]
        seeds: u64,
        #[bpaf(external)]
        threads: usize,
        json: bool,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Looks for the faults that are worst for the policy and cuts them down to a small scenario
    #[bpaf(command)]
    Hunt {
        #[bpaf(argument("N"), fallback(30))]
        tries: usize,
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Writes the scenario there
        #[bpaf(argument("FILE"))]
        out: Option<PathBuf>,
        #[bpaf(external)]
        threads: usize,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Judges a record by the rules
    #[bpaf(command)]
    Judge {
        /// Milliseconds by which each time limit is longer: 50 for a record from sockets
        #[bpaf(argument("MS"), fallback(0))]
        slack: u64,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
        #[bpaf(positional("RECORD"))]
        record: PathBuf,
    },
    /// Runs a scenario on sockets with real balancers; exit code 3 if the machine was too slow for
    /// a result
    #[bpaf(command)]
    Run {
        #[bpaf(external)]
        program: PathBuf,
        #[bpaf(argument("N"))]
        seed: Option<u64>,
        /// Writes the record there
        #[bpaf(argument("FILE"))]
        record: Option<PathBuf>,
        /// Keeps the balancers' logs there
        #[bpaf(argument("FOLDER"))]
        logs: Option<PathBuf>,
        json: bool,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Grows one count at a time and measures what a balancer takes and sends at each size
    #[bpaf(command)]
    Scale {
        #[bpaf(external)]
        program: PathBuf,
        /// Writes the lines there, the table and the plot beside them
        #[bpaf(argument("FILE"), fallback(PathBuf::from("scale.jsonl")))]
        out: PathBuf,
        /// Names the text that is measured, for the first line
        #[bpaf(argument("NAME"), fallback(env!("CARGO_PKG_VERSION").to_string()))]
        text: String,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Runs balancers that break one rule each and fails unless each is caught and a sound one
    /// passes
    #[bpaf(command("self-check"))]
    SelfCheck {
        /// On sockets too, with the balancer itself among the sound ones
        sockets: bool,
        #[bpaf(external)]
        program: PathBuf,
    },
    /// Checks the generated blocks of docs/CAPACITY.md against the stored run; exit code 1 if they
    /// differ
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_command::arguments))] capacity_command::Arguments),
    /// A small balancer on sockets that is sound or breaks one rule
    #[bpaf(command("faulty-balancer"), hide)]
    FaultyBalancer {
        #[bpaf(positional("NAME"))]
        name: String,
    },
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
    type Err = String;
    fn from_str(name: &str) -> Result<Self, String> {
        match name.contains(std::path::MAIN_SEPARATOR) {
            true => Ok(Side::Program(name.into())),
            false => name.parse().map(Side::Policy),
        }
    }
}
