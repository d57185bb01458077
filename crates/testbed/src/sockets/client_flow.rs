//! A stand-in client's flow: waits for its one answer, sends a line now and then, and notes how it
//! ends. It believes nothing of a balancer that it can check.

use std::sync::Arc;
use std::time::Duration;

use nettlemux_fleet_model::observation::{ClosedBy, FinalAnswer, Idempotency, Observation};
use nettlemux_fleet_model::population::Client;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{MS, Time};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::shared_run::SharedRun;
use super::span;

/// How long past its deadline a client goes on listening: what comes then is late, or a second
/// answer.
const LATE_ANSWER_TIMEOUT: Time = 300 * MS;
/// How long a second answer is listened for after a rejection or a failure.
const SECOND_ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the other side has to close a connection whose client it sent away.
const MIGRATION_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// A balancer's process that has died is noticed by then: until it is, an end without an answer
/// isn't counted.
const BALANCER_DEATH_NOTICE: Duration = Duration::from_millis(400);
/// Lines that wait for their answers at most.
const PENDING_LINES_MAX: usize = 64;

/// The lines that a balancer sends.
type Lines = tokio::io::Lines<BufReader<OwnedReadHalf>>;

/// What a flow came to.
pub enum FlowOutcome {
    /// When to try again; none: never.
    Retry(Option<Time>),
    /// The client has had what it wanted.
    Done,
}

/// A flow that its client has asked for.
pub struct ClientFlow<'a> {
    /// The run.
    pub shared: &'a Arc<SharedRun>,
    /// The client's number.
    pub id: u64,
    /// The flow's number.
    pub flow: u64,
    /// Whether an attempt may be repeated.
    pub idempotency: Idempotency,
    /// When the first line was written.
    pub accepted_at: Time,
    /// From then until the deadline.
    pub wait: Time,
    /// The balancer that was asked.
    pub balancer: usize,
}

impl ClientFlow<'_> {
    /// Waits for the one final answer, and goes on from there.
    pub async fn wait(
        &self,
        lines: &mut Lines,
        out: &mut OwnedWriteHalf,
        client: &Client,
        standing: bool,
    ) -> FlowOutcome {
        let shared = self.shared;
        let patience = span(self.wait + LATE_ANSWER_TIMEOUT);
        let ends = match standing {
            true => patience,
            false => span(client.ends.saturating_sub(shared.now())),
        };
        let answer = tokio::select! {
            answer = tokio::time::timeout(patience, lines.next_line()) => answer,
            () = tokio::time::sleep(ends) => {
                shared.observe(Observation::ClientLeft { at: shared.now(), flow: self.flow });
                return FlowOutcome::Done;
            }
        };
        let Ok(Ok(Some(answer))) = answer else {
            // Nothing, or an end without an answer: lost, unless the balancer has died.
            shared.lock().figures.unanswered += u64::from(!self.balancer_gone().await);
            let inner = &mut *shared.lock();
            return FlowOutcome::Retry(inner.population.failed(self.id, &shared.scenario));
        };
        let now = shared.now();
        let (word, rest) = answer.split_once(' ').unwrap_or((&answer, ""));
        let with = match word {
            "UP" => FinalAnswer::Connected,
            "BUSY" => FinalAnswer::Rejected,
            _ => FinalAnswer::Failed,
        };
        if !standing {
            self.observe_answer(now, client, with);
        }
        if with == FinalAnswer::Connected {
            {
                let mut inner = shared.lock();
                inner.population.connected(self.id);
                inner.standing += usize::from(standing);
            }
            return self.open(lines, out, client).await;
        }
        self.second_answer(lines).await;
        let inner = &mut *shared.lock();
        FlowOutcome::Retry(match (with, self.idempotency) {
            (FinalAnswer::Rejected, _) => {
                let retry_after = rest.trim().parse::<u64>().ok().map(|ms| ms * MS);
                inner
                    .population
                    .rejected(self.id, retry_after, &shared.scenario)
            }
            (_, Idempotency::NonIdempotent) if standing => None,
            _ => inner.population.failed(self.id, &shared.scenario),
        })
    }

    /// Records the answer of a flow that was not open before the run.
    fn observe_answer(&self, now: Time, client: &Client, with: FinalAnswer) {
        let target = seconds(self.shared.scenario.types[client.class].target);
        let mut inner = self.shared.lock();
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

    /// Listens a little longer: nothing may come after the one answer.
    async fn second_answer(&self, lines: &mut Lines) {
        let more = tokio::time::timeout(SECOND_ANSWER_TIMEOUT, lines.next_line()).await;
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
        tokio::time::sleep(BALANCER_DEATH_NOTICE).await;
        !self.shared.lock().alive[self.balancer]
    }

    /// Sends a line now and then and looks at what comes back, until one side ends.
    async fn open(
        &self,
        lines: &mut Lines,
        out: &mut OwnedWriteHalf,
        client: &Client,
    ) -> FlowOutcome {
        let shared = self.shared;
        let every = seconds(shared.scenario.clients.line_interval);
        let mut next = shared.now() + (every as f64 * shared.lock().rng.uniform()) as Time;
        let mut waiting = std::collections::VecDeque::new();
        let mut count = 0u64;
        loop {
            let now = shared.now();
            if shared.begun() && now >= client.ends {
                self.observe_client_close(now);
                return FlowOutcome::Done;
            }
            let wake = if shared.begun() {
                next.min(client.ends)
            } else {
                next
            };
            tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) if line == "MOVE" => {
                        // The other side closes it soon.
                        let _ = tokio::time::timeout(MIGRATION_CLOSE_TIMEOUT, lines.next_line()).await;
                        return self.ended(true).await;
                    }
                    Ok(Some(line)) if line.starts_with("ok ") => {
                        if let Some(sent) = waiting.pop_front() {
                            self.message_answered(client, sent);
                        }
                    }
                    Ok(Some(line)) if line.starts_with("LOAD ") => {}
                    Ok(Some(line)) => {
                        // No stand-in server wrote it.
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
                    if waiting.len() < PENDING_LINES_MAX {
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

    /// Records the answer to a line that was sent at that time.
    fn message_answered(&self, client: &Client, sent: Time) {
        let scenario = &self.shared.scenario;
        let target = seconds(scenario.types[client.class].message_target);
        let now = self.shared.now();
        let took = now - sent;
        let mut inner = self.shared.lock();
        inner.figures.message(now, took as f64 / 1e9, 1);
        if took <= target {
            inner.served += client.value * seconds(scenario.clients.line_interval) as f64 / 1e9;
        }
    }

    fn observe_client_close(&self, now: Time) {
        self.shared.observe(Observation::ConnectionClosed {
            at: now,
            flow: self.flow,
            by: ClosedBy::Client,
            client_notified: false,
            server_healthy: true,
        });
    }

    /// The connection has ended without the client's doing.
    async fn ended(&self, told: bool) -> FlowOutcome {
        let shared = self.shared;
        if told || !self.balancer_gone().await {
            let mut inner = shared.lock();
            let at = shared.now();
            inner.connection_broken(at, self.flow, told);
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
        FlowOutcome::Retry(
            inner
                .population
                .reconnect_delay(shared.now(), self.id, told),
        )
    }
}
