//! A stand-in server. It listens at one address for each zone and answers health checks. The model
//! decides how it responds to an attempt and how long it takes to answer a line. It owns the
//! server's side of each connection; [`ConnectionSlot`] removes the connection from the model when
//! it ends. It sends nothing that does not come from the model.

mod connection;
mod connection_slot;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use nettlemux_fleet_model::observation::Observation;
use nettlemux_fleet_model::server::{AttemptResponse, ServerStatus};
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::Time;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};

use self::connection::Connection;
use self::connection_slot::ConnectionSlot;
use super::run_state::{RunState, ServerSignal};
use super::shared_run::SharedRun;
use super::to_duration;

/// Number of connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// Interval between attempts to bind: after a restart of a server, its address may not be free yet.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Listens until the run ends, except while the server's process is down.
pub async fn listen(
    shared: Arc<SharedRun>,
    server: usize,
    zone: usize,
    mut status: watch::Receiver<ServerStatus>,
) {
    loop {
        while *status.borrow_and_update() == ServerStatus::Down {
            if status.changed().await.is_err() {
                return;
            }
        }
        let Ok(listener) = bind(shared.addresses.server(server, zone)) else {
            tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            continue;
        };
        loop {
            tokio::select! {
                changed = status.changed() => match changed {
                    Ok(()) if *status.borrow() == ServerStatus::Down => break,
                    Ok(()) => {}
                    Err(_) => return,
                },
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_connection(shared.clone(), server, zone, stream));
                },
            }
        }
    }
}

