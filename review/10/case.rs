//! An instance is killed and created anew in one batch of the simulator's wire. The new instance
//! must not act on what the killed one knew.

#[path = "../rig-2/rig.rs"]
mod rig;

use std::io::{BufRead, BufReader, Write};
use std::process::Stdio;

use rig::*;

/// The request that the instance has taken when it is killed.
const REQUEST: u64 = 1_564_119_492;

fn main() {
    play(run);
}

fn run(record: &Record) -> i32 {
    let mut adapter = deployed("sim")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter's process");
    let mut input = adapter.stdin.take().expect("a pipe");
    let mut lines = BufReader::new(adapter.stdout.take().expect("a pipe")).lines();
    let mut exchange = |batch: &[String]| -> Vec<String> {
        for line in batch {
            record.line(format!("> {line}"));
            let _ = writeln!(input, "{line}");
        }
        let _ = input.flush();
        let mut reply = Vec::new();
        for line in lines.by_ref().map_while(Result::ok) {
            record.line(format!("< {line}"));
            if line == "NEXT" {
                break;
            }
            reply.push(line);
        }
        reply
    };

    let settings = settings("push", 400, &class("live", 1800, "free"));
    let birth = |seed: u64| {
        vec![
            format!("CREATE {seed} {settings}"),
            "TABLE 0 2".to_string(),
            "M 51530247 0 0 0 active 1 -".to_string(),
            "M 747639282 0 0 0 active 1 -".to_string(),
            "VIEW stale_copy 41 0".to_string(),
        ]
    };
    let batch = |clock: u64, events: Vec<String>| {
        let mut lines = vec![format!("BEGIN_BATCH {clock}")];
        lines.extend(events);
        lines.push("END".into());
        lines
    };

    exchange(&batch(8_000_000, Vec::new()));
    let mut events = vec!["ON balancer-0".to_string()];
    events.extend(birth(11));
    exchange(&batch(8_002_000, events));
    let mut events = vec![
        "ON balancer-0".to_string(),
        format!("KNOCK {REQUEST} 0 0 key 1800000 12000 - 0 0 0"),
    ];
    if trouble() {
        events.push("TEARDOWN".into());
        events.extend(birth(12));
    }
    let reply = exchange(&batch(9_000_000, events));
    drop(input);
    let status = adapter.wait().map(|status| status.to_string());
    record.line(format!("the adapter ended: {status:?}"));

    // A late `DECLINE`, `REPORT_FAILURE` or `RECALL` does no harm, says the page; a `SUBMIT_TO` counts.
    let sent = format!("SUBMIT_TO {REQUEST} ");
    let submits: Vec<_> = reply
        .iter()
        .filter(|action| action.starts_with(&sent))
        .collect();
    if !trouble() {
        record.say(format!(
            "the request of a living instance was sent {} times",
            submits.len()
        ));
        return if submits.len() == 1 {
            HELD
        } else {
            COULD_NOT_RUN
        };
    }
    for action in &submits {
        record.say(format!(
            "the new instance sends the request of the killed one: {action}"
        ));
    }
    if submits.is_empty() {
        record.say("the new instance did not send the request of the killed one");
        HELD
    } else {
        BROKEN
    }
}
