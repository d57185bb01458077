//! The real balancer program among the testbed's simulated clients, servers and discovery. Whether
//! it keeps the rules is judged only by the traffic that they see.

use std::path::{Path, PathBuf};

use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_testbed::file;
use nettlemux_testbed::sockets::{Outcome, Program, SocketRunError, run};

/// Returns the self-check scenario with these faults instead of its own.
fn scenario_with_faults(faults: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../testbed/scenarios/self-check-sockets.toml");
    let text = std::fs::read_to_string(&path).unwrap();
    let head = text.split("[[faults]]").next().unwrap();
    let table: toml::Table = (head.to_string() + faults).parse().unwrap();
    file::read(&table, &path).unwrap()
}

fn run_program(
    scenario: &Scenario,
    program: PathBuf,
    args: &[&str],
) -> Result<Outcome, SocketRunError> {
    let program = Program {
        path: program,
        args: args.iter().map(|arg| arg.to_string()).collect(),
    };
    run(scenario, scenario.seed, &program, None, None)
}

/// Runs the scenario with the balancer and asserts that it keeps the rules. A run that is void
/// because the machine was too busy is repeated, up to three runs.
fn run_and_assert_rules_kept(faults: &str) -> Outcome {
    let scenario = scenario_with_faults(faults);
    for _ in 0..3 {
        let outcome = run_program(
            &scenario,
            env!("CARGO_BIN_EXE_nettlemux").into(),
            &["serve"],
        )
        .unwrap();
        assert_eq!(outcome.unexpected_exits, Vec::<String>::new());
        if outcome.void.is_none() {
            assert!(outcome.verdict.has_no_violations(), "{:?}", outcome.verdict);
            assert_eq!(outcome.figures.get("unanswered"), 0.0);
            assert!(outcome.verdict.flows > 100, "{:?}", outcome.verdict);
            return outcome;
        }
    }
    panic!("all three runs were void: the machine was too busy");
}

/// Covers first lines that are sent in two pieces with the balancer dying between them, and servers
/// that crash and thereby end connections as clients do.
#[test]
fn rules_are_kept_when_balancers_die_while_first_lines_are_half_sent() {
    let outcome = run_and_assert_rules_kept(
        "[[faults]]\nwhat = \"balancers-die\"\nat = 2\nfor = 1\nwho = [0]\n\
         [[faults]]\nwhat = \"crash\"\nat = 4\nfor = 1\nshare = 0.5\n",
    );
    assert!(
        outcome.figures.get("lost_per_established") > 0.0,
        "{:?}",
        outcome.figures
    );
}

/// Guards against flows that are sent to draining servers, and against clients that are cut off by
/// balancers that are told to terminate.
#[test]
fn rules_are_kept_while_servers_drain_and_balancers_restart_in_turn() {
    let outcome = run_and_assert_rules_kept(
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
fn a_balancer_that_exits_before_the_run_is_reported_with_its_log() {
    let mut scenario = scenario_with_faults("");
    scenario.seconds = 3.0;
    // The program rejects this subcommand and exits. This is reported before the run begins, with
    // the last lines of its log.
    let program: PathBuf = env!("CARGO_BIN_EXE_nettlemux").into();
    let error = run_program(&scenario, program, &["frobnicate"])
        .map(|_| ())
        .unwrap_err();
    assert!(
        error.to_string().contains("balancer 0 isn't ready")
            && error.to_string().contains("frobnicate"),
        "{error}"
    );
    let error = run_program(&scenario, "/nowhere/nettlemux".into(), &[])
        .map(|_| ())
        .unwrap_err();
    assert!(error.to_string().contains("no such program"), "{error}");
}

/// Guards against a balancer's death during a run that goes unnoticed, or that is mistaken for a
/// planned end.
#[test]
fn a_balancer_that_dies_during_the_run_is_reported_with_the_end_of_its_log() {
    let mut scenario = scenario_with_faults("");
    scenario.seconds = 4.0;
    // `timeout` kills the balancer even if the shell is killed first.
    let balancer = format!(
        "timeout -s KILL 2 {} serve",
        env!("CARGO_BIN_EXE_nettlemux")
    );
    let script = format!("{balancer}; echo last words >&2; exit 3");
    let outcome = run_program(&scenario, "/bin/sh".into(), &["-c", &script]).unwrap();
    assert!(
        !outcome.unexpected_exits.is_empty(),
        "{:?}",
        outcome.verdict
    );
    assert!(
        outcome
            .unexpected_exits
            .iter()
            .all(|reported| reported.contains("died") && reported.contains("last words")),
        "{:?}",
        outcome.unexpected_exits
    );
    assert!(
        outcome.verdict.has_no_violations(),
        "clients of a dead balancer must not count as unanswered: {:?}",
        outcome.verdict
    );
}
