//! A small scale run with the real balancer program. It checks counts of health checks, bytes, list
//! calls and attempts, never times.

use std::path::{Path, PathBuf};

use nettlemux_testbed::scale::Run;
use nettlemux_testbed::scale::limits::Limits;
use nettlemux_testbed::scale::measurement::{Figures, Line, LineWriter, Part, Varied};
use nettlemux_testbed::scale::scenario::ScaleScenario;

fn small_scenario() -> ScaleScenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../testbed/scale/small.toml");
    ScaleScenario::load(&path).unwrap()
}

/// Runs the scenario and returns the lines that it wrote.
fn run(scenario: &ScaleScenario, program: &str) -> Result<Vec<Line>, String> {
    let mut lines = LineWriter::new(Vec::new());
    let limits = Limits::from_scenario(&scenario.limits);
    let mut run = Run {
        scenario,
        program: PathBuf::from(program),
        limits,
        out: &mut lines,
    };
    run.measure_all("test")
        .map_err(|failure| failure.to_string())?;
    Ok(lines.lines)
}

/// Returns the measurements of a part of the run, each with its size of the varied quantity.
fn measurements(lines: &[Line], part_and_varied: (Part, Varied)) -> Vec<(f64, Figures)> {
    let measurement = |line: &Line| match line {
        Line::Measurement {
            part,
            varied,
            size,
            figures,
            ..
        } if (*part, *varied) == part_and_varied => Some((*size, (**figures).clone())),
        _ => None,
    };
    lines.iter().filter_map(measurement).collect()
}

/// Returns the fitted change of a figure with the varied quantity.
fn slope(lines: &[Line], part_and_varied: (Part, Varied), figure: &str) -> f64 {
    let fitted_slope = |line: &Line| match line {
        Line::Fit {
            part,
            varied,
            fit,
            slope,
            ..
        } if (*part, *varied) == part_and_varied && fit == figure => Some(*slope),
        _ => None,
    };
    lines.iter().find_map(fitted_slope).unwrap()
}

/// Bytes of one health check in both directions: `STATS` and its answer with two figures.
const HEALTH_CHECK_BYTES: std::ops::Range<f64> = 28.0..45.0;
/// The most bytes of a list call without changes, in both directions.
const CALL_BYTES_MAX: f64 = 250.0;
/// The most bytes that each changed entry adds to a list call.
const ENTRY_BYTES_MAX: f64 = 200.0;

/// Guards against control traffic that grows faster than it should with the number of servers or
/// with the rate of list changes.
#[test]
fn health_checks_bytes_and_list_calls_grow_only_with_servers_and_changes() {
    let scenario = ScaleScenario {
        module: None,
        storm: None,
        ..small_scenario()
    };
    let lines = run(&scenario, env!("CARGO_BIN_EXE_nettlemux")).unwrap();
    let by_servers = measurements(&lines, (Part::Sockets, Varied::Servers));
    assert_eq!(by_servers.len(), 4);
    for (servers, figures) in &by_servers {
        // Each server is checked once in 2 s.
        let health_checks = figures.probes_per_second.unwrap();
        assert!(
            (0.35 * servers..=0.65 * servers).contains(&health_checks),
            "{servers} servers: expected about half a health check per second each: {figures:?}"
        );
        let bytes_per_check = figures.probe_bytes_per_second.unwrap() / health_checks;
        assert!(
            HEALTH_CHECK_BYTES.contains(&bytes_per_check),
            "expected {HEALTH_CHECK_BYTES:?} bytes per health check, found {bytes_per_check}"
        );
        // The agent holds each call for one second.
        let calls = figures.list_calls_per_second.unwrap();
        assert!(
            (0.4..=1.6).contains(&calls),
            "expected about one list call per second, found {calls}"
        );
        let list_bytes = figures.list_bytes_per_second.unwrap();
        assert!(
            list_bytes <= CALL_BYTES_MAX * calls,
            "expected only list calls without changes: {figures:?}"
        );
        let control = figures.control_bytes_per_second.unwrap();
        assert!(
            (control - figures.probe_bytes_per_second.unwrap() - list_bytes).abs() < 1e-6,
            "expected control bytes to be those of health checks and list calls: {figures:?}"
        );
        assert!(
            figures.discovery_calls_per_second.unwrap() > 2.0 * calls,
            "expected list calls of the simulated balancers too: {figures:?}"
        );
        assert_eq!(
            figures.connections_up,
            Some(30.0),
            "expected 20 connections of the real balancer and 2 of each simulated one"
        );
    }
    let checks_per_server = slope(
        &lines,
        (Part::Sockets, Varied::Servers),
        "probes_per_second",
    );
    assert!(
        (0.4..=0.6).contains(&checks_per_server),
        "expected about half a health check per second for each server, found {checks_per_server}"
    );

    let by_changes = measurements(&lines, (Part::Sockets, Varied::ChangesPerSecond));
    assert_eq!(by_changes.len(), 2);
    for (changes, figures) in &by_changes {
        assert!(
            figures.changes_seen.unwrap() >= 1.0,
            "expected at least one change to be seen: {figures:?}"
        );
        assert_eq!(
            figures.changes_unseen,
            Some(0.0),
            "expected no unseen change at {changes} changes per second: {figures:?}"
        );
        // Each change is sent in an answer of its own, with one old and one new entry. A call that
        // is held follows it.
        let calls = figures.list_calls_per_second.unwrap();
        assert!(
            calls <= changes + 2.0,
            "expected at most {changes} + 2 list calls per second, found {calls}"
        );
        let bytes = figures.list_bytes_per_second.unwrap();
        let bytes_max = CALL_BYTES_MAX * calls + 2.0 * ENTRY_BYTES_MAX * (changes + 1.0);
        assert!(
            bytes <= bytes_max,
            "{changes} changes per second: expected at most {bytes_max} bytes of list calls per \
             second, not the whole list, found {bytes}"
        );
    }
}

