//! Runs of the testbed: the scenarios in the repository, the command line, the self-check and the
//! reproducibility of runs.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use nettlemux_fleet_model::fault::FaultKind;
use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_policy::SEC;
use nettlemux_testbed::baselines::PolicyKind;
use nettlemux_testbed::record::{self, Writer};
use nettlemux_testbed::rules::RuleChecker;
use nettlemux_testbed::simulate::{PolicyChoice, simulate};
use nettlemux_testbed::{experiment, file};

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../testbed/scenarios")
}

fn load(name: &str) -> Scenario {
    file::load(&scenarios().join(name).with_extension("toml"))
        .unwrap()
        .0
}

fn run_testbed(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_nettlemux-testbed"))
        .args(args)
        .output()
        .unwrap()
}

fn temporary_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("nettlemux-testbed-{}-{name}", std::process::id()))
}

fn simulate_policy(scenario: &Scenario, seed: u64) -> nettlemux_testbed::simulate::Outcome {
    simulate(
        scenario,
        seed,
        PolicyChoice::Policy(PolicyKind::Nettlemux),
        None,
    )
    .unwrap()
}

#[test]
fn each_mutant_is_detected_and_the_sound_policy_passes_in_virtual_time() {
    let output = run_testbed(&["self-check"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success() && text.ends_with("10 passed, 0 failed\n"),
        "{text}"
    );
}

/// On sockets the rule checker observes only the traffic that reaches the stand-ins.
#[test]
fn each_mutant_is_detected_and_the_sound_balancer_passes_on_sockets() {
    let testbed = Path::new(env!("CARGO_BIN_EXE_nettlemux-testbed"));
    let (text, passed) = nettlemux_testbed::check::on_sockets(testbed, None).unwrap();
    assert!(passed && text.ends_with("10 passed, 0 failed\n"), "{text}");
}

#[test]
fn same_seed_gives_an_identical_record_and_another_seed_a_different_one() {
    let scenario = load("two-faults");
    let run = |name: &str, seed: u64| {
        let file = temporary_file(name);
        let mut writer = Writer::create(&file).unwrap();
        let outcome = simulate(
            &scenario,
            seed,
            PolicyChoice::Policy(PolicyKind::Nettlemux),
            Some(&mut writer),
        )
        .unwrap();
        writer.finish().unwrap();
        let bytes = std::fs::read(&file).unwrap();
        std::fs::remove_file(file).unwrap();
        (bytes, outcome)
    };
    let ((first, a), (second, b), (other, _)) = (run("a", 3), run("b", 3), run("c", 4));
    assert!(first == second && a.figures == b.figures && first != other);
    // The rule checker comes to the same verdict from the record alone.
    let read = record::read(&first[..]).unwrap();
    let mut checker = RuleChecker::new(&scenario, SEC / 100);
    read.observations
        .iter()
        .for_each(|observation| checker.observe(observation));
    let verdict = checker.finish(scenario.end());
    assert!(
        verdict.has_no_violations()
            && verdict.flows == a.verdict.flows
            && verdict.attempts == a.verdict.attempts
    );
}

/// Runs each scenario in the repository with the policy, except `size` and `many`, which take too
/// long for a test.
#[test]
fn repository_scenarios_meet_their_expectations_and_keep_the_rules() {
    for entry in std::fs::read_dir(scenarios()).unwrap() {
        let path = entry.unwrap().path();
        let (scenario, _) = file::load(&path).unwrap();
        if ["size", "many"].contains(&scenario.name.as_str()) {
            continue;
        }
        assert_eq!(path.file_stem().unwrap().to_string_lossy(), scenario.name);
        let outcome = simulate_policy(&scenario, scenario.seed);
        assert_eq!(
            outcome.figures.unmet(&scenario),
            Vec::<String>::new(),
            "{}",
            scenario.name
        );
        assert!(
            outcome.verdict.has_no_violations(),
            "{}: {:?}",
            scenario.name,
            outcome.verdict
        );
    }
}

/// Guards against a fault kind that has no effect or does not end: each kind must change the figures,
/// and no kind may make the sound policy break a rule or leave a flow unanswered.
#[test]
fn every_fault_kind_changes_the_figures_and_breaks_no_rule() {
    let mut scenario = load("calm");
    (scenario.seconds, scenario.zones.number) = (45.0, 2);
    scenario.clients.tenants = vec![0.5, 0.5];
    scenario.expect.clear();
    let calm = simulate_policy(&scenario, 1).figures;
    for (what, share, amount) in [
        (FaultKind::Crash, 0.3, 0.0),
        (FaultKind::Vanish, 0.3, 0.0),
        (FaultKind::Slow, 0.5, 0.3),
        (FaultKind::Decay, 0.5, 0.3),
        (FaultKind::Neighbour, 0.5, 0.5),
        (FaultKind::StuckReports, 1.0, 0.0),
        (FaultKind::AbsurdReports, 0.5, 9.0),
        (FaultKind::FastErrors, 0.4, 0.0),
        (FaultKind::ProbesFail, 0.4, 0.0),
        (FaultKind::ZoneCut, 0.0, 0.0),
        (FaultKind::ZoneFlaps, 0.0, 1.0),
        (FaultKind::StoreSlow, 0.0, 0.05),
        (FaultKind::ListWrong, 0.3, 0.0),
        (FaultKind::Grow, 0.5, 0.0),
        (FaultKind::Shrink, 0.3, 3.0),
        (FaultKind::Roll, 0.5, 3.0),
        (FaultKind::RestartInTurn, 0.0, 1.0),
        (FaultKind::BalancersDie, 0.4, 0.0),
        (FaultKind::Surge, 0.0, 3.0),
        (FaultKind::TenantSurge, 0.0, 4.0),
    ] {
        let mut faulted = scenario.clone();
        let text = format!(
            r#"{{"what": {}, "at": 12, "for": 15, "share": {share}, "amount": {amount}}}"#,
            serde_json::to_string(&what).unwrap()
        );
        faulted.faults.push(serde_json::from_str(&text).unwrap());
        faulted.check().unwrap();
        let outcome = simulate_policy(&faulted, 1);
        assert!(
            outcome.verdict.has_no_violations(),
            "{what:?}: {:?}",
            outcome.verdict
        );
        assert_eq!(outcome.figures.get("unanswered"), 0.0, "{what:?}");
        assert_ne!(outcome.figures, calm, "{what:?} changes nothing");
    }
    // These two have an effect only together with a change of the fleet, because discovery has no
    // updates to send otherwise.
    for (what, amount) in [("list-silent", 0.0), ("list-late", 5.0)] {
        let mut faulted = scenario.clone();
        for (what, amount, at) in [(what, amount, 10), ("shrink", 3.0, 12)] {
            let text = format!(
                r#"{{"what": "{what}", "at": {at}, "for": 15, "share": 0.3, "amount": {amount}}}"#
            );
            faulted.faults.push(serde_json::from_str(&text).unwrap());
        }
        let outcome = simulate_policy(&faulted, 1);
        faulted.faults.remove(0);
        assert_ne!(
            simulate_policy(&faulted, 1).figures,
            outcome.figures,
            "{what} changes nothing"
        );
        assert!(
            outcome.verdict.has_no_violations(),
            "{what}: {:?}",
            outcome.verdict
        );
    }
}

#[test]
fn extreme_fault_combinations_break_no_rule() {
    let run = |faults: &str, seconds: f64| {
        let mut scenario = load("calm");
        scenario.seconds = seconds;
        scenario.faults = serde_json::from_str(faults).unwrap();
        scenario.check().unwrap();
        let outcome = simulate_policy(&scenario, 2);
        assert!(
            outcome.verdict.has_no_violations(),
            "{faults}: {:?}",
            outcome.verdict
        );
        outcome.figures
    };
    // All servers are replaced within the delay of one endpoint list.
    run(
        r#"[{"what": "grow", "at": 10, "share": 1}, {"what": "shrink", "at": 12, "for": 0.1, "amount": 2,
        "who": [0,1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,22,23]}]"#,
        40.0,
    );
    // All balancers die at the same time while the store is slow.
    let figures = run(
        r#"[{"what": "balancers-die", "at": 10, "for": 2}, {"what": "store-slow", "at": 8, "amount": 0.2}]"#,
        40.0,
    );
    assert!(figures.get("reconnects_worst") > 20.0 && figures.get("standing") > 100.0);
    // Many faults at the same time.
    run(
        r#"[{"what": "vanish", "at": 10, "share": 0.2}, {"what": "crash", "at": 11, "share": 0.2},
        {"what": "list-silent", "at": 9, "for": 6}, {"what": "restart-in-turn", "at": 10, "amount": 1},
        {"what": "fast-errors", "at": 12, "share": 0.2}, {"what": "surge", "at": 14, "amount": 3}]"#,
        50.0,
    );
    // All servers crash.
    let figures = run(r#"[{"what": "crash", "at": 10, "for": 10}]"#, 40.0);
    assert!(figures.get("worth_worst") < 0.05 && figures.get("unanswered") == 0.0);
}

