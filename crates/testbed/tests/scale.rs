//! Scale runs: their counts and limits, the errors for invalid scenarios, and the lines that a killed
//! run leaves behind. Tests that need the real balancer are in the balancer's crate.

use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use nettlemux_candidates::{CANDIDATES_MAX, FULL_SCAN_SERVERS_MAX, HEALTH_CHECKS_PER_SECOND};
use nettlemux_testbed::scale::allocation::CountingAllocator;
use nettlemux_testbed::scale::fit::{LinearFit, least_squares};
use nettlemux_testbed::scale::limits::{self, Exceeded, LimitedResource, Limits, Need};
use nettlemux_testbed::scale::measurement::{
    self, Figures, Fixed, Line, LineWriter, Machine, Part, Varied,
};
use nettlemux_testbed::scale::scenario::{Counts, DecisionsPart, ScaleScenario, Sizes};
use nettlemux_testbed::scale::{decisions, plot, table};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../testbed/scale")
}

fn small() -> String {
    std::fs::read_to_string(folder().join("small.toml")).unwrap()
}

fn parse(text: &str) -> Result<ScaleScenario, String> {
    ScaleScenario::parse(text, Path::new("some.toml")).map_err(|error| error.to_string())
}

/// The path of temporary files of one test, without extension. The files are removed on drop.
struct TemporaryFiles(PathBuf);

impl TemporaryFiles {
    fn new(name: &str) -> Self {
        TemporaryFiles(std::env::temp_dir().join(format!(
            "nettlemux-scale-test-{}-{name}",
            std::process::id()
        )))
    }
}

impl Drop for TemporaryFiles {
    fn drop(&mut self) {
        for extension in ["toml", "jsonl", "md", "svg"] {
            let _ = std::fs::remove_file(self.0.with_extension(extension));
        }
    }
}

