//! Stand-in clients: each asks a balancer that the front end deals it, and comes again when it is
//! moved, rejected or cut off. It owns its socket and notes what reaches it; an open flow is
//! [`ClientFlow`]'s.

use std::sync::Arc;
use std::time::Duration;

use nettlemux_fleet_model::observation::Observation;
use nettlemux_fleet_model::population::Client;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{MS, SEC, Time};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::client_flow::{ClientFlow, FlowOutcome};
use super::run_state::FlowState;
use super::shared_run::SharedRun;
use super::span;

/// A balancer's machine takes a connection by then or never.
const DIAL: Duration = Duration::from_secs(1);
/// One that was open before the run is waited for so long.
const STANDING: Time = 40 * SEC;
/// Between the two pieces of a first line.
const SPLIT_LINE_PAUSE: Duration = Duration::from_millis(50);
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

/// One client, from its coming to the end of what it wants.
async fn live(shared: Arc<SharedRun>, id: u64, mut standing: Option<usize>) {
    loop {
        let client = shared.lock().population.get(id).cloned();
        let Some(client) = client.filter(|client| !client.gone) else {
            break;
        };
        match run_flow(&shared, id, &client, standing.take()).await {
            FlowOutcome::Done => break,
            FlowOutcome::Retry(Some(wait)) => {
                let left = client.ends.saturating_sub(shared.now());
                tokio::time::sleep(span(wait.min(left))).await;
                if wait >= left {
                    break;
                }
            }
            FlowOutcome::Retry(None) => {
                // What it still wanted is lost, and counts until its end.
                shared.lock().figures.clients_lost += 1;
                tokio::time::sleep(span(client.ends.saturating_sub(shared.now()))).await;
                break;
            }
        }
    }
    shared.lock().population.remove(id);
}

/// What a client opens a flow with.
struct OpenRequest<'a> {
    id: u64,
    client: &'a Client,
    flow: u64,
    balancer: usize,
    /// From the first line until the deadline.
    wait: Time,
    /// The server of a connection that stood before the run.
    standing: Option<usize>,
}

/// Opens one flow of a client and sees it to its end.
async fn run_flow(
    shared: &Arc<SharedRun>,
    id: u64,
    client: &Client,
    standing: Option<usize>,
) -> FlowOutcome {
    let refused = || FlowOutcome::Retry(Some(shared.lock().population.refused()));
    let Some((balancer, stream)) = dial(shared, client).await else {
        return refused();
    };
    let _ = stream.set_nodelay(true);
    let (read, mut out) = stream.into_split();
    let mut lines = BufReader::with_capacity(512, read).lines();
    let request = OpenRequest {
        id,
        client,
        flow: shared.lock().next_flow(),
        balancer,
        wait: match standing {
            Some(_) => STANDING,
            None => seconds(shared.scenario.types[client.class].wait),
        },
        standing,
    };
    let line = first_line(shared, &request);
    let split =
        standing.is_none() && shared.lock().rng.uniform() < shared.scenario.clients.split_lines;
    let (first, rest) = line.split_at(if split { line.len() / 2 } else { 0 });
    if split {
        // Its balancer may die meanwhile: nothing was asked of it then.
        if out.write_all(first.as_bytes()).await.is_err() {
            return refused();
        }
        tokio::time::sleep(SPLIT_LINE_PAUSE).await;
    }
    // The balancer may have died since it took the connection: no process is there to read the line.
    let Some(flow) = accept_flow(shared, &request) else {
        return refused();
    };
    let outcome = match out.write_all(rest.as_bytes()).await {
        Ok(()) => {
            flow.wait(&mut lines, &mut out, client, standing.is_some())
                .await
        }
        Err(_) => {
            // Never complete at the balancer: it has nothing to answer.
            shared.observe(Observation::ClientLeft {
                at: shared.now(),
                flow: request.flow,
            });
            refused()
        }
    };
    drop((lines, out));
    shared.lock().flows.remove(&request.flow);
    outcome
}

/// Connects to the balancer that the front end deals; none where there is none or it refuses.
async fn dial(shared: &SharedRun, client: &Client) -> Option<(usize, TcpStream)> {
    let balancer = {
        let state = &mut *shared.lock();
        state.front.pick_balancer(shared.now(), client.zone)?
    };
    let connecting = TcpStream::connect(shared.addresses.balancer(balancer));
    let stream = tokio::time::timeout(DIAL, connecting).await.ok()?.ok()?;
    Some((balancer, stream))
}

/// Enters a flow as its first line is about to be complete; none where its balancer has died.
fn accept_flow<'a>(
    shared: &'a Arc<SharedRun>,
    request: &OpenRequest<'_>,
) -> Option<ClientFlow<'a>> {
    let &OpenRequest {
        id,
        client,
        flow,
        balancer,
        wait,
        standing,
    } = request;
    let state = &mut *shared.lock();
    if !state.alive[balancer] {
        return None;
    }
    let known = FlowState {
        client: id,
        balancer,
        server: standing,
        by_server: None,
        signals: None,
    };
    state.flows.insert(flow, known);
    let idempotency = state.population.idempotency(id, &shared.scenario);
    let accepted_at = shared.now();
    if standing.is_none() {
        state.figures.flows += 1;
        if client.reconnecting {
            state.figures.returned(accepted_at);
        }
        if client.told {
            state.figures.came_when_told(accepted_at);
        }
        state.observe(Observation::Accepted {
            at: accepted_at,
            balancer,
            flow,
            idempotency,
            deadline: accepted_at + wait,
        });
    }
    Some(ClientFlow {
        shared,
        id,
        flow,
        idempotency,
        accepted_at,
        wait,
        balancer,
    })
}

fn first_line(shared: &SharedRun, request: &OpenRequest<'_>) -> String {
    let &OpenRequest {
        id,
        client,
        flow,
        wait,
        standing,
        ..
    } = request;
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
