//! A stand-in client's flow. It waits for its single answer, sends lines at an interval and records
//! how it ends. It checks what the balancer sends and relies on none of it.

use std::sync::Arc;
use std::time::Duration;

use nettlemux_fleet_model::observation::{ClosedBy, FinalAnswer, Idempotency, Observation};
use nettlemux_fleet_model::population::Client;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{MS, Time};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::shared_run::SharedRun;
use super::to_duration;

/// How long a client listens past its deadline. An answer in this time is late or a second answer.
const LATE_ANSWER_TIMEOUT: Time = 300 * MS;
/// How long a client listens for a second answer after a rejection or a failure.
const SECOND_ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a client waits for the connection to close after it was told to migrate.
const MIGRATION_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long it takes until the death of a balancer's process is noticed. A connection that is closed
/// without an answer is only counted after this time, if the balancer is still alive.
const BALANCER_DEATH_NOTICE: Duration = Duration::from_millis(400);
/// Number of sent lines that may wait for their answers.
const PENDING_LINES_MAX: usize = 64;

/// Reader of the lines that a balancer sends.
type Lines = tokio::io::Lines<BufReader<OwnedReadHalf>>;

/// The outcome of a flow.
pub enum FlowOutcome {
    /// Retry after this time, or never if `None`.
    Retry(Option<Time>),
    /// The client has ended the flow and does not retry.
    Done,
}

/// A flow that its client has requested.
pub struct ClientFlow<'a> {
    /// The run.
    pub shared: &'a Arc<SharedRun>,
    /// The client's number.
    pub id: u64,
    /// The flow's number.
    pub flow: u64,
    /// Whether the flow may be repeated.
    pub idempotency: Idempotency,
    /// When the first line was written.
    pub accepted_at: Time,
    /// Time from the first line until the deadline.
    pub wait: Time,
    /// The balancer that the flow was requested from.
    pub balancer: usize,
}