/// Makes a scale run of this scenario without a balancer program. Returns the lines and the output.
fn run_scale(name: &str, scenario: &str) -> (Vec<Line>, Output) {
    let file = TemporaryFiles::new(name);
    let (toml, lines) = (
        file.0.with_extension("toml"),
        file.0.with_extension("jsonl"),
    );
    std::fs::write(&toml, scenario).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux-testbed"));
    command
        .args(["scale", "--program", "/nowhere/nettlemux", "--out"])
        .arg(&lines)
        .arg(&toml);
    let output = command.output().unwrap();
    let written = std::fs::read_to_string(&lines).unwrap_or_default();
    (measurement::parse(&written).unwrap(), output)
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn decisions_part(servers: u64, balancers: u64, probe_price: f64) -> (Counts, DecisionsPart) {
    let fixed = Counts {
        servers,
        balancers,
        connections: 500,
        groups: 2000,
        changes_per_second: 0.0,
    };
    let sizes = Sizes::default();
    let part = DecisionsPart {
        fixed,
        sizes,
        placements: 40,
        placements_per_second: 50.0,
        probe_price,
        may_gossip: false,
    };
    (fixed, part)
}

fn measure(servers: u64, probe_price: f64) -> Figures {
    let (counts, part) = decisions_part(servers, 4, probe_price);
    decisions::measure(&counts, &part, 7).unwrap()
}

/// If health checks cost nothing, each server is checked every 2 s. This is the range of the measured
/// rate as a share of the expected one.
const CHECK_RATE_TOLERANCE: std::ops::RangeInclusive<f64> = 0.7..=1.3;

fn assert_all_servers_are_checked(servers: u64, figures: &Figures) {
    let expected = servers as f64 / 2.0;
    let share = figures.probes_per_second.unwrap() / expected;
    assert!(
        CHECK_RATE_TOLERANCE.contains(&share),
        "{servers} servers, expected {expected} health checks per second: {figures:?}"
    );
}

#[test]
fn lists_up_to_whole_list_max_are_checked_in_full_and_scanned_in_full_for_each_placement() {
    for servers in [20, 60, 120, FULL_SCAN_SERVERS_MAX as u64] {
        let figures = measure(servers, 0.0);
        assert_all_servers_are_checked(servers, &figures);
        assert_eq!(figures.servers_per_placement, Some(servers as f64));
        assert_eq!(figures.placed_share, Some(1.0), "{servers} servers");
        assert_eq!(
            figures.place_calls_per_placement,
            Some(1.0),
            "{servers} servers"
        );
    }
}

/// Flows and their rate on long lists. The measurement takes 10 s, so that the unused budget from
/// before it has little influence.
const LONG_LIST_PLACEMENTS: u64 = 500;
const LONG_LIST_PLACEMENTS_PER_SECOND: f64 = 50.0;

fn measure_long_list(servers: u64, changes_per_second: f64) -> Figures {
    let (counts, part) = decisions_part(servers, 4, 0.0);
    let counts = Counts {
        changes_per_second,
        ..counts
    };
    let (placements, placements_per_second) =
        (LONG_LIST_PLACEMENTS, LONG_LIST_PLACEMENTS_PER_SECOND);
    decisions::measure(
        &counts,
        &DecisionsPart {
            placements,
            placements_per_second,
            ..part
        },
        7,
    )
    .unwrap()
}

/// Health checks may use the budget and what was left of it before, at most one second's worth. They
/// must not stay far below the budget, because the servers and flows demand more than it allows.
fn assert_checks_use_their_budget(servers: u64, figures: &Figures) {
    let (seconds, budget) = (
        LONG_LIST_PLACEMENTS as f64 / LONG_LIST_PLACEMENTS_PER_SECOND,
        HEALTH_CHECKS_PER_SECOND as f64,
    );
    let probes = figures.probes_per_second.unwrap();
    assert!(
        probes <= budget * (seconds + 1.0) / seconds,
        "{servers} servers: {figures:?}"
    );
    assert!(
        probes >= CHECK_RATE_TOLERANCE.start() * budget,
        "{servers} servers: {figures:?}"
    );
}

#[test]
fn above_whole_list_max_health_checks_keep_their_budget_and_placements_consider_only_candidates() {
    for servers in [FULL_SCAN_SERVERS_MAX as u64 + 1, 240, 600, 3_000, 12_000] {
        let figures = measure_long_list(servers, 0.0);
        assert_checks_use_their_budget(servers, &figures);
        // The candidates and as many holders of own connections. A scan of the endpoint list would
        // exceed this, and so would a measurement that uses another key than the policy.
        let considered_max = 2 * CANDIDATES_MAX.min(servers as usize / 2);
        let considered = figures.servers_per_placement.unwrap();
        assert!(
            (1.0..=considered_max as f64).contains(&considered),
            "{servers} servers: {figures:?}"
        );
        assert_eq!(figures.placed_share, Some(1.0), "{servers} servers");
    }
}

/// Measures with health checks that cost 0.2 flows each, so that load reports are sparse.
fn measure_with_costly_checks(servers: u64, placements_per_second: f64) -> Figures {
    let (counts, part) = decisions_part(servers, 4, 0.2);
    decisions::measure(
        &counts,
        &DecisionsPart {
            placements_per_second,
            ..part
        },
        7,
    )
    .unwrap()
}

/// List lengths at and above the limit up to which lists are scanned in full.
const SERVERS_AROUND_LIMIT: [u64; 2] = [FULL_SCAN_SERVERS_MAX as u64, 240];

/// Guards against a measurement that treats a flow which must wait for a load report as one whose
/// client has left. With sparse load reports hardly any flow was placed then.
#[test]
fn with_costly_health_checks_waiting_flows_are_retried_and_placed() {
    for servers in SERVERS_AROUND_LIMIT {
        let figures = measure_with_costly_checks(servers, 2.0);
        assert_eq!(figures.placed_share, Some(1.0), "{figures:?}");
        assert!(
            figures.place_calls_per_placement > Some(1.5),
            "flows wait for a load report: {figures:?}"
        );
    }
}

/// Guards against flows that wait forever because each new flow requests a load report of its own
/// before the received ones are considered.
#[test]
fn with_costly_health_checks_flows_in_quick_succession_are_all_placed() {
    for servers in SERVERS_AROUND_LIMIT {
        let (free, costly) = (
            measure(servers, 0.0),
            measure_with_costly_checks(servers, 50.0),
        );
        assert_eq!(costly.placed_share, Some(1.0), "{costly:?}");
        // At most the regular health checks, and one more for each flow.
        let checks_max = free.probes_per_second.unwrap() + 50.0;
        assert!(
            costly.probes_per_second.unwrap() <= checks_max,
            "{costly:?}\n{free:?}"
        );
    }
}

/// Guards against health checks that each change of the endpoint list postpones, and that fast
/// changes therefore postpone forever. Removed servers count toward the endpoint list while they hold
/// own connections, so few servers are listed if many change.
#[test]
fn health_checks_continue_while_the_list_changes_many_times_per_second() {
    for (servers, changes_per_second) in [(190, 2.0), (60, 2.0), (60, 32.0)] {
        let (counts, part) = decisions_part(servers, 4, 0.0);
        let counts = Counts {
            changes_per_second,
            ..counts
        };
        let figures = decisions::measure(
            &counts,
            &DecisionsPart {
                placements: 200,
                ..part
            },
            7,
        )
        .unwrap();
        assert_all_servers_are_checked(servers, &figures);
    }
}

#[test]
fn health_checks_of_a_long_list_keep_their_budget_while_it_changes_many_times_per_second() {
    for servers in [240, 3_000] {
        for changes_per_second in [2.0, 32.0] {
            assert_checks_use_their_budget(
                servers,
                &measure_long_list(servers, changes_per_second),
            );
        }
    }
}

#[test]
fn measured_bytes_per_server_and_connection_are_plausible() {
    let (one, other) = (measure(60, 0.0), measure(240, 0.0));
    for figures in [&one, &other] {
        assert!(
            (200.0..4000.0).contains(&figures.bytes_per_server.unwrap()),
            "{figures:?}"
        );
        assert!(
            (100.0..2000.0).contains(&figures.bytes_per_connection.unwrap()),
            "{figures:?}"
        );
        assert!(
            (100.0..2000.0).contains(&figures.flow_table_bytes_per_connection.unwrap()),
            "{figures:?}"
        );
    }
}

#[test]
fn repository_scale_scenarios_are_valid_and_complete() {
    for name in ["small.toml", "full.toml"] {
        let scenario = ScaleScenario::load(&folder().join(name)).unwrap();
        assert!(
            scenario.module.is_some() && scenario.sockets.is_some() && scenario.storm.is_some(),
            "{name}"
        );
    }
    let full = ScaleScenario::load(&folder().join("full.toml")).unwrap();
    let sizes = full.sockets.unwrap().sizes;
    for (varied, sizes) in sizes.all() {
        assert!(sizes.len() >= 4, "{}: {sizes:?}", varied.name());
    }
}

#[test]
fn invalid_scale_scenario_is_rejected_with_its_key_and_file() {
    for (valid, invalid, expected) in [
        (
            "hollow_limit = 20",
            "hollow_limt = 20",
            "key 'hollow_limt': unknown; did you mean 'hollow_limit'?",
        ),
        ("real_balancers = 1\n", "", "key 'real_balancers': missing"),
        (
            "hollow_limit = 20",
            "hollow_limit = \"many\"",
            "key 'hollow_limit': invalid type",
        ),
        (
            "groups = 2000",
            "groups = -5",
            "key 'groups': invalid value",
        ),
        (
            "groups = 2000",
            "groups = 0",
            "key 'module.fixed.groups': expected a number above 0 and up to 100000000, found 0",
        ),
        (
            "settle_seconds = 1.0",
            "settle_seconds = 3600",
            "key 'sockets.settle_seconds': expected more than 0 and up to 60 seconds, found 3600",
        ),
        (
            "servers = [20, 60, 120, 240]",
            "servers = [20, nan]",
            "key 'module.sizes.servers': expected a number above 0 and up to 100000000, found NaN",
        ),
        (
            "killed = 7",
            "killed = 10",
            "key 'storm.killed': 10 is too many for storm.fixed.balancers",
        ),
        (
            "replaced = 6",
            "replaced = 600",
            "key 'storm.replaced': 600 is too many for storm.fixed.servers",
        ),
        (
            "[module]",
            "[modul]",
            "key 'modul': unknown; did you mean 'module'?",
        ),
        ("name = \"small\"", "name = ", "some.toml"),
    ] {
        let text = small();
        assert!(text.contains(valid), "{valid}");
        let error = parse(&text.replacen(valid, invalid, 1))
            .map(drop)
            .unwrap_err();
        assert!(
            error.contains("some.toml") && error.contains(expected),
            "{invalid}: {error}"
        );
    }
    let error = ScaleScenario::load(Path::new("/nowhere/scale.toml"))
        .map(drop)
        .unwrap_err()
        .to_string();
    assert!(error.contains("/nowhere/scale.toml"), "{error}");
}

#[test]
fn invalid_scale_scenario_fails_the_run_before_a_line_is_written() {
    let (lines, output) = run_scale("faulty", &small().replacen("groups", "grups", 1));
    assert_eq!((lines, output.status.code()), (Vec::new(), Some(2)));
    assert!(
        stderr_of(&output).contains("key 'grups': unknown; did you mean 'groups'?"),
        "{}",
        stderr_of(&output)
    );
}

/// Returns the small scenario with the tables of this part only.
fn small_with_only(part: &str) -> String {
    let text = small();
    let (head, rest) = text.split_once("\n[").unwrap();
    let tables = format!("[{rest}");
    let selected = tables.split_inclusive('\n').scan(false, |inside, line| {
        if line.starts_with('[') {
            *inside =
                line.starts_with(&format!("[{part}]")) || line.starts_with(&format!("[{part}."));
        }
        Some(if *inside { line } else { "" })
    });
    format!("{head}\n{}", selected.collect::<String>())
}

fn measured_sizes(lines: &[Line]) -> Vec<f64> {
    let size = |line: &Line| match line {
        Line::Measurement { size, .. } => Some(*size),
        _ => None,
    };
    lines.iter().filter_map(size).collect()
}

#[test]
fn size_that_would_exceed_the_memory_limit_is_reported_and_not_started() {
    let text = small_with_only("module").replacen("[20, 60, 120, 240]", "[20, 4_000, 60]", 1);
    let (lines, output) = run_scale("memory", &format!("{text}\n[limits]\nmemory_mb = 70\n"));
    assert_eq!(
        measured_sizes(&lines),
        [20.0],
        "the line of the size before it is kept"
    );
    assert_eq!(output.status.code(), Some(2));
    let stderr = stderr_of(&output);
    assert!(
        stderr.contains("module with servers = 4000 would pass the limit of memory (MB)"),
        "{stderr}"
    );
    assert!(
        stderr.contains("needs 80, 70 allowed; stopped before it"),
        "{stderr}"
    );
}

/// The balancer program does not exist. If a process had been started, the error would name its file.
#[test]
fn sizes_that_would_exceed_the_descriptor_or_process_limit_are_not_started() {
    let sockets = small_with_only("sockets") + "\n[limits]\ndescriptors = 90\n";
    let (lines, output) = run_scale("descriptors", &sockets);
    assert_eq!(
        (measured_sizes(&lines), output.status.code()),
        (vec![], Some(2))
    );
    let stderr = stderr_of(&output);
    assert!(
        stderr.contains("sockets with servers = 20 would pass the limit of descriptors"),
        "{stderr}"
    );
    let (lines, output) = run_scale(
        "processes",
        &(small_with_only("storm") + "\n[limits]\nprocesses = 3\n"),
    );
    assert_eq!(
        (measured_sizes(&lines), output.status.code()),
        (vec![], Some(2))
    );
    let stderr = stderr_of(&output);
    assert!(
        stderr.contains(
            "storm with balancers = 10 would pass the limit of processes: needs 4, 3 allowed"
        ),
        "{stderr}"
    );
}

#[test]
fn each_limit_is_compared_with_its_need() {
    let allowed = Limits {
        memory_mb: 10,
        descriptors: 20,
        processes: 30,
    };
    let need = Need {
        memory_mb: 10,
        descriptors: 20,
        processes: 30,
    };
    assert_eq!(allowed.check(&need), Ok(()));
    for (need, resource) in [
        (
            Need {
                memory_mb: 11,
                ..need
            },
            LimitedResource::Memory,
        ),
        (
            Need {
                descriptors: 31,
                ..need
            },
            LimitedResource::Descriptors,
        ),
        (
            Need {
                processes: 31,
                ..need
            },
            LimitedResource::Processes,
        ),
    ] {
        let exceeded = allowed.check(&need).unwrap_err();
        assert_eq!(exceeded.resource, resource);
    }
    let exceeded = Exceeded {
        resource: LimitedResource::Memory,
        needed: 11,
        limit: 10,
    };
    assert_eq!(
        exceeded.to_string(),
        "would pass the limit of memory (MB): needs 11, 10 allowed"
    );
}

#[test]
fn needed_resources_grow_with_each_count() {
    let scenario = ScaleScenario::load(&folder().join("full.toml")).unwrap();
    let part = scenario.sockets.unwrap();
    let need = |varied, size| limits::sockets_need(&part.fixed.with(varied, size), &part, 20_000);
    for (varied, few, many) in [
        (Varied::Balancers, 20.0, 1400.0),
        (Varied::Connections, 100.0, 4000.0),
    ] {
        let (few, many) = (need(varied, few), need(varied, many));
        assert!(
            few.descriptors < many.descriptors && few.memory_mb < many.memory_mb,
            "{few:?} {many:?}"
        );
    }
    let (few, many) = (need(Varied::Servers, 60.0), need(Varied::Servers, 12_000.0));
    assert!(
        few.descriptors < many.descriptors && few.memory_mb < many.memory_mb,
        "{few:?} {many:?}"
    );
}

/// A writer that accepts each write in full and records the writes separately.
#[derive(Default)]
struct RecordedWrites(Vec<Vec<u8>>);

impl Write for RecordedWrites {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.push(bytes.to_vec());
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lines() -> Vec<Line> {
    let counts = Counts {
        servers: 60,
        balancers: 4,
        connections: 9,
        groups: 2,
        changes_per_second: 0.5,
    };
    let run = || "test".to_string();
    let machine = Machine {
        cores: 8,
        memory_mb: 1000,
        descriptors: 20,
        load_average: Some(0.5),
    };
    let mut lines = vec![Line::Start {
        run: run(),
        machine,
        text: "abc".into(),
    }];
    for (size, bytes) in [(60.0, 100.0), (600.0, 1000.0), (3000.0, 0.0)] {
        let figures = Figures {
            probes_per_second: Some(size / 2.0),
            control_bytes_per_second: Some(bytes),
            ..Figures::default()
        };
        lines.push(Line::Measurement {
            run: run(),
            part: Part::Sockets,
            varied: Varied::Servers,
            size,
            fixed: Fixed::new(counts.with(Varied::Servers, size)),
            figures: Box::new(figures),
        });
    }
    lines.push(Line::Fit {
        run: run(),
        part: Part::Sockets,
        fit: "probes_per_second".into(),
        varied: Varied::Servers,
        intercept: 0.0,
        slope: 0.5,
        residual: 0.0,
    });
    lines
}

/// Guards against an incomplete line if a run is killed between two writes of the same line.
#[test]
fn each_line_is_written_in_one_call_and_can_be_read_back() {
    let mut writes = RecordedWrites::default();
    let mut writer = LineWriter::new(&mut writes);
    lines()
        .into_iter()
        .for_each(|line| writer.write(line).unwrap());
    assert_eq!(writes.0.len(), lines().len());
    for write in &writes.0 {
        assert_eq!(
            write.iter().position(|byte| *byte == b'\n'),
            Some(write.len() - 1)
        );
    }
    let text = String::from_utf8(writes.0.concat()).unwrap();
    assert_eq!(measurement::parse(&text).unwrap(), lines());
    let invalid = text.replacen("\"part\":\"sockets\"", "\"part\":", 1);
    assert!(
        measurement::parse(&invalid)
            .unwrap_err()
            .to_string()
            .starts_with("line 2:")
    );
}

#[test]
fn lines_are_serialized_as_documented() {
    let text: Vec<String> = lines()
        .iter()
        .map(|line| serde_json::to_string(line).unwrap())
        .collect();
    assert_eq!(
        text[0],
        r#"{"run":"test","machine":{"cores":8,"memory_mb":1000,"descriptors":20,"load_average":0.5},"text":"abc"}"#
    );
    assert_eq!(
        text[1],
        concat!(
            r#"{"run":"test","part":"sockets","varied":"servers","size":60.0,"fixed":{"servers":60,"balancers":4,"#,
            r#""connections":9,"groups":2,"changes_per_second":0.5},"figures":{"probes_per_second":30.0,"#,
            r#""control_bytes_per_second":100.0}}"#
        )
    );
    assert_eq!(
        text[4],
        concat!(
            r#"{"run":"test","part":"sockets","fit":"probes_per_second","varied":"servers","intercept":0.0,"#,
            r#""slope":0.5,"residual":0.0}"#
        )
    );
}

#[test]
fn killed_run_leaves_only_complete_lines() {
    let file = TemporaryFiles::new("cut-off");
    let (toml, path) = (
        file.0.with_extension("toml"),
        file.0.with_extension("jsonl"),
    );
    let sizes =
        "[20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 400, 800, 1600]";
    std::fs::write(
        &toml,
        small_with_only("module").replacen("[20, 60, 120, 240]", sizes, 1),
    )
    .unwrap();
    for lines_before in [1, 3, 9] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux-testbed"));
        command.arg("scale").arg("--out").arg(&path).arg(&toml);
        let _ = std::fs::remove_file(&path);
        let mut child = command.spawn().unwrap();
        let deadline = Instant::now() + Duration::from_secs(60);
        let written = || std::fs::read_to_string(&path).unwrap_or_default();
        while written().lines().count() < lines_before {
            assert!(Instant::now() < deadline, "{}", written());
            std::thread::sleep(Duration::from_millis(1));
        }
        child.kill().unwrap();
        let status = child.wait().unwrap();
        assert!(!status.success(), "the run ended before it was killed");
        let text = written();
        assert!(text.ends_with('\n'), "{text}");
        assert!(measurement::parse(&text).unwrap().len() >= lines_before);
    }
}

#[test]
fn least_squares_gives_intercept_slope_and_residual() {
    let exact = [
        (60.0, 35.0),
        (600.0, 305.0),
        (3000.0, 1505.0),
        (12000.0, 6005.0),
    ];
    let LinearFit {
        intercept,
        slope,
        residual,
    } = least_squares(&exact).unwrap();
    assert!((intercept - 5.0).abs() < 1e-6 && (slope - 0.5).abs() < 1e-9 && residual < 1e-6);
    // Residuals of 1 or -1, whose root mean square is 1.
    let bent = [(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)];
    let LinearFit {
        intercept,
        slope,
        residual,
    } = least_squares(&bent).unwrap();
    assert!(intercept.abs() < 1e-9 && slope.abs() < 1e-9 && (residual - 1.0).abs() < 1e-9);
    assert_eq!(least_squares(&[(1.0, 2.0)]), None);
    assert_eq!(
        least_squares(&[(1.0, 2.0), (1.0, 3.0)]),
        None,
        "a single size gives no slope"
    );
    assert_eq!(least_squares(&[]), None);
}

/// Guards against a stored run that can no longer be read, and against a table of another run.
#[test]
fn stored_table_matches_the_stored_run() {
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/scale");
    let text = std::fs::read_to_string(stored.join("run.jsonl")).unwrap();
    let lines = measurement::parse(&text).unwrap();
    assert!(matches!(lines[0], Line::Start { .. }));
    let markdown = std::fs::read_to_string(stored.join("run.md")).unwrap();
    assert_eq!(table::markdown(&lines), markdown);
}

#[test]
fn table_and_plot_are_generated_from_the_lines_alone() {
    let markdown = table::markdown(&lines());
    for expected in [
        "8 cores with 1000 MB",
        "## sockets, by servers",
        "| figure | 60 | 600 | 3000 |",
        "| `probes_per_second` | 30.0 | 300 | 1500 |",
        "| `probes_per_second` | 0 | 0.500 | 0 |",
    ] {
        assert!(markdown.contains(expected), "{expected}\n{markdown}");
    }
    let svg = plot::svg(&lines()).unwrap();
    assert!(
        svg.starts_with("<svg") && svg.contains("control_bytes_per_second"),
        "{svg}"
    );
    // No measurement, one size only, and zeros only.
    assert!(plot::svg(&[]).is_ok() && plot::svg(&lines()[..2]).is_ok());
    let zeros = Figures {
        probes_per_second: Some(0.0),
        ..Figures::default()
    };
    let mut flat = lines();
    if let Line::Measurement { figures, .. } = &mut flat[1] {
        **figures = zeros;
    }
    assert!(plot::svg(&flat[..2]).is_ok());
}

/// The names in stored runs stay the same when names in the code change.
#[test]
fn stored_run_is_read_and_serialized_unchanged() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/scale/run.jsonl");
    let text = std::fs::read_to_string(file).unwrap();
    let lines = measurement::parse(&text).unwrap();
    assert_eq!(lines.len(), text.lines().count());
    for (line, stored) in lines.iter().zip(text.lines()) {
        let stored: serde_json::Value = serde_json::from_str(stored).unwrap();
        assert_eq!(serde_json::to_value(line).unwrap(), stored);
    }
    let has_simulated = |line: &Line| match line {
        Line::Measurement { part, fixed, .. } if *part == Part::Sockets => {
            fixed.simulated_balancers.is_some()
        }
        _ => false,
    };
    assert!(lines.iter().any(has_simulated));
}
