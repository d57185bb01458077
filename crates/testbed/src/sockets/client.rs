//! Stand-in clients. Each connects to a balancer that the front end picks. It reconnects when it is
//! migrated, rejected or disconnected. A client owns its socket and records what it receives. An
//! open flow is handled by [`ClientFlow`].

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
use super::to_duration;
use crate::figures::FigureCollector;

/// Time limit of a connect to a balancer's machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of a flow that is opened before the run.
const STANDING_DEADLINE: Time = 40 * SEC;
/// Pause between the two pieces of a split first line.
const SPLIT_LINE_PAUSE: Duration = Duration::from_millis(50);

/// Starts new clients at the rate of the scenario until the run ends.
pub async fn spawn_arriving_clients(shared: Arc<SharedRun>) {
    let mut next = shared.now();
    loop {
        let wait = {
            let inner = &mut *shared.lock();
            inner.population.next_arrival(&inner.model)
        };
        next += wait;
        tokio::time::sleep(to_duration(next.saturating_sub(shared.now()))).await;
        let id = {
            let inner = &mut *shared.lock();
            inner.population.arrive(shared.now(), &inner.model)
        };
        tokio::spawn(run_client(shared.clone(), id, None));
    }
}

/// Starts a client whose connection is opened before the run, at the less utilized of two random
/// servers.
pub fn start_standing_client(shared: &Arc<SharedRun>) {
    let (id, server) = {
        let inner = &mut *shared.lock();
        let id = inner.population.arrive(0, &inner.model);
        let zone = inner.population.get(id).map_or(0, |client| client.zone);
        (
            id,
            inner
                .model
                .server_of_standing_connection(zone, &mut inner.rng),
        )
    };
    tokio::spawn(run_client(shared.clone(), id, Some(server)));
}

/// Runs one client from its arrival until it is served or gives up.
async fn run_client(shared: Arc<SharedRun>, id: u64, mut standing: Option<usize>) {
    loop {
        let client = shared.lock().population.get(id).cloned();
        let Some(client) = client.filter(|client| !client.gave_up) else {
            break;
        };
        match run_flow(&shared, id, &client, standing.take()).await {
            FlowOutcome::Done => break,
            FlowOutcome::Retry(Some(wait)) => {
                let left = client.planned_end.saturating_sub(shared.now());
                tokio::time::sleep(to_duration(wait.min(left))).await;
                if wait >= left {
                    break;
                }
            }
            FlowOutcome::Retry(None) => {
                // The client has given up. It stays in the population until its end, so that the
                // service that it still wanted counts as lost.
                shared.lock().figures.clients_lost += 1;
                tokio::time::sleep(to_duration(client.planned_end.saturating_sub(shared.now())))
                    .await;
                break;
            }
        }
    }
    shared.lock().population.remove(id);
}

/// A client's request to open a flow.
struct OpenRequest<'a> {
    id: u64,
    client: &'a Client,
    flow: u64,
    balancer: usize,
    /// From the first line until the deadline.
    wait: Time,
    /// The server of a connection that is opened before the run.
    standing: Option<usize>,
}

/// Opens one flow of a client and handles it until it ends.
async fn run_flow(
    shared: &Arc<SharedRun>,
    id: u64,
    client: &Client,
    standing: Option<usize>,
) -> FlowOutcome {
    let refused = || FlowOutcome::Retry(Some(shared.lock().population.refused_retry_delay()));
    let Some((balancer, stream)) = connect_to_balancer(shared, client).await else {
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
            Some(_) => STANDING_DEADLINE,
            None => seconds(shared.scenario.types[client.class].wait),
        },
        standing,
    };
    let line = first_line(shared, &request);
    let split =
        standing.is_none() && shared.lock().rng.uniform() < shared.scenario.clients.split_lines;
    let (first, rest) = line.split_at(if split { line.len() / 2 } else { 0 });
    if split {
        // If the balancer dies in between, the flow was never requested.
        if out.write_all(first.as_bytes()).await.is_err() {
            return refused();
        }
        tokio::time::sleep(SPLIT_LINE_PAUSE).await;
    }
    // The balancer may have died since it accepted the connection. No process reads the line then.
    let Some(flow) = register_flow(shared, &request) else {
        return refused();
    };
    let outcome = match out.write_all(rest.as_bytes()).await {
        Ok(()) => {
            flow.wait(&mut lines, &mut out, client, standing.is_some())
                .await
        }
        Err(_) => {
            // The line is incomplete at the balancer, so that no answer is due.
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

/// Connects to the balancer that the front end picks. Returns `None` if the front end has no
/// balancer or the connect fails.
async fn connect_to_balancer(shared: &SharedRun, client: &Client) -> Option<(usize, TcpStream)> {
    let balancer = {
        let state = &mut *shared.lock();
        state.front_end.pick_balancer(shared.now(), client.zone)?
    };
    let connecting = TcpStream::connect(shared.addresses.balancer(balancer));
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .ok()?
        .ok()?;
    Some((balancer, stream))
}

/// Registers a flow immediately before its first line is complete. Returns `None` if its balancer
/// has died.
fn register_flow<'a>(
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
    let flow_state = FlowState {
        client: id,
        balancer,
        server: standing,
        closed_by_server: None,
        signals: None,
    };
    state.flows.insert(flow, flow_state);
    let idempotency = state.population.idempotency(id, &shared.scenario);
    let accepted_at = shared.now();
    if standing.is_none() {
        count_request(&mut state.figures, client, accepted_at);
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

/// Counts a new request of a client.
fn count_request(figures: &mut FigureCollector, client: &Client, accepted_at: Time) {
    figures.flows += 1;
    if client.reconnecting {
        figures.returned(accepted_at);
    }
    if client.follows_retry_after {
        figures.came_when_told(accepted_at);
    }
}

/// Formats the first line of a flow.
fn first_line(shared: &SharedRun, request: &OpenRequest<'_>) -> String {
    let &OpenRequest {
        id,
        client,
        flow,
        wait,
        standing,
        ..
    } = request;
    let class = &shared.scenario.types[client.class];
    let mut line = format!(
        "OPEN {flow:016x} {id:016x} c={},d={}",
        class.name,
        wait / MS
    );
    if let Some(group) = client.group {
        line += &format!(",g=g{group}");
    }
    if !shared.scenario.clients.tenants.is_empty() {
        line += &format!(",t=c{}", client.tenant);
    }
    if client.reconnecting {
        line += ",again=1";
    }
    if client.unsuccessful_tries > 0 {
        line += ",r=1";
    }
    if let Some(server) = standing {
        line += &format!(",at=s{server}");
    }
    line + "\r\n"
}
