//! Scale runs: their counts, their limits, what they say to faulty scenarios, and that a run that
//! is cut off leaves whole lines only. What needs the real balancer stands in the balancer's tests.

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
    ScaleScenario::parse(text, Path::new("some.toml")).map_err(|faulty| faulty.to_string())
}

/// A file of this test's own, removed at its end.
struct Temporary(PathBuf);

impl Temporary {
    fn new(name: &str) -> Self {
        Temporary(std::env::temp_dir().join(format!(
            "nettlemux-scale-test-{}-{name}",
            std::process::id()
        )))
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        for extension in ["toml", "jsonl", "md", "svg"] {
            let _ = std::fs::remove_file(self.0.with_extension(extension));
        }
    }
}

/// Runs the testbed on this scenario, without a balancer; its lines and what it said.
fn scale(name: &str, scenario: &str) -> (Vec<Line>, Output) {
    let file = Temporary::new(name);
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

fn report(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn module(servers: u64, balancers: u64, probe_price: f64) -> (Counts, DecisionsPart) {
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
    let (counts, part) = module(servers, 4, probe_price);
    decisions::measure(&counts, &part, 7).unwrap()
}

/// Where health checks cost nothing each server is asked each 2 s. What is counted may miss that by
/// so much.
const PROBE_TOLERANCE: std::ops::RangeInclusive<f64> = 0.7..=1.3;

fn assert_all_are_probed(servers: u64, figures: &Figures) {
    let expected = servers as f64 / 2.0;
    let share = figures.probes_per_second.unwrap() / expected;
    assert!(
        PROBE_TOLERANCE.contains(&share),
        "{servers} servers, {expected} a second expected: {figures:?}"
    );
}

#[test]
fn up_to_the_whole_list_probes_grow_with_it_and_one_placement_looks_at_it_all() {
    for servers in [20, 60, 120, FULL_SCAN_SERVERS_MAX as u64] {
        let figures = measure(servers, 0.0);
        assert_all_are_probed(servers, &figures);
        assert_eq!(figures.servers_per_placement, Some(servers as f64));
        assert_eq!(figures.placed_share, Some(1.0), "{servers} servers");
        assert_eq!(
            figures.place_calls_per_placement,
            Some(1.0),
            "{servers} servers"
        );
    }
}

/// Flows and their rate on long lists: some seconds, so that what was saved up of a budget weighs
/// little.
const LONG_LIST_PLACEMENTS: u64 = 500;
const LONG_LIST_PLACEMENTS_PER_SECOND: f64 = 50.0;

fn measure_long_list(servers: u64, changes_per_second: f64) -> Figures {
    let (counts, part) = module(servers, 4, 0.0);
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

/// Within the budget, with what may have been saved up before, and not much under it, as servers
/// and flows ask for more.
fn assert_probes_use_their_budget(servers: u64, figures: &Figures) {
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
        probes >= PROBE_TOLERANCE.start() * budget,
        "{servers} servers: {figures:?}"
    );
}

#[test]
fn past_the_whole_list_probes_keep_to_their_budget_and_placements_to_their_candidates() {
    for servers in [FULL_SCAN_SERVERS_MAX as u64 + 1, 240, 600, 3_000, 12_000] {
        let figures = measure_long_list(servers, 0.0);
        assert_probes_use_their_budget(servers, &figures);
        // Candidates and own holders; a walk over the endpoint list, or a key that isn't the
        // policy's, would pass that.
        let most = 2 * CANDIDATES_MAX.min(servers as usize / 2);
        let looked_at = figures.servers_per_placement.unwrap();
        assert!(
            (1.0..=most as f64).contains(&looked_at),
            "{servers} servers: {figures:?}"
        );
        assert_eq!(figures.placed_share, Some(1.0), "{servers} servers");
    }
}

/// Past the sparse limit, at so many flows a second.
fn measure_sparse(servers: u64, placements_per_second: f64) -> Figures {
    let (counts, part) = module(servers, 4, 0.2);
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

/// Lists on both sides of the limit up to which all servers are looked at.
const SPARSE_SERVERS: [u64; 2] = [FULL_SCAN_SERVERS_MAX as u64, 240];

/// Guards against a driver that takes "not yet" for leaving: past the sparse limit hardly any flow
/// was placed.
#[test]
fn past_the_sparse_limit_flows_are_asked_about_again_and_placed() {
    for servers in SPARSE_SERVERS {
        let figures = measure_sparse(servers, 2.0);
        assert_eq!(figures.placed_share, Some(1.0), "{figures:?}");
        assert!(
            figures.place_calls_per_placement > Some(1.5),
            "held until a figure has come: {figures:?}"
        );
    }
}

/// Guards against flows that are held for ever, since each new one asks for a figure of its own
/// before those that have come are looked at.
#[test]
fn past_the_sparse_limit_flows_that_come_close_together_are_placed_too() {
    for servers in SPARSE_SERVERS {
        let (dense, sparse) = (measure(servers, 0.0), measure_sparse(servers, 50.0));
        assert_eq!(sparse.placed_share, Some(1.0), "{sparse:?}");
        // No more than what is due anyway and one for each flow.
        let most = dense.probes_per_second.unwrap() + 50.0;
        assert!(
            sparse.probes_per_second.unwrap() <= most,
            "{sparse:?}\n{dense:?}"
        );
    }
}

/// Guards against health checks that are put off by each change of the endpoint list, and so for
/// ever where changes come fast. Servers that have gone count to the endpoint list while they hold
/// own connections, so few are listed where many change.
#[test]
fn probes_go_on_while_the_list_changes_many_times_a_second() {
    for (servers, changes_per_second) in [(190, 2.0), (60, 2.0), (60, 32.0)] {
        let (counts, part) = module(servers, 4, 0.0);
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
        assert_all_are_probed(servers, &figures);
    }
}

#[test]
fn probes_of_a_long_list_go_on_within_their_budget_while_it_changes_many_times_a_second() {
    for servers in [240, 3_000] {
        for changes_per_second in [2.0, 32.0] {
            assert_probes_use_their_budget(
                servers,
                &measure_long_list(servers, changes_per_second),
            );
        }
    }
}

#[test]
fn bytes_are_counted_of_each_server_and_connection() {
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
fn the_scenarios_in_the_repository_are_good() {
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
fn a_faulty_key_is_named_with_its_file() {
    for (good, bad, named) in [
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
        assert!(text.contains(good), "{good}");
        let told = parse(&text.replacen(good, bad, 1)).map(drop).unwrap_err();
        assert!(
            told.contains("some.toml") && told.contains(named),
            "{bad}: {told}"
        );
    }
    let nowhere = ScaleScenario::load(Path::new("/nowhere/scale.toml"))
        .map(drop)
        .unwrap_err()
        .to_string();
    assert!(nowhere.contains("/nowhere/scale.toml"), "{nowhere}");
}

#[test]
fn a_faulty_scenario_ends_the_run_before_a_line_is_written() {
    let (lines, output) = scale("faulty", &small().replacen("groups", "grups", 1));
    assert_eq!((lines, output.status.code()), (Vec::new(), Some(2)));
    assert!(
        report(&output).contains("key 'grups': unknown; did you mean 'groups'?"),
        "{}",
        report(&output)
    );
}

fn only(part: &str) -> String {
    let text = small();
    let (head, rest) = text.split_once("\n[").unwrap();
    let tables = format!("[{rest}");
    let mine = tables.split_inclusive('\n').scan(false, |inside, line| {
        if line.starts_with('[') {
            *inside =
                line.starts_with(&format!("[{part}]")) || line.starts_with(&format!("[{part}."));
        }
        Some(if *inside { line } else { "" })
    });
    format!("{head}\n{}", mine.collect::<String>())
}

fn measured_sizes(lines: &[Line]) -> Vec<f64> {
    let size = |line: &Line| match line {
        Line::Measurement { size, .. } => Some(*size),
        _ => None,
    };
    lines.iter().filter_map(size).collect()
}

#[test]
fn a_size_that_would_pass_the_memory_limit_is_named_and_not_begun() {
    let text = only("module").replacen("[20, 60, 120, 240]", "[20, 4_000, 60]", 1);
    let (lines, output) = scale("memory", &format!("{text}\n[limits]\nmemory_mb = 70\n"));
    assert_eq!(measured_sizes(&lines), [20.0], "the size before it stands");
    assert_eq!(output.status.code(), Some(2));
    let told = report(&output);
    assert!(
        told.contains("module with servers = 4000 would pass the limit of memory (MB)"),
        "{told}"
    );
    assert!(
        told.contains("needs 80, 70 allowed; stopped before it"),
        "{told}"
    );
}

/// There is no such balancer: had anything been started the error would name its file.
#[test]
fn sizes_that_would_pass_the_limits_of_descriptors_or_processes_are_not_begun() {
    let sockets = only("sockets") + "\n[limits]\ndescriptors = 90\n";
    let (lines, output) = scale("descriptors", &sockets);
    assert_eq!(
        (measured_sizes(&lines), output.status.code()),
        (vec![], Some(2))
    );
    let told = report(&output);
    assert!(
        told.contains("sockets with servers = 20 would pass the limit of descriptors"),
        "{told}"
    );
    let (lines, output) = scale(
        "processes",
        &(only("storm") + "\n[limits]\nprocesses = 3\n"),
    );
    assert_eq!(
        (measured_sizes(&lines), output.status.code()),
        (vec![], Some(2))
    );
    let told = report(&output);
    assert!(
        told.contains(
            "storm with balancers = 10 would pass the limit of processes: needs 4, 3 allowed"
        ),
        "{told}"
    );
}

#[test]
fn each_limit_is_held_against_what_is_needed() {
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
fn what_is_needed_grows_with_each_count() {
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

/// Takes each write as the system would and notes where it ended.
#[derive(Default)]
struct Pieces(Vec<Vec<u8>>);

impl Write for Pieces {
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

/// Guards against a run that is cut off between two pieces of one line.
#[test]
fn each_line_is_written_whole_in_one_piece_and_read_again() {
    let mut pieces = Pieces::default();
    let mut writer = LineWriter::new(&mut pieces);
    lines()
        .into_iter()
        .for_each(|line| writer.write(line).unwrap());
    assert_eq!(pieces.0.len(), lines().len());
    for piece in &pieces.0 {
        assert_eq!(
            piece.iter().position(|byte| *byte == b'\n'),
            Some(piece.len() - 1)
        );
    }
    let text = String::from_utf8(pieces.0.concat()).unwrap();
    assert_eq!(measurement::parse(&text).unwrap(), lines());
    let broken = text.replacen("\"part\":\"sockets\"", "\"part\":", 1);
    assert!(
        measurement::parse(&broken)
            .unwrap_err()
            .to_string()
            .starts_with("line 2:")
    );
}

#[test]
fn the_form_of_the_lines_is_as_documented() {
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
fn a_run_that_is_cut_off_leaves_whole_lines_only() {
    let file = Temporary::new("cut-off");
    let (toml, path) = (
        file.0.with_extension("toml"),
        file.0.with_extension("jsonl"),
    );
    let sizes =
        "[20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 400, 800, 1600]";
    std::fs::write(
        &toml,
        only("module").replacen("[20, 60, 120, 240]", sizes, 1),
    )
    .unwrap();
    for lines_before in [1, 3, 9] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux-testbed"));
        command.arg("scale").arg("--out").arg(&path).arg(&toml);
        let _ = std::fs::remove_file(&path);
        let mut child = command.spawn().unwrap();
        let until = Instant::now() + Duration::from_secs(60);
        let written = || std::fs::read_to_string(&path).unwrap_or_default();
        while written().lines().count() < lines_before {
            assert!(Instant::now() < until, "{}", written());
            std::thread::sleep(Duration::from_millis(1));
        }
        child.kill().unwrap();
        let status = child.wait().unwrap();
        assert!(!status.success(), "it was to be ended in the middle");
        let text = written();
        assert!(text.ends_with('\n'), "{text}");
        assert!(measurement::parse(&text).unwrap().len() >= lines_before);
    }
}

#[test]
fn straight_lines_are_fitted_with_what_they_miss() {
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
    // Misses of 1 either way, whose root mean square is 1.
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
        "one size alone has no slope"
    );
    assert_eq!(least_squares(&[]), None);
}

/// Guards against a stored run that nobody can read any more, or a table that isn't its own.
#[test]
fn the_stored_run_is_read_and_its_table_is_made_from_it() {
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/scale");
    let text = std::fs::read_to_string(stored.join("run.jsonl")).unwrap();
    let lines = measurement::parse(&text).unwrap();
    assert!(matches!(lines[0], Line::Start { .. }));
    let markdown = std::fs::read_to_string(stored.join("run.md")).unwrap();
    assert_eq!(table::markdown(&lines), markdown);
}

#[test]
fn the_table_and_the_plot_are_made_from_the_lines_alone() {
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
    // Nothing was measured, or one size, or nothing but zeros.
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

/// The names that runs are stored under outlive the names in the code.
#[test]
fn stored_runs_are_read_and_written_as_they_were() {
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
