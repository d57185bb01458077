//! A stand-in server: listens at one address for each zone, answers health checks, takes attempts
//! as the model says and answers lines in the time that the model takes. It owns each connection's
//! end at the server and gives its place in the model back when that ends, in [`ConnectionSlot`].
//! It never says more than the model does.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use nettlemux_fleet_model::observation::Observation;
use nettlemux_fleet_model::server::{AttemptResponse, ServerStatus};
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::Time;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};

use super::run_state::{RunState, ServerSignal};
use super::shared_run::SharedRun;
use super::span;

/// Connections that may wait to be accepted.
const WAITING: u32 = 1024;
/// An address may not be free at once when a server comes back.
const AGAIN: Duration = Duration::from_millis(20);
/// A first line is no longer than the platform's.
const LONGEST: usize = 4096 + 2;

/// Listens for as long as the run lasts, but for while the server's process is down.
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
            tokio::time::sleep(AGAIN).await;
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
                    tokio::spawn(talk(shared.clone(), server, zone, stream));
                },
            }
        }
    }
}

fn bind(at: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(WAITING)
}

/// Both halves of a connection.
struct Wire {
    lines: BufReader<OwnedReadHalf>,
    out: OwnedWriteHalf,
    line: Vec<u8>,
}

impl Wire {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let (read, out) = stream.into_split();
        Wire {
            lines: BufReader::with_capacity(512, read),
            out,
            line: Vec::new(),
        }
    }

    /// The next line without its end; none once the connection is over.
    async fn line(&mut self) -> Option<&str> {
        // What has been read of a line is kept where the wait for the rest is given up.
        loop {
            let bytes = self
                .lines
                .fill_buf()
                .await
                .ok()
                .filter(|bytes| !bytes.is_empty())?;
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let count = end.map_or(bytes.len(), |end| end + 1);
            if self.line.last() == Some(&b'\n') {
                self.line.clear();
            }
            self.line.extend_from_slice(&bytes[..count]);
            self.lines.consume(count);
            if end.is_some() {
                return std::str::from_utf8(&self.line).ok().map(str::trim_end);
            }
            if self.line.len() > LONGEST {
                return None;
            }
        }
    }

    async fn say(&mut self, text: &str) -> bool {
        self.out.write_all(text.as_bytes()).await.is_ok()
    }

    /// Ends with a reset.
    fn reset(self) {
        let _ = self.out.as_ref().set_zero_linger();
    }

    /// Says nothing any more until the server's machine is back or the other side goes.
    async fn mute(mut self, shared: &SharedRun, server: usize) {
        loop {
            let up = shared.lock().model.servers[server].status == ServerStatus::Up;
            let gone = tokio::time::timeout(Duration::from_millis(500), self.line()).await;
            if matches!(gone, Ok(None)) {
                return;
            }
            if up && gone.is_err() {
                return self.reset();
            }
        }
    }
}

/// A connection's place in the model, and an attempt that is out: given back when dropped.
struct ConnectionSlot<'a> {
    shared: &'a SharedRun,
    server: usize,
    flow: u64,
    seated: bool,
    out: Option<usize>,
}

impl ConnectionSlot<'_> {
    /// The attempt is out no more.
    fn ended(&mut self, known_unexecuted: bool) {
        if let Some(number) = self.out.take() {
            let at = self.shared.now();
            self.shared.observe(Observation::AttemptEnded {
                at,
                flow: self.flow,
                number,
                known_unexecuted,
            });
        }
    }
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        self.ended(false);
        let mut inner = self.shared.lock();
        if self.seated {
            inner.model.servers[self.server].detach(self.flow);
        }
        if let Some(known) = inner.flows.get_mut(&self.flow) {
            known.signals = None;
        }
    }
}

async fn talk(shared: Arc<SharedRun>, server: usize, zone: usize, stream: TcpStream) {
    let mut wire = Wire::new(stream);
    let way = {
        let inner = shared.lock();
        let to = inner.model.servers[server].zone;
        inner.model.way(zone, to)
    };
    loop {
        let Some(line) = wire.line().await else {
            return;
        };
        let line = line.to_string();
        // There and back.
        tokio::time::sleep(span(2 * way)).await;
        let reaches = {
            let inner = shared.lock();
            let one = &inner.model.servers[server];
            one.status != ServerStatus::Unresponsive && inner.model.reaches(zone, one.zone)
        };
        if !reaches {
            return wire.mute(&shared, server).await;
        }
        if line.starts_with("OPEN ") {
            return open(&shared, (server, zone), wire, &line, way).await;
        }
        let answer = match line.as_str() {
            "PING" => Some("PONG\r\n".to_string()),
            "STATS" => stats(&shared, server),
            _ => Some("SYNTAX\r\n".to_string()),
        };
        match answer {
            Some(answer) => {
                if !wire.say(&answer).await {
                    return;
                }
            }
            None => return,
        }
    }
}

fn stats(shared: &SharedRun, server: usize) -> Option<String> {
    let now = shared.now();
    let mut inner = shared.lock();
    inner.figures.probes += 1;
    let inner = &mut *inner;
    let report = inner.model.servers[server].report(&shared.scenario.fleet, now, &mut inner.rng)?;
    let (utilization, held) = (
        report.utilization.unwrap_or(0.0),
        report.connections.unwrap_or(0.0),
    );
    Some(format!("PONG x0={utilization:.4},inflight={held}\r\n"))
}

