//! A small scale run with the balancer as it is run: it counts health checks, bytes, list calls and
//! attempts, never times.

use std::path::{Path, PathBuf};

use nettlemux_testbed::scale::Run;
use nettlemux_testbed::scale::limits::Limits;
use nettlemux_testbed::scale::measurement::{Figures, Line, LineWriter, Part, Varied};
use nettlemux_testbed::scale::scenario::ScaleScenario;

fn small() -> ScaleScenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../testbed/scale/small.toml");
    ScaleScenario::load(&path).unwrap()
}

/// Runs it and returns its lines, which were written whole.
fn run(scenario: &ScaleScenario, program: &str) -> Result<Vec<Line>, String> {
    let mut lines = LineWriter::new(Vec::new());
    let limits = Limits::of(&scenario.limits);
    let mut run = Run {
        scenario,
        program: PathBuf::from(program),
        limits,
        out: &mut lines,
    };
    run.all("test").map_err(|failure| failure.to_string())?;
    Ok(lines.lines)
}

fn measured(lines: &[Line], of: (Part, Varied)) -> Vec<(f64, Figures)> {
    let one = |line: &Line| match line {
        Line::Measurement {
            part,
            varied,
            size,
            figures,
            ..
        } if (*part, *varied) == of => Some((*size, (**figures).clone())),
        _ => None,
    };
    lines.iter().filter_map(one).collect()
}

fn slope(lines: &[Line], of: (Part, Varied), figure: &str) -> f64 {
    let one = |line: &Line| match line {
        Line::Fit {
            part,
            varied,
            fit,
            slope,
            ..
        } if (*part, *varied) == of && fit == figure => Some(*slope),
        _ => None,
    };
    lines.iter().find_map(one).unwrap()
}

/// Bytes of one health check both ways: `STATS` and its answer with two figures.
const HEALTH_CHECK_BYTES: std::ops::Range<f64> = 28.0..45.0;
/// Bytes of a call for the list that brings nothing new, both ways, and those of each changed entry
/// at most.
const CALL_BYTES: f64 = 250.0;
const ENTRY_BYTES: f64 = 200.0;

#[test]
fn health_checks_bytes_and_list_calls_of_a_balancer_are_what_its_counts_say() {
    let scenario = ScaleScenario {
        module: None,
        storm: None,
        ..small()
    };
    let lines = run(&scenario, env!("CARGO_BIN_EXE_nettlemux")).unwrap();
    let by_servers = measured(&lines, (Part::Sockets, Varied::Servers));
    assert_eq!(by_servers.len(), 4);
    for (servers, figures) in &by_servers {
        // Each server once in 2 s.
        let health_checks = figures.probes_per_second.unwrap();
        assert!(
            (0.35 * servers..=0.65 * servers).contains(&health_checks),
            "{servers} servers: {figures:?}"
        );
        let of_each = figures.probe_bytes_per_second.unwrap() / health_checks;
        assert!(
            HEALTH_CHECK_BYTES.contains(&of_each),
            "{of_each} bytes a health check"
        );
        // A call is held for a second.
        let calls = figures.list_calls_per_second.unwrap();
        assert!((0.4..=1.6).contains(&calls), "{calls} calls a second");
        let list_bytes = figures.list_bytes_per_second.unwrap();
        assert!(
            list_bytes <= CALL_BYTES * calls,
            "nothing is new: {figures:?}"
        );
        let control = figures.control_bytes_per_second.unwrap();
        assert!((control - figures.probe_bytes_per_second.unwrap() - list_bytes).abs() < 1e-6);
        assert!(
            figures.discovery_calls_per_second.unwrap() > 2.0 * calls,
            "hollow ones call too: {figures:?}"
        );
        assert_eq!(
            figures.connections_up,
            Some(30.0),
            "20 by the real one, 2 by each hollow one"
        );
    }
    let by_health_checks = slope(
        &lines,
        (Part::Sockets, Varied::Servers),
        "probes_per_second",
    );
    assert!(
        (0.4..=0.6).contains(&by_health_checks),
        "{by_health_checks} health checks a second more with each server"
    );

    let by_changes = measured(&lines, (Part::Sockets, Varied::ChangesPerSecond));
    assert_eq!(by_changes.len(), 2);
    for (changes, figures) in &by_changes {
        assert!(figures.changes_seen.unwrap() >= 1.0, "{figures:?}");
        assert_eq!(
            figures.changes_unseen,
            Some(0.0),
            "{changes} changes a second: {figures:?}"
        );
        // Each change is sent by itself, an old entry and a new one, and is followed by a call that
        // is held.
        let calls = figures.list_calls_per_second.unwrap();
        assert!(
            calls <= changes + 2.0,
            "{calls} calls a second at {changes} changes"
        );
        let bytes = figures.list_bytes_per_second.unwrap();
        let most = CALL_BYTES * calls + 2.0 * ENTRY_BYTES * (changes + 1.0);
        assert!(
            bytes <= most,
            "{bytes} bytes a second at {changes} changes, {most} at most: not the whole list"
        );
    }
}

#[test]
fn storms_are_summed_over_the_fleet() {
    let scenario = ScaleScenario {
        module: None,
        sockets: None,
        ..small()
    };
    let lines = run(&scenario, env!("CARGO_BIN_EXE_nettlemux")).unwrap();
    let [(_, killed)] = &measured(&lines, (Part::Storm, Varied::Balancers))[..] else {
        panic!("{lines:?}")
    };
    // 3 real balancers with 10 clients each and 7 hollow ones with 4 each; 2 and 5 of them are
    // killed.
    assert_eq!(
        (killed.connections_up, killed.connections_lost),
        (Some(58.0), Some(40.0)),
        "{killed:?}"
    );
    assert_eq!(killed.placed_again_share, Some(1.0), "{killed:?}");
    assert_eq!(killed.connects_returning, Some(40.0), "{killed:?}");
    assert_eq!(
        (killed.connects_first, killed.connects_retried),
        (Some(0.0), Some(0.0)),
        "{killed:?}"
    );
    // 10 balancers for 4 s, a held call a second each, and the whole list once more for each that
    // was killed.
    let calls = killed.list_calls.unwrap();
    assert!((20.0..=70.0).contains(&calls), "{calls} list calls");
    assert!(
        (killed.server_connections_mean.unwrap() - 5.8).abs() < 1e-6,
        "all are back: {killed:?}"
    );

    let [(_, replaced)] = &measured(&lines, (Part::Storm, Varied::Servers))[..] else {
        panic!("{lines:?}")
    };
    let lost = replaced.connections_lost.unwrap();
    assert!(
        lost > 0.0 && replaced.placed_again_share == Some(1.0),
        "{replaced:?}"
    );
    let returned = replaced.connects_returning.unwrap() + replaced.connects_retried.unwrap();
    assert!(returned >= lost && returned <= 2.0 * lost, "{replaced:?}");
    assert!(
        replaced.new_server_connects_in_a_second_max.unwrap() > 0.0,
        "{replaced:?}"
    );
    assert!(
        (replaced.server_connections_mean.unwrap() - 5.8).abs() < 1e-6,
        "{replaced:?}"
    );
}

#[test]
fn a_program_that_is_none_is_named_with_the_size() {
    let scenario = ScaleScenario {
        module: None,
        storm: None,
        ..small()
    };
    let error = run(&scenario, "/nowhere/nettlemux").map(drop).unwrap_err();
    assert!(
        error.starts_with("sockets with servers = 20: /nowhere/nettlemux:"),
        "{error}"
    );
}
