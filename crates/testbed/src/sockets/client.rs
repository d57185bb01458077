//! Stand-in clients: each asks a balancer that the front end deals it, waits for its answer, sends
//! a line now and then, and comes again when it is moved, rejected or cut off. It owns its socket,
//! notes what reaches it, and believes no balancer's word that it can check.

use std::sync::Arc;
use std::time::Duration;

use nettlemux_fleet_model::observation::{ClosedBy, FinalAnswer, Idempotency, Observation};
use nettlemux_fleet_model::population::Client;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{MS, SEC, Time};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::shared_run::{Known, SharedRun};
use super::span;

/// A balancer's machine takes a connection by then or never.
const DIAL: Duration = Duration::from_secs(1);
/// How long past its deadline a client goes on listening: what comes then is late, or a second
/// answer.
const PATIENCE: Time = 300 * MS;
/// One that was open before the run is waited for so long.
const STANDING: Time = 40 * SEC;
/// A balancer's process that has died is noticed by then: until it is, an end without a word isn't
/// judged.
const NOTICED: Duration = Duration::from_millis(400);
/// Between the two pieces of a first line.
const STUTTER: Duration = Duration::from_millis(50);
/// Lines that wait for their answers at most.
const LINES: usize = 64;

type Lines = tokio::io::Lines<BufReader<OwnedReadHalf>>;

/// New clients come for as long as the run lasts.
pub async fn arrive(shared: Arc<SharedRun>) {
    let mut next = shared.now();
    loop {
        let wait = {
            let inner = &mut *shared.lock();
            inner.population.next_arrival(&inner.model)
        };
        next += wait;
        tokio::time::sleep(span(next.saturating_sub(shared.now()))).await;
        let id = {
            let inner = &mut *shared.lock();
            inner.population.arrive(shared.now(), &inner.model)
        };
        tokio::spawn(live(shared.clone(), id, None));
    }
}

/// A client whose connection stood before the run: at a server with less load of two.
pub fn stand(shared: &Arc<SharedRun>) {
    let (id, server) = {
        let inner = &mut *shared.lock();
        let id = inner.population.arrive(0, &inner.model);
        let zone = inner.population.get(id).map_or(0, |client| client.zone);
        (id, inner.model.stood_at(zone, &mut inner.rng))
    };
    tokio::spawn(live(shared.clone(), id, Some(server)));
}

/// What a try came to.
enum TryOutcome {
    /// When to try again; none: never.
    Retry(Option<Time>),
    /// The client has had what it wanted.
    Done,
}

/// One client, from its coming to the end of what it wants.
async fn live(shared: Arc<SharedRun>, id: u64, mut standing: Option<usize>) {
    loop {
        let client = shared.lock().population.get(id).cloned();
        let Some(client) = client.filter(|client| !client.gone) else {
            break;
        };
        match once(&shared, id, &client, standing.take()).await {
            TryOutcome::Done => break,
            TryOutcome::Retry(Some(wait)) => {
                let left = client.ends.saturating_sub(shared.now());
                tokio::time::sleep(span(wait.min(left))).await;
                if wait >= left {
                    break;
                }
            }
            TryOutcome::Retry(None) => {
                // What it still wanted is lost, and counts until its end.
                shared.lock().figures.clients_lost += 1;
                tokio::time::sleep(span(client.ends.saturating_sub(shared.now()))).await;
                break;
            }
        }
    }
    shared.lock().population.remove(id);
}

