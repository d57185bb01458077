//! A new configuration moves discovery, which has to be asked, and the first call there is turned
//! away by the crowded service. A server that drains meanwhile must get nothing new once 4 s and the
//! grace have passed since SIGHUP.

#[path = "../rig-2/rig.rs"]
mod rig;

use std::thread;

use rig::*;

const ROUNDS: usize = 6;
const SERVERS: usize = 10;
/// The settings' time in which sends to a draining server must end.
const GRACE_MS: u64 = 400;
/// What discovery has to tell counts as told so long after SIGHUP.
const TOLD_AFTER_HUP_MS: u64 = 4000;
/// Each time limit is 50 ms longer on sockets.
const SLACK_MS: u64 = 50;
/// When a server begins to drain, after SIGHUP.
const DRAIN_AFTER_HUP_MS: u64 = 1500;
/// The service's time-out: a call that has waited so long is turned away.
const TURNED_AWAY_AFTER_MS: u64 = 2000;
/// The wait of the next call in the service's queue.
const QUEUE_MS: u64 = 1500;
const ROUND_MS: u64 = 9000;
/// Time between two requests of all clients together.
const REQUEST_INTERVAL_MS: u64 = 20;

/// One move of discovery.
struct Round {
    hup_at: u64,
    server: String,
}

fn main() {
    play(run);
}

fn run(record: &Record) -> i32 {
    let folder = TemporaryFolder::new();
    let mut agent = Agent::start("0", 41, record);
    let servers: Vec<_> = (0..SERVERS)
        .map(|number| Server::start(&format!("s-{number}"), record))
        .collect();
    for server in &servers {
        agent.add(&server.name, server);
    }
    let settings = settings("ask", GRACE_MS, &class("live", 3200, "free"));
    let balancer = Balancer::start(&folder, &agent, &settings, record);
    sleep_ms(1500);

    let stop = flag();
    let clients = {
        let (stop, record, address) = (stop.clone(), record.clone(), balancer.address);
        thread::spawn(move || {
            while !is_set(&stop) {
                if let Ok(mut client) = Client::open(address, "c=live,d=3200", &record) {
                    thread::spawn(move || {
                        client.hear_answer(4000);
                        sleep_ms(500);
                        client.close();
                    });
                }
                sleep_ms(REQUEST_INTERVAL_MS);
            }
        })
    };
    sleep_ms(1000);

    let mut rounds = Vec::new();
    for number in 1..=ROUNDS {
        let next = Agent::start(&number.to_string(), 0, record);
        next.copy_from(&agent);
        if trouble() {
            next.plan(&[
                CallPlan::TurnAway(TURNED_AWAY_AFTER_MS),
                CallPlan::Queue(QUEUE_MS),
            ]);
        }
        balancer.replace_config(next.address, &next.list(None), &settings);
        let hup_at = record.now();
        balancer.signal(HUP);
        agent.retire();
        record.sleep_until(hup_at + DRAIN_AFTER_HUP_MS);
        let server = servers[number - 1].name.clone();
        servers[number - 1].drain();
        next.set_lifecycle(&server, "Terminating");
        rounds.push(Round { hup_at, server });
        record.sleep_until(hup_at + ROUND_MS);
        agent = next;
    }
    set(&stop);
    let _ = clients.join();
    sleep_ms(1000);

    let mut late = 0;
    let mut total = 0;
    for server in &servers {
        let arrivals = server.arrivals.lock().unwrap();
        total += arrivals.len();
        let Some(round) = rounds.iter().find(|round| round.server == server.name) else {
            continue;
        };
        let last_allowed = round.hup_at + TOLD_AFTER_HUP_MS + GRACE_MS + SLACK_MS;
        let too_late: Vec<_> = arrivals
            .iter()
            .filter(|arrival| arrival.at > last_allowed)
            .collect();
        if let Some(last) = too_late.last() {
            late += too_late.len();
            record.say(format!(
                "{} got {} new requests over {} ms after SIGHUP, the last at {} ms",
                server.name,
                too_late.len(),
                last_allowed - round.hup_at,
                last.at - round.hup_at
            ));
        }
    }
    record.say(format!(
        "{late} of {total} requests were sent to a draining server too late"
    ));
    if total < 1000 {
        return COULD_NOT_RUN;
    }
    if late > 0 { BROKEN } else { HELD }
}
