//! Lines and endpoint lists with bytes replaced, removed, inserted or repeated. Each parser must
//! accept or reject them without a panic, and parse the input that follows.

#[path = "../../balancer/tests/common/draws.rs"]
mod draws;

use std::panic::catch_unwind;

use draws::SeededRandom;
use nettlemux_dataplane::discovery::parse_list_update;
use nettlemux_dataplane::wire::{self, HealthCheckAnswer, LineScanner, ServerAnswer};
use nettlemux_line_protocol::first_line;
use nettlemux_settings::LoadReportFormat;

/// Number of seeds that are run.
const SEEDS: u64 = 30_000;
/// Exclusive upper bound of the number of changes to each text.
const CHANGES_BOUND: u64 = 6;
/// Bytes that are inserted, or replace others.
const INSERTED_BYTES: &[u8] = b"\0\r\n\t -+.,=:\"[]{}e0189nUPBUSYOPEN\x80\xff";
/// Valid texts, one for each parser and format.
const VALID_TEXTS: [&str; 8] = [
    "UP 12ab\r\n",
    "BUSY inflight=7,queue=2,util=0.61\r\n",
    "BYE rif=3,x0=0.5\r\nLOAD 0.25\r\nok hello\r\n",
    "PONG x0=0.25,rif=17\r\n",
    "OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f,h=3\r\n",
    "OPEN 1 k c=c,at=s-2,again=1,x=1e30\r\n",
    r#"{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.1.0.18:8081","zone":"a","machineType":"m2","cell":3,"lifecycle":"Ready","weight":1.5,"startedAtMs":1700000000123}]}"#,
    r#"{"generation":18446744073709551615,"reset":false,"instances":[{"instanceId":"s-1","lifecycle":"Gone","weight":1e308,"startedAtMs":1e30}]}"#,
];

/// Returns a valid text with a few of its bytes changed.
fn corrupted(draws: &mut SeededRandom) -> Vec<u8> {
    let mut text = draws.choose(&VALID_TEXTS).as_bytes().to_vec();
    for _ in 0..draws.below(CHANGES_BOUND) {
        let at = draws.below(text.len() as u64 + 1) as usize;
        match draws.below(4) {
            0 if at < text.len() => text[at] = draws.choose(INSERTED_BYTES),
            1 if at < text.len() => drop(text.remove(at)),
            2 => text.insert(at, draws.choose(INSERTED_BYTES)),
            _ => text.extend_from_within(at..),
        }
    }
    text
}

fn parse_all(text: &[u8], cut: usize) {
    let format = LoadReportFormat::default();
    let _ = ServerAnswer::parse(text, &format);
    let _ = HealthCheckAnswer::parse(text, &format);
    let _ = first_line::parse(text);
    let _ = wire::forwarded_line(text, 1);
    let _ = wire::first_line(text);
    if let Ok(value) = serde_json::from_slice(text) {
        let _ = parse_list_update(&value);
    }
    let mut scanner = LineScanner::new(format);
    scanner.scan(&text[..cut]);
    scanner.scan(&text[cut..]);
    scanner.scan(b"\r\n");
    assert!(scanner.is_between_lines());
}

/// Guards against a panic on bytes from a peer, which would lose a client or an endpoint list.
#[test]
fn corrupted_bytes_cause_no_panic() {
    let panicked: Vec<u64> = (0..SEEDS)
        .filter(|seed| {
            let mut draws = SeededRandom::new(*seed);
            let text = corrupted(&mut draws);
            let cut = draws.below(text.len() as u64 + 1) as usize;
            catch_unwind(|| parse_all(&text, cut)).is_err()
        })
        .collect();
    assert!(panicked.is_empty(), "seeds {panicked:?} panicked");
}