impl ClientFlow<'_> {
    /// Waits for the single final answer. If it is `UP`, handles the open flow until it ends.
    pub async fn wait(
        &self,
        lines: &mut Lines,
        out: &mut OwnedWriteHalf,
        client: &Client,
        standing: bool,
    ) -> FlowOutcome {
        let shared = self.shared;
        let answer_timeout = to_duration(self.wait + LATE_ANSWER_TIMEOUT);
        let ends = match standing {
            true => answer_timeout,
            false => to_duration(client.planned_end.saturating_sub(shared.now())),
        };
        let answer = tokio::select! {
            answer = tokio::time::timeout(answer_timeout, lines.next_line()) => answer,
            () = tokio::time::sleep(ends) => {
                shared.observe(Observation::ClientLeft { at: shared.now(), flow: self.flow });
                return FlowOutcome::Done;
            }
        };
        let Ok(Ok(Some(answer))) = answer else {
            // No answer, or closed without an answer. It counts unless the balancer has died.
            shared.lock().figures.unanswered += u64::from(!self.balancer_died().await);
            let inner = &mut *shared.lock();
            return FlowOutcome::Retry(inner.population.record_failed(self.id, &shared.scenario));
        };
        let now = shared.now();
        let (word, rest) = answer.split_once(' ').unwrap_or((&answer, ""));
        let final_answer = match word {
            "UP" => FinalAnswer::Connected,
            "BUSY" => FinalAnswer::Rejected,
            _ => FinalAnswer::Failed,
        };
        if !standing {
            self.observe_answer(now, client, final_answer);
        }
        if final_answer == FinalAnswer::Connected {
            {
                let mut inner = shared.lock();
                inner.population.record_connected(self.id);
                inner.standing += usize::from(standing);
            }
            return self.run_open(lines, out, client).await;
        }
        self.observe_second_answer(lines).await;
        let inner = &mut *shared.lock();
        FlowOutcome::Retry(match (final_answer, self.idempotency) {
            (FinalAnswer::Rejected, _) => {
                let retry_after = rest.trim().parse::<u64>().ok().map(|ms| ms * MS);
                inner
                    .population
                    .record_rejected(self.id, retry_after, &shared.scenario)
            }
            (_, Idempotency::NonIdempotent) if standing => None,
            _ => inner.population.record_failed(self.id, &shared.scenario),
        })
    }

    /// Records the answer to a flow that is not a standing one.
    fn observe_answer(&self, now: Time, client: &Client, answer: FinalAnswer) {
        let target = seconds(self.shared.scenario.types[client.class].target);
        let mut inner = self.shared.lock();
        inner
            .figures
            .answered(now, answer, now - self.accepted_at, target);
        inner.figures.of_client(now, client, answer);
        inner.observe(Observation::Answered {
            at: now,
            flow: self.flow,
            answer,
        });
    }

    /// Listens a little longer and records a second answer, which breaks a rule.
    async fn observe_second_answer(&self, lines: &mut Lines) {
        let next = tokio::time::timeout(SECOND_ANSWER_TIMEOUT, lines.next_line()).await;
        if let Ok(Ok(Some(line))) = next {
            let answer = if line.starts_with("BUSY") {
                FinalAnswer::Rejected
            } else {
                FinalAnswer::Failed
            };
            self.shared.observe(Observation::Answered {
                at: self.shared.now(),
                flow: self.flow,
                answer,
            });
        }
    }

    /// Whether the balancer has died, checked after the time in which a death is noticed.
    async fn balancer_died(&self) -> bool {
        tokio::time::sleep(BALANCER_DEATH_NOTICE).await;
        !self.shared.lock().alive[self.balancer]
    }

    /// Sends lines at the interval of the scenario and processes the received lines, until one side
    /// closes the connection.
    async fn run_open(
        &self,
        lines: &mut Lines,
        out: &mut OwnedWriteHalf,
        client: &Client,
    ) -> FlowOutcome {
        let shared = self.shared;
        let interval = seconds(shared.scenario.clients.line_interval);
        let mut next = shared.now() + (interval as f64 * shared.lock().rng.uniform()) as Time;
        let mut pending = std::collections::VecDeque::new();
        let mut lines_sent = 0u64;
        loop {
            let now = shared.now();
            if shared.has_started() && now >= client.planned_end {
                self.observe_client_close(now);
                return FlowOutcome::Done;
            }
            let wake = if shared.has_started() {
                next.min(client.planned_end)
            } else {
                next
            };
            tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) if line == "MOVE" => {
                        // The server or the balancer closes the connection soon.
                        let _ = tokio::time::timeout(MIGRATION_CLOSE_TIMEOUT, lines.next_line()).await;
                        return self.handle_close(true).await;
                    }
                    Ok(Some(line)) if line.starts_with("ok ") => {
                        if let Some(sent) = pending.pop_front() {
                            self.record_line_answer(client, sent);
                        }
                    }
                    Ok(Some(line)) if line.starts_with("LOAD ") => {}
                    Ok(Some(line)) => {
                        // Stand-in servers send no such line: it is an answer of the balancer.
                        let answer = if line.starts_with("UP") { FinalAnswer::Connected } else { FinalAnswer::Failed };
                        shared.observe(Observation::Answered { at: shared.now(), flow: self.flow, answer });
                    }
                    Ok(None) | Err(_) => return self.handle_close(false).await,
                },
                () = tokio::time::sleep(to_duration(wake.saturating_sub(now))) => {
                    let now = shared.now();
                    if now < next {
                        continue;
                    }
                    next = now + interval;
                    lines_sent += 1;
                    shared.lock().figures.steps += 1;
                    if pending.len() < PENDING_LINES_MAX {
                        pending.push_back(now);
                        let line = format!("m{lines_sent}\r\n");
                        if out.write_all(line.as_bytes()).await.is_err() {
                            return self.handle_close(false).await;
                        }
                    }
                }
            }
        }
    }

    /// Records the answer to a line that was sent at `sent`.
    fn record_line_answer(&self, client: &Client, sent: Time) {
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

    /// Handles the end of a connection that the client did not close.
    async fn handle_close(&self, migrated: bool) -> FlowOutcome {
        let shared = self.shared;
        if migrated || !self.balancer_died().await {
            let mut inner = shared.lock();
            let at = shared.now();
            inner.record_connection_closed(at, self.flow, migrated);
        }
        let inner = &mut *shared.lock();
        let closed_by_server = inner
            .flows
            .get(&self.flow)
            .is_some_and(|state| state.closed_by_server.is_some());
        match (migrated, closed_by_server) {
            (true, false) => inner.figures.moves += 1,
            (false, _) => inner.figures.lost += 1,
            _ => {}
        }
        FlowOutcome::Retry(
            inner
                .population
                .reconnect_delay(shared.now(), self.id, migrated),
        )
    }
}
