//! The balancer as it is run, between the testbed's stand-ins: the rules are checked by what
//! crosses them alone.

use std::path::{Path, PathBuf};

use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_testbed::file;
use nettlemux_testbed::sockets::{Outcome, Program, SocketRunError, run};

fn scenario(change: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../testbed/scenarios/self-check-sockets.toml");
    let text = std::fs::read_to_string(&path).unwrap();
    let head = text.split("[[faults]]").next().unwrap();
    let table: toml::Table = (head.to_string() + change).parse().unwrap();
    file::read(&table, &path).unwrap()
}

fn play(scenario: &Scenario, program: PathBuf, args: &[&str]) -> Result<Outcome, SocketRunError> {
    let program = Program {
        path: program,
        args: args.iter().map(|arg| arg.to_string()).collect(),
    };
    run(scenario, scenario.seed, &program, None, None)
}

/// Runs a scenario with the balancer. A run that is void, as the machine was too busy, is repeated.
fn sound(faults: &str) -> Outcome {
    let scenario = scenario(faults);
    for _ in 0..3 {
        let outcome = play(
            &scenario,
            env!("CARGO_BIN_EXE_nettlemux").into(),
            &["serve"],
        )
        .unwrap();
        assert_eq!(outcome.died, Vec::<String>::new());
        if outcome.void.is_none() {
            assert!(outcome.verdict.kept(), "{:?}", outcome.verdict);
            assert_eq!(outcome.figures.get("unanswered"), 0.0);
            assert!(outcome.verdict.flows > 100, "{:?}", outcome.verdict);
            return outcome;
        }
    }
    panic!("void three times");
}

/// Guards against first lines that come in two pieces and a balancer that dies between them, and
/// against servers that end connections as clients do.
#[test]
fn balancers_die_while_first_lines_are_half_sent() {
    let outcome = sound(
        "[[faults]]\nwhat = \"balancers-die\"\nat = 2\nfor = 1\nwho = [0]\n\
         [[faults]]\nwhat = \"crash\"\nat = 4\nfor = 1\nshare = 0.5\n",
    );
    assert!(
        outcome.figures.get("lost_per_established") > 0.0,
        "{:?}",
        outcome.figures
    );
}

/// Guards against work sent to servers that drain, and clients cut off by balancers that are asked
/// to end.
#[test]
fn servers_drain_and_balancers_are_restarted_in_turn() {
    let outcome = sound(
        "[[faults]]\nwhat = \"shrink\"\nat = 1\nfor = 2\nshare = 0.3\namount = 2\nleaving = \"bit-by-bit\"\n\
         [[faults]]\nwhat = \"restart-in-turn\"\nat = 2\nfor = 5\nwho = [1]\namount = 0.5\n",
    );
    assert!(
        outcome.figures.get("moves_per_established") > 0.0,
        "{:?}",
        outcome.figures
    );
}

#[test]
fn a_balancer_that_dies_is_reported_with_its_log() {
    let mut scenario = scenario("");
    scenario.seconds = 3.0;
    // A program that reads its configuration and ends: reported with the log's last lines, before
    // the run begins.
    let program: PathBuf = env!("CARGO_BIN_EXE_nettlemux").into();
    let reported = play(&scenario, program, &["frobnicate"])
        .map(|_| ())
        .unwrap_err();
    assert!(
        reported.to_string().contains("balancer 0 isn't ready")
            && reported.to_string().contains("frobnicate"),
        "{reported}"
    );
    let nowhere = play(&scenario, "/nowhere/nettlemux".into(), &[])
        .map(|_| ())
        .unwrap_err();
    assert!(nowhere.to_string().contains("no such program"), "{nowhere}");
}

/// Guards against a death in the middle of a run that goes unseen, or is taken for a planned end.
#[test]
fn a_balancer_that_dies_in_the_middle_is_reported_with_the_end_of_its_log() {
    let mut scenario = scenario("");
    scenario.seconds = 4.0;
    // `timeout` ends the balancer also where the shell is ended before it.
    let balancer = format!(
        "timeout -s KILL 2 {} serve",
        env!("CARGO_BIN_EXE_nettlemux")
    );
    let script = format!("{balancer}; echo last words >&2; exit 3");
    let outcome = play(&scenario, "/bin/sh".into(), &["-c", &script]).unwrap();
    assert!(!outcome.died.is_empty(), "{:?}", outcome.verdict);
    assert!(
        outcome
            .died
            .iter()
            .all(|reported| reported.contains("died") && reported.contains("last words")),
        "{:?}",
        outcome.died
    );
    assert!(
        outcome.verdict.kept(),
        "its clients are not its to answer any more: {:?}",
        outcome.verdict
    );
}