#[test]
fn invalid_scenario_is_rejected_with_its_key_and_file() {
    let calm = std::fs::read_to_string(scenarios().join("calm.toml")).unwrap();
    let file = temporary_file("faulty.toml");
    for (from, to, key) in [
        (
            "seconds = 60",
            "second = 60",
            "key 'second': unknown; did you mean 'seconds'?",
        ),
        ("seconds = 60", "seconds = -1", "key 'seconds'"),
        ("seconds = 60\n", "", "key 'seconds': missing"),
        ("settle = 5", "settle = 60", "key 'settle'"),
        ("servers = 24", "servers = 0", "key 'fleet.servers'"),
        (
            "standing = 528",
            "standing = 5000000",
            "key 'clients.standing'",
        ),
        (
            "idempotency = \"non-idempotent\"",
            "idempotency = \"never\"",
            "non-idempotent",
        ),
        (
            "[expect]",
            "[[faults]]\nwhat = \"slow\"\nat = 3\n[expect]",
            "key 'faults[0].amount'",
        ),
        (
            "[expect]",
            "[[faults]]\nwhat = \"crash\"\nat = 99\n[expect]",
            "key 'faults[0].at'",
        ),
        (
            "[expect]",
            "[[faults]]\nwhat = \"crash\"\nat = 9\nwho = [24]\n[expect]",
            "key 'faults[0].who'",
        ),
        (
            "worth =",
            "wroth =",
            "key 'expect.wroth': unknown figure; did you mean 'worth'?",
        ),
        ("[expect]", "[expect", "key '(whole file)'"),
    ] {
        std::fs::write(&file, calm.replacen(from, to, 1)).unwrap();
        let output = run_testbed(&["simulate", file.to_str().unwrap()]);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(2) && text.contains(key),
            "{to}: {text}"
        );
        assert!(
            text.contains("faulty.toml") && !text.contains("panicked"),
            "{text}"
        );
    }
    std::fs::remove_file(file).unwrap();
    assert_eq!(
        run_testbed(&["simulate", "nowhere.toml"]).status.code(),
        Some(2)
    );
}