/// Serves one connection from its first line on.
async fn open(
    shared: &Arc<SharedRun>,
    (server, zone): (usize, usize),
    mut wire: Wire,
    line: &str,
    way: Time,
) {
    let flow = line
        .split(' ')
        .nth(1)
        .and_then(|id| u64::from_str_radix(id, 16).ok());
    let Some(flow) = flow.filter(|flow| shared.lock().flows.contains_key(flow)) else {
        // No stand-in client sent it.
        let _ = wire.say("SYNTAX\r\n").await;
        return;
    };
    let inherited = line.contains(",at=");
    let (sender, mut told) = mpsc::unbounded_channel();
    let mut slot = ConnectionSlot {
        shared,
        server,
        flow,
        seated: false,
        out: None,
    };
    let offer = {
        let now = shared.now();
        let mut inner = shared.lock();
        let balancer = inner.flows.get(&flow).map_or(0, |known| known.balancer);
        let mut events = Vec::new();
        let offer = match inherited {
            true => AttemptResponse::Accepted(0.0),
            false => {
                inner.figures.attempts += 1;
                let number = inner.figures.attempts as usize;
                inner.observe(Observation::Attempt {
                    at: now,
                    balancer,
                    flow,
                    number,
                    server,
                });
                slot.out = Some(number);
                let (offer, more) = inner.model.offer(now, zone, server);
                events = more;
                offer
            }
        };
        if let AttemptResponse::Accepted(_) = offer {
            if let Some(known) = inner.flows.get_mut(&flow) {
                (known.server, known.signals, known.by_server) = (Some(server), Some(sender), None);
            }
            slot.seated = sit(&mut inner, flow, server);
        }
        drop(inner);
        // What concerns processes can't come of an attempt.
        shared.happen(events);
        offer
    };
    match offer {
        AttemptResponse::Overloaded => {
            slot.ended(true);
            let _ = wire.say("BUSY\r\n").await;
            return;
        }
        AttemptResponse::Error => {
            slot.ended(false);
            let _ = wire.say("ERR\r\n").await;
            return;
        }
        AttemptResponse::Refused => return wire.reset(),
        AttemptResponse::NoResponse => return wire.mute(shared, server).await,
        AttemptResponse::Accepted(took) => {
            tokio::select! {
                () = tokio::time::sleep(span(seconds(took))) => {}
                // Given up by the balancer: it has closed the connection or sent a line too soon.
                _ = wire.line() => return,
                tell = told.recv() => return match tell {
                    Some(ServerSignal::Silence) => wire.mute(shared, server).await,
                    Some(ServerSignal::Migrate) => drop(wire.say("MOVE\r\n").await),
                    _ => wire.reset(),
                },
            }
        }
    }
    slot.ended(false);
    let load = shared.lock().model.servers[server]
        .connections
        .get(&flow)
        .map_or(1.0, |connection| connection.load);
    if !wire
        .say(&format!("UP {flow:x}\r\nLOAD {load:.4}\r\n"))
        .await
    {
        return;
    }
    serve(shared, (server, zone), wire, &mut told, flow, way).await;
}

fn sit(inner: &mut RunState, flow: u64, server: usize) -> bool {
    let client = inner
        .flows
        .get(&flow)
        .and_then(|known| inner.population.get(known.client));
    let Some(client) = client else { return false };
    inner.model.servers[server].attach(flow, client.connection());
    true
}

/// Answers an open connection's lines, each in the time that the server takes now, until one side
/// ends.
async fn serve(
    shared: &SharedRun,
    (server, zone): (usize, usize),
    mut wire: Wire,
    told: &mut mpsc::UnboundedReceiver<ServerSignal>,
    flow: u64,
    way: Time,
) {
    let mut change = next_change(shared);
    loop {
        tokio::select! {
            line = wire.line() => {
                let Some(line) = line else { return };
                let answer = format!("ok {line}\r\n");
                let now = shared.now();
                let (takes, reaches) = {
                    let mut inner = shared.lock();
                    let one = &inner.model.servers[server];
                    let mean = one.message_seconds(&shared.scenario.fleet, now);
                    let reaches = inner.model.reaches(zone, one.zone) && one.status == ServerStatus::Up;
                    (inner.rng.exponential(mean).min(10.0 * mean), reaches)
                };
                if !reaches {
                    return wire.mute(shared, server).await;
                }
                tokio::select! {
                    () = tokio::time::sleep(span(2 * way + seconds(takes))) => {}
                    tell = told.recv() => return leave(wire, tell, shared, server).await,
                }
                if !wire.say(&answer).await {
                    return;
                }
            }
            tell = told.recv() => return leave(wire, tell, shared, server).await,
            () = tokio::time::sleep(span(change)) => {
                let load = {
                    let mut inner = shared.lock();
                    let client = inner.flows.get(&flow).map_or(0, |known| known.client);
                    let changed = inner.population.change_load(client, &shared.scenario);
                    if let Some((load, _)) = changed {
                        inner.model.servers[server].set_load(flow, load);
                    }
                    changed
                };
                let Some((load, wait)) = load else { return };
                change = wait;
                if !wire.say(&format!("LOAD {load:.4}\r\n")).await {
                    return;
                }
            }
        }
    }
}

fn next_change(shared: &SharedRun) -> Time {
    shared
        .lock()
        .population
        .first_change(&shared.scenario)
        .unwrap_or(super::FOREVER)
}

async fn leave(mut wire: Wire, tell: Option<ServerSignal>, shared: &SharedRun, server: usize) {
    match tell {
        Some(ServerSignal::Reset) | None => wire.reset(),
        Some(ServerSignal::Silence) => wire.mute(shared, server).await,
        Some(ServerSignal::Migrate) => {
            let _ = wire.say("MOVE\r\n").await;
        }
    }
}