/// Guards against reconnect storm figures that miss connections of some balancers.
#[test]
fn reconnect_storm_figures_are_summed_over_the_fleet() {
    let scenario = ScaleScenario {
        module: None,
        sockets: None,
        ..small_scenario()
    };
    let lines = run(&scenario, env!("CARGO_BIN_EXE_nettlemux")).unwrap();
    let [(_, killed)] = &measurements(&lines, (Part::Storm, Varied::Balancers))[..] else {
        panic!("{lines:?}")
    };
    // The fleet has 3 real balancers with 10 clients each and 7 simulated ones with 4 clients each.
    // Of these, 2 real and 5 simulated balancers are killed.
    assert_eq!(
        (killed.connections_up, killed.connections_lost),
        (Some(58.0), Some(40.0)),
        "expected 40 of 58 connections to be lost: {killed:?}"
    );
    assert_eq!(
        killed.placed_again_share,
        Some(1.0),
        "expected all lost connections to be placed again: {killed:?}"
    );
    assert_eq!(
        killed.connects_returning,
        Some(40.0),
        "expected one connect per lost connection: {killed:?}"
    );
    assert_eq!(
        (killed.connects_first, killed.connects_retried),
        (Some(0.0), Some(0.0)),
        "expected no first and no retried connects: {killed:?}"
    );
    // 10 balancers make one held call per second each for 4 s, and each killed balancer asks for
    // the full list once more.
    let calls = killed.list_calls.unwrap();
    assert!(
        (20.0..=70.0).contains(&calls),
        "expected 20 to 70 list calls, found {calls}"
    );
    assert!(
        (killed.server_connections_mean.unwrap() - 5.8).abs() < 1e-6,
        "expected all connections to be open again: {killed:?}"
    );

    let [(_, replaced)] = &measurements(&lines, (Part::Storm, Varied::Servers))[..] else {
        panic!("{lines:?}")
    };
    let lost = replaced.connections_lost.unwrap();
    assert!(
        lost > 0.0 && replaced.placed_again_share == Some(1.0),
        "expected lost connections, all of them placed again: {replaced:?}"
    );
    let returned = replaced.connects_returning.unwrap() + replaced.connects_retried.unwrap();
    assert!(
        returned >= lost && returned <= 2.0 * lost,
        "expected one or two connects per lost connection: {replaced:?}"
    );
    assert!(
        replaced.new_server_connects_in_a_second_max.unwrap() > 0.0,
        "expected connects to the new servers: {replaced:?}"
    );
    assert!(
        (replaced.server_connections_mean.unwrap() - 5.8).abs() < 1e-6,
        "expected all connections to be open again: {replaced:?}"
    );
}

#[test]
fn missing_program_is_reported_with_its_path_and_the_size() {
    let scenario = ScaleScenario {
        module: None,
        storm: None,
        ..small_scenario()
    };
    let error = run(&scenario, "/nowhere/nettlemux").map(drop).unwrap_err();
    assert!(
        error.starts_with("sockets with servers = 20: /nowhere/nettlemux:"),
        "expected the size and the path of the program, found {error:?}"
    );
}