#[test]
fn simulate_reports_the_result_as_json_and_unmet_expectations_by_exit_code() {
    let calm = scenarios().join("calm.toml");
    let calm = calm.to_str().unwrap();
    let output = run_testbed(&["simulate", calm, "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(output.status.success() && json["good"] == true && json["simulated"] == true);
    assert!(json["figures"]["worth"].as_f64().unwrap() > 0.8);
    // Unmet expectations are listed, and the last line says that the run is not good.
    let file = temporary_file("unmet.toml");
    let text = std::fs::read_to_string(calm).unwrap();
    std::fs::write(
        &file,
        text.replace("[expect]", "[expect]\nspread = { max = 0.0001 }"),
    )
    .unwrap();
    let output = run_testbed(&["simulate", file.to_str().unwrap()]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.code() == Some(1) && text.contains("unmet: spread"),
        "{text}"
    );
    assert!(
        text.lines()
            .last()
            .unwrap()
            .starts_with("NOT GOOD: calm (simulated, module, seed 1)"),
        "{text}"
    );
    std::fs::remove_file(file).unwrap();
}

#[test]
fn compare_pairs_seeds_and_sweep_prints_each_value_and_hunt_finds_faults() {
    let mut scenario = load("crash");
    scenario.seconds = 40.0;
    let (a, b) = (
        PolicyChoice::Policy(PolicyKind::Nettlemux),
        PolicyChoice::Policy(PolicyKind::Random),
    );
    let rows = experiment::compare(&scenario, a, b, 3, 3);
    let worth = rows.iter().find(|row| row.name == "worth").unwrap();
    assert!(
        worth.difference.mean > worth.difference.confidence_half_width.unwrap(),
        "{worth:?}"
    );
    // A policy compared with itself shows no differences on several threads either.
    let same = experiment::compare(&scenario, a, a, 2, 2);
    assert!(same.iter().all(|row| row.difference.mean == 0.0));
    let crash = scenarios().join("crash.toml");
    let output = run_testbed(&[
        "sweep",
        "--key",
        "clients.rate",
        "--values",
        "4,20",
        "--seeds",
        "1",
        crash.to_str().unwrap(),
    ]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success() && text.lines().count() == 2 && text.contains("clients.rate = 20"),
        "{text}"
    );
    let path = crash.to_str().unwrap();
    let output = run_testbed(&[
        "compare", "--a", "module", "--b", "random", "--seeds", "2", "--json", path,
    ]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(
        json["a"] == "module" && json["b"] == "random" && json["rows"][0]["figure"] == "worth",
        "{json}"
    );
    let mixed = run_testbed(&["compare", "--a", "module", "--b", "./nettlemux", path]);
    assert!(mixed.status.code() == Some(2));
    let found = experiment::hunt(&scenario, 1, 6, 4);
    assert!(!found.scenario.faults.is_empty() && found.scenarios_tried >= 6);
    found.scenario.check().unwrap();
}
