//! Runs the adapter as a process with scripted input, valid and malformed.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONF: &str = r#"{"zone":0,"tick":2000,"discovery":"push","replicas-of-me":1,"unheard-of":[],
"contract":{"start-capacity":0.3,"warm-up":9000000,"fall-multiple":3.0},
"limits":{"max-connects":3,"second-copies":false,"may-cancel":true,"probes":true,"retry-after":true,
"max-retry-after":2000000},"service-types":[{"setup-target":300000,"value":1,"repeat":"free"}],
"specifics":{"report-x0":"load asked of the server over what it can do"}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_nettlemux-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all of a malformed script, which breaks the pipe.
    let _ = child
        .stdin
        .take()
        .expect("a pipe")
        .write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// Returns a batch that creates a balancer with a ready server 51, a draining server 52 and an
/// adopted connection to server 51.
fn create_balancer(name: &str, settings: &str) -> String {
    format!(
        "BEGIN_BATCH 1000000\nTABLE 0 2\nM 51 0 0 0 active 1 -\nM 52 0 0 0 leaving 1 -\nON {name}\n\
         {}TAKEN_OVER 5 - 0 k 0 - 0 - 0 - 51\nEND\n",
        creation(settings)
    )
}

/// Returns the events that create the selected balancer with the servers of table 0.
fn creation(settings: &str) -> String {
    let settings = settings.replace('\n', " ");
    format!("CREATE 9 {settings}\nVIEW stale_copy 1 0\n")
}

#[test]
fn unreachable_server_leads_to_a_retry_and_too_short_deadline_to_a_rejection() {
    let script = create_balancer("balancer-0", CONF)
        + "BEGIN_BATCH 1002000\nON balancer-0\nKNOCK 7 0 0 k 1800000 - tpl/a 0 0 0\nEND\n\
           BEGIN_BATCH 1004000\nON balancer-0\nRESULT 7 0 51 no_route 900 0 -\nEND\n\
           BEGIN_BATCH 1006000\nON balancer-0\nFLOWING 7 1 51 1000\nSIGNAL 7 51 1 1 8000\nEND\n\
           BEGIN_BATCH 1008000\nON balancer-0\nRESULT 7 1 51 pass 90 1 -\nSIGNAL 7 51 2 - 90\n\
           KNOCK 8 0 0 k 3000 - - 0 0 0\nLAPSED 99\nMEMO 1 00\nPONG 300 51 pass x0:1.3,busy:0.9\nEND\n\
           BEGIN_BATCH 1010000\nON balancer-0\nTEARDOWN\nEND\nBEGIN_BATCH 1012000\nEND\n";
    let output = run(&script);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).expect("text");
    let replies: Vec<&str> = text.split_inclusive("NEXT\n").collect();
    assert_eq!(replies.len(), 7, "{text}");
    assert!(replies[0].starts_with("AS balancer-0\nTIMER 1 "), "{text}");
    // The draining server gets no attempt. The attempt times out before the client's deadline.
    assert!(
        replies[1].starts_with("AS balancer-0\nSUBMIT_TO 7 51 1796000\n"),
        "{text}"
    );
    assert!(
        replies[2].starts_with("AS balancer-0\nSUBMIT_TO 7 51 "),
        "{text}"
    );
    assert_eq!(replies[3], "NEXT\n");
    // Flow 8 has too little time left, so it is rejected at once, with a Retry-After.
    assert!(
        replies[4].contains("DECLINE 8 ") && !replies[4].contains("DECLINE 8 0\n"),
        "{text}"
    );
    assert_eq!(replies[5..], ["NEXT\n", "NEXT\n"]);
}

#[test]
fn load_report_in_an_attempt_result_triggers_migration_only_if_the_load_is_high() {
    let new_flows: String = (1..9)
        .map(|i| format!("KNOCK {i} 0 0 k 1800000 - - 0 0 0\nFLOWING {i} 0 51 900\n"))
        .collect();
    for (report, migrates) in [
        ("x0:2.5,busy:0.9", true),
        ("x0:0.3,busy:0.9", false),
        ("-", false),
    ] {
        let script = create_balancer("balancer-0", CONF)
            + &format!("BEGIN_BATCH 1002000\nON balancer-0\n{new_flows}END\n")
            + &format!(
                "BEGIN_BATCH 1004000\nON balancer-0\nRESULT 1 0 51 pass 90 1 {report}\nEND\n"
            );
        let text = String::from_utf8(run(&script).stdout).expect("text");
        assert_eq!(text.contains("GO_AWAY"), migrates, "{report}: {text}");
    }
}

