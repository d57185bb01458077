//! A new configuration moves discovery, which tells changes unasked, to a slow agent. A server that
//! drains meanwhile must get nothing new once 4 s and the grace have passed since SIGHUP.

#[path = "../rig-2/rig.rs"]
mod rig;

use std::sync::atomic::Ordering;
use std::thread;

use rig::*;

/// The settings' time in which sends to a draining server must end.
const GRACE_MS: u64 = 400;
/// What discovery has to tell counts as told so long after SIGHUP.
const TOLD_AFTER_HUP_MS: u64 = 4000;
/// Each time limit is 50 ms longer on sockets.
const SLACK_MS: u64 = 50;
/// When the server begins to drain, after SIGHUP.
const DRAIN_AFTER_HUP_MS: u64 = 200;
/// How long the new agent takes for each call.
const SLOW_MS: u64 = 800;
/// How long the clients go on after SIGHUP.
const WATCHED_MS: u64 = 20_000;
/// Time between two requests of all clients together.
const REQUEST_INTERVAL_MS: u64 = 20;
const DRAINING: usize = 0;

fn main() {
    play(run);
}

fn run(record: &Record) -> i32 {
    let folder = TemporaryFolder::new();
    let first = Agent::start("first", 41, record);
    let servers: Vec<_> = (0..4)
        .map(|number| Server::start(&format!("s-{number}"), record))
        .collect();
    for server in &servers {
        first.add(&server.name, server);
    }
    let second = Agent::start("second", 0, record);
    second.copy_from(&first);
    if trouble() {
        second.slow_ms.store(SLOW_MS, Ordering::Relaxed);
    }
    let settings = settings("push", GRACE_MS, &class("live", 1800, "free"));
    let balancer = Balancer::start(&folder, &first, &settings, record);
    sleep_ms(1500);

    let stop = flag();
    let clients = {
        let (stop, record, address) = (stop.clone(), record.clone(), balancer.address);
        thread::spawn(move || {
            while !is_set(&stop) {
                if let Ok(mut client) = Client::open(address, "c=live,d=1800", &record) {
                    thread::spawn(move || {
                        client.hear_answer(2500);
                        sleep_ms(500);
                        client.close();
                    });
                }
                sleep_ms(REQUEST_INTERVAL_MS);
            }
        })
    };
    sleep_ms(1500);

    let server = &servers[DRAINING];
    balancer.replace_config(second.address, &first.list(None), &settings);
    let hup_at = record.now();
    balancer.signal(HUP);
    first.retire();
    record.sleep_until(hup_at + DRAIN_AFTER_HUP_MS);
    server.drain();
    second.set_lifecycle(&server.name, "Terminating");
    record.sleep_until(hup_at + WATCHED_MS);
    set(&stop);
    let _ = clients.join();
    sleep_ms(1000);
    drop(balancer);

    let last_allowed = hup_at + TOLD_AFTER_HUP_MS + GRACE_MS + SLACK_MS;
    let total: usize = servers
        .iter()
        .map(|server| server.arrivals.lock().unwrap().len())
        .sum();
    let arrivals = server.arrivals.lock().unwrap();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > last_allowed)
        .collect();
    if let Some(last) = late.last() {
        record.say(format!(
            "{} got {} new requests over {} ms after SIGHUP, the last at {} ms",
            server.name,
            late.len(),
            last_allowed - hup_at,
            last.at - hup_at
        ));
    }
    record.say(format!(
        "{} of {total} requests were sent to a draining server too late",
        late.len()
    ));
    if total < 200 {
        return COULD_NOT_RUN;
    }
    if late.is_empty() { HELD } else { BROKEN }
}