async fn once(
    shared: &Arc<SharedRun>,
    id: u64,
    client: &Client,
    standing: Option<usize>,
) -> TryOutcome {
    let dealt = {
        let inner = &mut *shared.lock();
        inner.front.pick_balancer(shared.now(), client.zone)
    };
    let refused = || TryOutcome::Retry(Some(shared.lock().population.refused()));
    let Some(balancer) = dealt else {
        return refused();
    };
    let dial = TcpStream::connect(shared.balancer(balancer));
    let Ok(Ok(stream)) = tokio::time::timeout(DIAL, dial).await else {
        return refused();
    };
    let _ = stream.set_nodelay(true);
    let (read, mut out) = stream.into_split();
    let mut lines = BufReader::with_capacity(512, read).lines();
    let wait = match standing {
        Some(_) => STANDING,
        None => seconds(shared.scenario.types[client.class].wait),
    };
    let flow = shared.lock().number();
    let line = first_line(shared, (id, client), flow, wait, standing);
    let stutters =
        standing.is_none() && shared.lock().rng.uniform() < shared.scenario.clients.split_lines;
    let (first, rest) = line.split_at(if stutters { line.len() / 2 } else { 0 });
    if stutters {
        // Its balancer may die meanwhile: nothing was asked of it then.
        if out.write_all(first.as_bytes()).await.is_err() {
            return refused();
        }
        tokio::time::sleep(STUTTER).await;
    }
    let accepted_at;
    let idempotency = {
        let inner = &mut *shared.lock();
        // It has died since it took the connection: nobody is there to take the line.
        if !inner.alive[balancer] {
            return TryOutcome::Retry(Some(inner.population.refused()));
        }
        let known = Known {
            client: id,
            balancer,
            server: standing,
            by_server: None,
            tell: None,
        };
        inner.flows.insert(flow, known);
        let idempotency = inner.population.idempotency(id, &shared.scenario);
        accepted_at = shared.now();
        if standing.is_none() {
            inner.figures.flows += 1;
            if client.reconnecting {
                inner.figures.returned(accepted_at);
            }
            if client.told {
                inner.figures.came_when_told(accepted_at);
            }
            let deadline = accepted_at + wait;
            inner.observe(Observation::Accepted {
                at: accepted_at,
                balancer,
                flow,
                idempotency,
                deadline,
            });
        }
        idempotency
    };
    let came = match out.write_all(rest.as_bytes()).await {
        Ok(()) => {
            let asked = Asked {
                shared,
                id,
                flow,
                idempotency,
                accepted_at,
                wait,
                balancer,
            };
            asked
                .wait(&mut lines, &mut out, client, standing.is_some())
                .await
        }
        Err(_) => {
            // Never whole at the balancer: it has nothing to answer.
            shared.observe(Observation::ClientLeft {
                at: shared.now(),
                flow,
            });
            refused()
        }
    };
    drop((lines, out));
    shared.lock().flows.remove(&flow);
    came
}

fn first_line(
    shared: &SharedRun,
    (id, client): (u64, &Client),
    flow: u64,
    wait: Time,
    standing: Option<usize>,
) -> String {
    let of = &shared.scenario.types[client.class];
    let mut line = format!("OPEN {flow:016x} {id:016x} c={},d={}", of.name, wait / MS);
    if let Some(group) = client.group {
        line += &format!(",g=g{group}");
    }
    if !shared.scenario.clients.tenants.is_empty() {
        line += &format!(",t=c{}", client.tenant);
    }
    if client.reconnecting {
        line += ",again=1";
    }
    if client.tries > 0 {
        line += ",r=1";
    }
    if let Some(server) = standing {
        line += &format!(",at=s{server}");
    }
    line + "\r\n"
}

/// A flow that its client has asked for.
struct Asked<'a> {
    shared: &'a Arc<SharedRun>,
    id: u64,
    flow: u64,
    idempotency: Idempotency,
    accepted_at: Time,
    wait: Time,
    balancer: usize,
}