#[test]
fn balancer_issues_the_same_commands_alone_and_beside_another_balancer() {
    let new_flows = |name: &str| {
        let new_flows: String = (0..30)
            .map(|i| format!("KNOCK {i} 0 0 k 1800000 - - 0 0 0\n"))
            .collect();
        format!("BEGIN_BATCH 1002000\nON {name}\n{new_flows}END\n")
    };
    let script = |name: &str| create_balancer(name, CONF) + &new_flows(name);
    let reply = |script: String| String::from_utf8(run(&script).stdout).expect("text");
    let alone = reply(script("balancer-1"));
    assert!(reply(script("balancer-0") + &script("balancer-1")).ends_with(&alone));
}

/// Guards against a balancer that issues commands of a killed balancer of the same name, whichever
/// lines of a batch lie between the event that caused them and the new balancer's last event.
#[test]
fn commands_of_a_killed_balancer_are_not_issued_by_its_successor() {
    let arrival = |flow: u64| format!("KNOCK {flow} 0 0 k 1800000 - - 0 0 0\n");
    let kill = "TEARDOWN\n";
    let create = creation(CONF);
    let other = format!("ON balancer-1\n{}", arrival(9));
    let again = "ON balancer-0\n";
    // The events for balancer-0 and others, and the flows for which attempts may be started.
    for (events, flows) in [
        (arrival(7), vec![7]),
        (arrival(7) + kill, vec![]),
        (arrival(7) + kill + &create, vec![]),
        (arrival(7) + kill + &create + &arrival(8), vec![8]),
        (arrival(7) + &other + again + kill + &create, vec![9]),
        (arrival(7) + &other + again + kill, vec![9]),
        (arrival(7) + &other + again + &arrival(8), vec![7, 8, 9]),
        (
            arrival(7) + kill + &create + &other + again + &arrival(8),
            vec![8, 9],
        ),
        (
            arrival(7) + kill + &create + &arrival(6) + &other + again + kill + &create,
            vec![9],
        ),
    ] {
        let script = create_balancer("balancer-0", CONF)
            + &create_balancer("balancer-1", CONF)
            + &format!("BEGIN_BATCH 1002000\nON balancer-0\n{events}END\n");
        let text = String::from_utf8(run(&script).stdout).expect("text");
        let reply = text.split_inclusive("NEXT\n").nth(2).expect("a reply");
        let mut started: Vec<u64> = reply
            .lines()
            .filter_map(|line| line.strip_prefix("SUBMIT_TO ")?.split(' ').next())
            .map(|flow| flow.parse().expect("a flow"))
            .collect();
        started.sort_unstable();
        assert_eq!(started, flows, "{events}{reply}");
    }
}

#[test]
fn malformed_input_fails_with_an_error_that_names_line_and_field() {
    let created = create_balancer("balancer-0", CONF);
    for (script, line, field) in [
        ("KNOCK 1\n".to_string(), 1, "event"),
        ("BEGIN_BATCH soon\nEND\n".into(), 1, "clock"),
        (
            "BEGIN_BATCH 1\nON balancer-0\nKNOCK 1 0\nEND\n".into(),
            3,
            "balancer",
        ),
        ("BEGIN_BATCH 1\n".into(), 2, "END"),
        (create_balancer("balancer-0", "[]"), 6, "conf"),
        (
            create_balancer("balancer-0", &CONF.replace("\"tick\":2000,", "")),
            6,
            "tick",
        ),
        (
            create_balancer("balancer-0", &CONF.replace("free", "maybe")),
            6,
            "repeat",
        ),
        (
            created.clone() + "BEGIN_BATCH 2\nON balancer-0\nWHISPER 1\nEND\n",
            12,
            "event",
        ),
        (
            created.clone() + "BEGIN_BATCH 2\nON balancer-0\nKNOCK 1 0 0 k x - - 0 0 0\nEND\n",
            12,
            "ttl",
        ),
        (
            created.clone() + "BEGIN_BATCH 2\nON balancer-0\nRESULT 1 0 5 odd 1 0 -\nEND\n",
            12,
            "reason",
        ),
        (
            created.clone() + "BEGIN_BATCH 2\nON balancer-0\nPONG 1 5 pass x0=3\nEND\n",
            12,
            "report",
        ),
        (
            created + "BEGIN_BATCH 2\nTABLE 0 1\nM 1 0 0 0 asleep 1 -\nEND\n",
            12,
            "availability",
        ),
    ] {
        let output = run(&script);
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{script}");
        let expected = format!("nettlemux-adapter: line {line}: field '{field}'");
        assert!(
            message.starts_with(&expected),
            "expected {expected}, found {message}"
        );
    }
}

#[test]
fn settings_without_the_number_of_balancers_are_accepted() {
    let output = run(&create_balancer(
        "balancer-0",
        &CONF.replace("\"replicas-of-me\":1,", ""),
    ));
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}
