//! A new configuration with shorter deadlines comes while the balancer shuts down. Every open
//! connection has to be moved before the balancer ends.

#[path = "../rig-2/rig.rs"]
mod rig;

use std::sync::mpsc;
use std::thread;

use rig::*;

/// The longest deadline before the change and after it, in milliseconds.
const DEADLINE_BEFORE_MS: u64 = 4800;
const DEADLINE_AFTER_MS: u64 = 1200;
/// When SIGHUP comes, in milliseconds after SIGTERM.
const HUP_AFTER_TERM_MS: u64 = 2000;
/// When SIGKILL comes after SIGTERM: the longest deadline, 3 s at most, and 0.7 s more.
const KILL_AFTER_TERM_MS: u64 = 3700;
const CLIENTS: usize = 150;

fn main() {
    play(run);
}

fn run(record: &Record) -> i32 {
    let folder = TemporaryFolder::new();
    let agent = Agent::start("first", 41, record);
    let servers: Vec<_> = (0..4)
        .map(|number| Server::start(&format!("s-{number}"), record))
        .collect();
    for server in &servers {
        agent.add(&server.name, server);
    }
    let before = settings("push", 400, &class("live", DEADLINE_BEFORE_MS, "free"));
    let after = settings("push", 400, &class("live", DEADLINE_AFTER_MS, "free"));
    let mut balancer = Balancer::start(&folder, &agent, &before, record);

    let (ends, ended) = mpsc::channel();
    let (ups, up) = mpsc::channel();
    for _ in 0..CLIENTS {
        let mut client = match Client::open(balancer.address, "c=live,d=1200", record) {
            Ok(client) => client,
            Err(error) => {
                record.say(format!("could not run: a client can't connect: {error}"));
                return COULD_NOT_RUN;
            }
        };
        let (ends, ups, record) = (ends.clone(), ups.clone(), record.clone());
        thread::spawn(move || {
            let is_up = client.hear_answer(3000);
            let _ = ups.send(is_up);
            if is_up {
                let _ = ends.send(follow(client, u64::MAX, &record));
            }
        });
        sleep_ms(20);
    }
    drop(ends);
    let open = up.iter().take(CLIENTS).filter(|is_up| *is_up).count();
    record.say(format!("{open} of {CLIENTS} connections are up"));
    if open < CLIENTS / 2 {
        return COULD_NOT_RUN;
    }
    sleep_ms(3000);

    balancer.signal(TERM);
    let term_at = record.now();
    if trouble() {
        record.sleep_until(term_at + HUP_AFTER_TERM_MS);
        balancer.replace_config(agent.address, &agent.list(None), &after);
        balancer.signal(HUP);
    }
    let mut exit = None;
    while record.now() < term_at + KILL_AFTER_TERM_MS {
        exit = balancer.has_ended();
        if exit.is_some() {
            break;
        }
        sleep_ms(5);
    }
    let exit_at = record.now() - term_at;
    match exit {
        Some(status) => record.say(format!(
            "the balancer ended {exit_at} ms after SIGTERM: {status}"
        )),
        None => {
            record.say("the balancer still ran when SIGKILL came");
            balancer.signal(KILL);
        }
    }
    let ends: Vec<End> = ended.iter().take(open).collect();
    let mut cut = 0;
    for end in &ends {
        if !end.was_moved {
            cut += 1;
            record.line(format!(
                "client {}: cut off without MOVE {} ms after SIGTERM ({:?})",
                end.id,
                end.at.saturating_sub(term_at),
                end.how
            ));
        }
    }
    record.say(format!(
        "{cut} of {} open connections were cut off without MOVE",
        ends.len()
    ));
    if cut > 0 { BROKEN } else { HELD }
}