impl Asked<'_> {
    /// Waits for the one final answer, and goes on from there.
    async fn wait(
        &self,
        lines: &mut Lines,
        out: &mut OwnedWriteHalf,
        client: &Client,
        standing: bool,
    ) -> TryOutcome {
        let shared = self.shared;
        let patience = span(self.wait + PATIENCE);
        let ends = match standing {
            true => patience,
            false => span(client.ends.saturating_sub(shared.now())),
        };
        let answer = tokio::select! {
            answer = tokio::time::timeout(patience, lines.next_line()) => answer,
            () = tokio::time::sleep(ends) => {
                shared.observe(Observation::ClientLeft { at: shared.now(), flow: self.flow });
                return TryOutcome::Done;
            }
        };
        let Ok(Ok(Some(answer))) = answer else {
            // Nothing, or an end without a word: lost, unless the balancer has died, which its end
            // will tell.
            shared.lock().figures.unanswered += u64::from(!self.balancer_gone().await);
            let inner = &mut *shared.lock();
            return TryOutcome::Retry(inner.population.failed(self.id, &shared.scenario));
        };
        let now = shared.now();
        let (word, rest) = answer.split_once(' ').unwrap_or((&answer, ""));
        let with = match word {
            "UP" => FinalAnswer::Connected,
            "BUSY" => FinalAnswer::Rejected,
            _ => FinalAnswer::Failed,
        };
        if !standing {
            let target = seconds(shared.scenario.types[client.class].target);
            let mut inner = shared.lock();
            inner
                .figures
                .answered(now, with, now - self.accepted_at, target);
            inner.figures.of_client(now, client, with);
            inner.observe(Observation::Answered {
                at: now,
                flow: self.flow,
                answer: with,
            });
        }
        match with {
            FinalAnswer::Connected => {
                {
                    let mut inner = shared.lock();
                    inner.population.connected(self.id);
                    inner.standing += usize::from(standing);
                }
                self.open(lines, out, client).await
            }
            FinalAnswer::Rejected => {
                self.second_answer(lines).await;
                let retry_after = rest.trim().parse::<u64>().ok().map(|ms| ms * MS);
                let inner = &mut *shared.lock();
                TryOutcome::Retry(
                    inner
                        .population
                        .rejected(self.id, retry_after, &shared.scenario),
                )
            }
            FinalAnswer::Failed => {
                self.second_answer(lines).await;
                let inner = &mut *shared.lock();
                TryOutcome::Retry(match self.idempotency {
                    Idempotency::NonIdempotent if standing => None,
                    _ => inner.population.failed(self.id, &shared.scenario),
                })
            }
        }
    }

    /// Listens a little longer: nothing may come after the one answer.
    async fn second_answer(&self, lines: &mut Lines) {
        let more = tokio::time::timeout(Duration::from_millis(50), lines.next_line()).await;
        if let Ok(Ok(Some(line))) = more {
            let with = if line.starts_with("BUSY") {
                FinalAnswer::Rejected
            } else {
                FinalAnswer::Failed
            };
            self.shared.observe(Observation::Answered {
                at: self.shared.now(),
                flow: self.flow,
                answer: with,
            });
        }
    }

    async fn balancer_gone(&self) -> bool {
        tokio::time::sleep(NOTICED).await;
        !self.shared.lock().alive[self.balancer]
    }

    /// Sends a line now and then and looks at what comes back, until one side ends.
    async fn open(
        &self,
        lines: &mut Lines,
        out: &mut OwnedWriteHalf,
        client: &Client,
    ) -> TryOutcome {
        let shared = self.shared;
        let every = seconds(shared.scenario.clients.line_interval);
        let target = seconds(shared.scenario.types[client.class].message_target);
        let mut next = shared.now() + (every as f64 * shared.lock().rng.uniform()) as Time;
        let mut waiting = std::collections::VecDeque::new();
        let mut count = 0u64;
        loop {
            let now = shared.now();
            if shared.begun() && now >= client.ends {
                shared.observe(Observation::ConnectionClosed {
                    at: now,
                    flow: self.flow,
                    by: ClosedBy::Client,
                    client_notified: false,
                    server_healthy: true,
                });
                return TryOutcome::Done;
            }
            let wake = if shared.begun() {
                next.min(client.ends)
            } else {
                next
            };
            tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) if line == "MOVE" => {
                        // Closed by the other side, soon; nothing more may be lost to us.
                        let _ = tokio::time::timeout(Duration::from_millis(200), lines.next_line()).await;
                        return self.ended(true).await;
                    }
                    Ok(Some(line)) if line.starts_with("ok ") => {
                        let now = shared.now();
                        if let Some(sent) = waiting.pop_front() {
                            let took: Time = now - sent;
                            let mut inner = shared.lock();
                            inner.figures.message(now, took as f64 / 1e9, 1);
                            if took <= target {
                                inner.served += client.value * every as f64 / 1e9;
                            }
                        }
                    }
                    Ok(Some(line)) if line.starts_with("LOAD ") => {}
                    Ok(Some(line)) => {
                        // No server of ours made it.
                        let with = if line.starts_with("UP") { FinalAnswer::Connected } else { FinalAnswer::Failed };
                        shared.observe(Observation::Answered { at: shared.now(), flow: self.flow, answer: with });
                    }
                    Ok(None) | Err(_) => return self.ended(false).await,
                },
                () = tokio::time::sleep(span(wake.saturating_sub(now))) => {
                    let now = shared.now();
                    if now < next {
                        continue;
                    }
                    next = now + every;
                    count += 1;
                    shared.lock().figures.steps += 1;
                    if waiting.len() < LINES {
                        waiting.push_back(now);
                        let line = format!("m{count}\r\n");
                        if out.write_all(line.as_bytes()).await.is_err() {
                            return self.ended(false).await;
                        }
                    }
                }
            }
        }
    }

    /// The connection has ended without the client's doing.
    async fn ended(&self, told: bool) -> TryOutcome {
        let shared = self.shared;
        if told || !self.balancer_gone().await {
            let mut inner = shared.lock();
            let at = shared.now();
            inner.broken(at, self.flow, told);
        }
        let inner = &mut *shared.lock();
        let by_server = inner
            .flows
            .get(&self.flow)
            .is_some_and(|known| known.by_server.is_some());
        match (told, by_server) {
            (true, false) => inner.figures.moves += 1,
            (false, _) => inner.figures.lost += 1,
            _ => {}
        }
        TryOutcome::Retry(
            inner
                .population
                .reconnect_delay(shared.now(), self.id, told),
        )
    }
}