fn bind(at: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Answers health checks on a connection until a first line opens a flow.
async fn serve_connection(shared: Arc<SharedRun>, server: usize, zone: usize, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    let latency = {
        let inner = shared.lock();
        let to = inner.model.servers[server].zone;
        inner.model.one_way_latency(zone, to)
    };
    loop {
        let Some(line) = connection.read_line().await else {
            return;
        };
        let line = line.to_string();
        // The network latency in both directions.
        tokio::time::sleep(to_duration(2 * latency)).await;
        let reaches = {
            let inner = shared.lock();
            let server_model = &inner.model.servers[server];
            server_model.status != ServerStatus::Unresponsive
                && inner.model.can_reach(zone, server_model.zone)
        };
        if !reaches {
            return connection.hold_silent(&shared, server).await;
        }
        if line.starts_with("OPEN ") {
            return serve_flow(&shared, (server, zone), connection, &line, latency).await;
        }
        let answer = match line.as_str() {
            "PING" => Some("PONG\r\n".to_string()),
            "STATS" => stats_answer(&shared, server),
            _ => Some("SYNTAX\r\n".to_string()),
        };
        match answer {
            Some(answer) => {
                if !connection.send(&answer).await {
                    return;
                }
            }
            None => return,
        }
    }
}

/// The answer to `STATS`: the server's load report, or `None` if it gives none.
fn stats_answer(shared: &SharedRun, server: usize) -> Option<String> {
    let now = shared.now();
    let mut inner = shared.lock();
    inner.figures.probes += 1;
    let inner = &mut *inner;
    let report = inner.model.servers[server].report(&shared.scenario.fleet, now, &mut inner.rng)?;
    let (utilization, connections) = (
        report.utilization.unwrap_or(0.0),
        report.connections.unwrap_or(0.0),
    );
    Some(format!(
        "PONG x0={utilization:.4},inflight={connections}\r\n"
    ))
}

/// Serves one flow from its first line on.
async fn serve_flow(
    shared: &Arc<SharedRun>,
    (server, zone): (usize, usize),
    mut connection: Connection,
    line: &str,
    latency: Time,
) {
    let flow = line
        .split(' ')
        .nth(1)
        .and_then(|id| u64::from_str_radix(id, 16).ok());
    let Some(flow) = flow.filter(|flow| shared.lock().flows.contains_key(flow)) else {
        // No stand-in client sent this line.
        let _ = connection.send("SYNTAX\r\n").await;
        return;
    };
    let standing = line.contains(",at=");
    let (sender, mut signals) = mpsc::unbounded_channel();
    let mut slot = ConnectionSlot {
        shared,
        server,
        flow,
        attached: false,
        attempt: None,
    };
    let response = open_in_model(shared, &mut slot, zone, standing, sender);
    match response {
        AttemptResponse::Overloaded => {
            slot.end_attempt(true);
            let _ = connection.send("BUSY\r\n").await;
            return;
        }
        AttemptResponse::Error => {
            slot.end_attempt(false);
            let _ = connection.send("ERR\r\n").await;
            return;
        }
        AttemptResponse::Refused => return connection.reset(),
        AttemptResponse::NoResponse => return connection.hold_silent(shared, server).await,
        AttemptResponse::Accepted(delay) => {
            tokio::select! {
                () = tokio::time::sleep(to_duration(seconds(delay))) => {}
                // The balancer has given the attempt up: it closed the connection, or sent a line
                // before the answer.
                _ = connection.read_line() => return,
                signal = signals.recv() => return match signal {
                    Some(ServerSignal::Silence) => connection.hold_silent(shared, server).await,
                    Some(ServerSignal::Migrate) => drop(connection.send("MOVE\r\n").await),
                    _ => connection.reset(),
                },
            }
        }
    }
    slot.end_attempt(false);
    let load = shared.lock().model.servers[server]
        .connections
        .get(&flow)
        .map_or(1.0, |connection| connection.load);
    if !connection
        .send(&format!("UP {flow:x}\r\nLOAD {load:.4}\r\n"))
        .await
    {
        return;
    }
    serve_lines(
        shared,
        (server, zone),
        connection,
        &mut signals,
        flow,
        latency,
    )
    .await;
}

/// Delivers the flow's attempt to the model, unless its connection was open before the run, and adds
/// the connection to the model if the server accepts it. Returns the server's response.
fn open_in_model(
    shared: &Arc<SharedRun>,
    slot: &mut ConnectionSlot<'_>,
    zone: usize,
    standing: bool,
    sender: mpsc::UnboundedSender<ServerSignal>,
) -> AttemptResponse {
    let (flow, server) = (slot.flow, slot.server);
    let now = shared.now();
    let mut inner = shared.lock();
    let (response, events) = if standing {
        (AttemptResponse::Accepted(0.0), Vec::new())
    } else {
        slot.attempt = Some(observe_attempt(&mut inner, now, flow, server));
        inner.model.deliver_attempt(now, zone, server)
    };
    if let AttemptResponse::Accepted(_) = response {
        if let Some(state) = inner.flows.get_mut(&flow) {
            (state.server, state.signals, state.closed_by_server) =
                (Some(server), Some(sender), None);
        }
        slot.attached = attach_to_model(&mut inner, flow, server);
    }
    drop(inner);
    // An attempt causes no events that concern the balancers' processes.
    shared.handle_events(events);
    response
}

/// Records an attempt and returns its number.
fn observe_attempt(inner: &mut RunState, now: Time, flow: u64, server: usize) -> usize {
    let balancer = inner.flows.get(&flow).map_or(0, |state| state.balancer);
    inner.figures.attempts += 1;
    let number = inner.figures.attempts as usize;
    inner.observe(Observation::Attempt {
        at: now,
        balancer,
        flow,
        number,
        server,
    });
    number
}

/// Adds the flow's connection to the server in the model. Returns `false` if its client is gone.
fn attach_to_model(inner: &mut RunState, flow: u64, server: usize) -> bool {
    let client = inner
        .flows
        .get(&flow)
        .and_then(|state| inner.population.get(state.client));
    let Some(client) = client else { return false };
    inner.model.servers[server].attach(flow, client.connection());
    true
}

/// Answers the lines of an open connection, each after the server's current answer time, until one
/// side closes the connection.
async fn serve_lines(
    shared: &SharedRun,
    (server, zone): (usize, usize),
    mut connection: Connection,
    signals: &mut mpsc::UnboundedReceiver<ServerSignal>,
    flow: u64,
    latency: Time,
) {
    let mut load_change_delay = first_load_change_delay(shared);
    loop {
        tokio::select! {
            line = connection.read_line() => {
                let Some(line) = line else { return };
                let answer = format!("ok {line}\r\n");
                let now = shared.now();
                let (answer_seconds, reaches) = {
                    let mut inner = shared.lock();
                    let server_model = &inner.model.servers[server];
                    let mean = server_model.mean_message_seconds(&shared.scenario.fleet, now);
                    let reaches = inner.model.can_reach(zone, server_model.zone) && server_model.status == ServerStatus::Up;
                    (inner.rng.exponential(mean).min(10.0 * mean), reaches)
                };
                if !reaches {
                    return connection.hold_silent(shared, server).await;
                }
                tokio::select! {
                    () = tokio::time::sleep(to_duration(2 * latency + seconds(answer_seconds))) => {}
                    signal = signals.recv() => return handle_signal(connection, signal, shared, server).await,
                }
                if !connection.send(&answer).await {
                    return;
                }
            }
            signal = signals.recv() => return handle_signal(connection, signal, shared, server).await,
            () = tokio::time::sleep(to_duration(load_change_delay)) => {
                let load = {
                    let mut inner = shared.lock();
                    let client = inner.flows.get(&flow).map_or(0, |state| state.client);
                    let changed = inner.population.change_load(client, &shared.scenario);
                    if let Some((load, _)) = changed {
                        inner.model.servers[server].set_load(flow, load);
                    }
                    changed
                };
                let Some((load, wait)) = load else { return };
                load_change_delay = wait;
                if !connection.send(&format!("LOAD {load:.4}\r\n")).await {
                    return;
                }
            }
        }
    }
}

/// Draws the time until the first change of a connection's load.
fn first_load_change_delay(shared: &SharedRun) -> Time {
    shared
        .lock()
        .population
        .first_load_change(&shared.scenario)
        .unwrap_or(super::LONGER_THAN_ANY_RUN)
}

/// Handles a signal to an open connection.
async fn handle_signal(
    mut connection: Connection,
    signal: Option<ServerSignal>,
    shared: &SharedRun,
    server: usize,
) {
    match signal {
        Some(ServerSignal::Reset) | None => connection.reset(),
        Some(ServerSignal::Silence) => connection.hold_silent(shared, server).await,
        Some(ServerSignal::Migrate) => {
            let _ = connection.send("MOVE\r\n").await;
        }
    }
}
