//! One balancer: its module, the flows in its hands and its timer. It decides nothing.

use std::collections::BTreeMap;
use std::fmt::Write;

use nettlemux_flow_table::{AttemptOutcome, ClientIdentity, FlowTable, PolicyCommand};
use nettlemux_policy::{Endpoint, Flow, FlowId, GroupPlacement, ServerId, Time};
use nettlemux_settings::{LoadReportFormat, Settings};

use crate::wire::{self, Malformed, Parts, Read};

pub struct Instance {
    flow_table: FlowTable,
    reports: LoadReportFormat,
    timers: u64,
    armed: Option<Time>,
}

impl Instance {
    pub fn new(seed: u64, settings: &Settings) -> Read<Self> {
        // An answer goes out two batches before the client gives up.
        let margin = 2 * settings.time("tick")?;
        let policy = settings.policy(seed, margin, false)?;
        Ok(Instance {
            flow_table: FlowTable::new(policy),
            reports: settings.reports(),
            timers: 0,
            armed: None,
        })
    }

    pub fn view(
        &mut self,
        now: Time,
        parts: &mut Parts,
        tables: &BTreeMap<u64, Vec<Endpoint>>,
    ) -> Read<()> {
        let kind = parts.word("kind")?;
        let _rev: Option<u64> = parts.maybe("rev")?;
        let table: Option<u64> = parts.maybe("table")?;
        let entries = || {
            let number = table.ok_or_else(|| Malformed::new("table", "absent"))?;
            tables
                .get(&number)
                .ok_or_else(|| Malformed::new("table", format!("no list {number}")))
        };
        match kind {
            "patch" => self.flow_table.update_endpoints(now, entries()?, false),
            "whole" | "stale_copy" => self.flow_table.update_endpoints(now, entries()?, true),
            "broken" => self.flow_table.endpoint_poll_failed(now),
            other => {
                return Err(Malformed::new(
                    "kind",
                    format!("unknown kind of news '{other}'"),
                ));
            }
        }
        Ok(())
    }

    pub fn knock(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        let mut flow = Flow {
            id: parts.get("ref")?,
            accepted_at: now,
            ..Flow::default()
        };
        flow.class = parts.get("category")?;
        flow.tenant = parts.maybe("client-group")?.unwrap_or(0);
        let _item: Option<String> = parts.maybe("item")?;
        flow.deadline = now + parts.time("ttl")?;
        let _effort: Option<f64> = parts.maybe("effort")?;
        flow.group = parts.maybe("team-id")?;
        parts.flag("resent")?;
        parts.flag("rerouted")?;
        flow.reconnecting = parts.flag("came-back")?;
        self.commands(out, |flow_table, commands| {
            flow_table.accept(now, flow, ClientIdentity::default(), commands)
        });
        Ok(())
    }

    pub fn taken_over(&mut self, parts: &mut Parts) -> Read<()> {
        let mut flow = Flow {
            id: parts.get("ref")?,
            ..Flow::default()
        };
        flow.group = parts.maybe("team-id")?;
        parts.flag("came-back")?;
        let _item: Option<String> = parts.maybe("item")?;
        parts.flag("rerouted")?;
        parts.time("ttl")?;
        parts.flag("resent")?;
        flow.tenant = parts.maybe("client-group")?.unwrap_or(0);
        flow.class = parts.maybe("category")?.unwrap_or(0);
        let _effort: Option<f64> = parts.maybe("effort")?;
        let server_id: ServerId = parts.get("server")?;
        self.flow_table.adopt_connection(flow, server_id);
        Ok(())
    }

    pub fn flowing(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        let flow = parts.get("ref")?;
        parts.get::<u32>("send-no")?;
        parts.get::<ServerId>("server")?;
        let took = parts.time("time-taken")?;
        self.commands(out, |flow_table, commands| {
            flow_table.connected(now, flow, took, commands)
        });
        Ok(())
    }

    pub fn signal(&mut self, parts: &mut Parts) -> Read<()> {
        let flow = parts.get("ref")?;
        parts.get::<ServerId>("server")?;
        let topic: u64 = parts.get("topic")?;
        parts.maybe::<u32>("send-no")?;
        let x: f64 = parts.get("x")?;
        if topic == 1 {
            self.flow_table.update_connection_load(flow, x);
        }
        Ok(())
    }

    pub fn result(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        let flow: FlowId = parts.get("ref")?;
        let number: usize = parts.get("send-no")?;
        let server_id: ServerId = parts.get("server")?;
        let (end, known_unexecuted) = wire::end(parts.word("reason")?)?;
        parts.time("time-taken")?;
        let closed = parts.flag("closed")?;
        let report = wire::report(parts.word("report")?, &self.reports)?;
        if closed {
            self.flow_table.mark_answered(flow);
        }
        self.commands(out, |flow_table, commands| {
            let outcome = AttemptOutcome {
                flow,
                number,
                server_id,
                end,
                known_unexecuted,
                report,
            };
            flow_table.attempt_ended(now, outcome, commands)
        });
        self.give_back(flow);
        Ok(())
    }

    pub fn lapsed(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        let flow = parts.get("ref")?;
        self.commands(out, |flow_table, commands| {
            flow_table.client_left(now, flow, commands)
        });
        self.give_back(flow);
        Ok(())
    }

    pub fn pong(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        parts.time("time-taken")?;
        let server_id = parts.get("server")?;
        let (end, _) = wire::end(parts.word("reason")?)?;
        let report = wire::report(parts.word("report")?, &self.reports)?;
        let passed = end == nettlemux_policy::AttemptEnd::Done;
        self.commands(out, |flow_table, commands| {
            flow_table.health_checked(now, server_id, passed, report, commands)
        });
        Ok(())
    }

    pub fn memo(&mut self, now: Time, parts: &mut Parts) -> Read<()> {
        parts.get::<u64>("from")?;
        let bytes = wire::bytes(parts.word("content")?)?;
        // What another version tells is none of ours to judge.
        if let Some(placement) = GroupPlacement::from_bytes(&bytes) {
            self.flow_table.receive_gossip(now, placement);
        }
        Ok(())
    }

    pub fn reminder(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        if parts.get::<u64>("ref")? == self.timers {
            self.armed = None;
        }
        self.commands(out, |flow_table, commands| {
            flow_table.timer_expired(now, commands)
        });
        Ok(())
    }

    /// Sets the timer where the module wants to be asked sooner than it is set.
    pub fn arm(&mut self, now: Time, out: &mut String) {
        let Some(wait) = self.flow_table.time_to_next_timer(now) else {
            return;
        };
        // Never in the batch that is being answered, and no longer than the wire takes.
        let wait = wait.clamp(1_000_000, 3_600_000_000_000);
        if self.armed.is_none_or(|at| now + wait < at) {
            self.timers += 1;
            self.armed = Some(now + wait);
            writeln!(out, "TIMER {} {}", self.timers, wire::micros(wait))
                .expect("a string takes all");
        }
    }

    /// Asks the module by way of the hand, and writes what it says.
    fn commands(
        &mut self,
        out: &mut String,
        ask: impl FnOnce(&mut FlowTable, &mut Vec<PolicyCommand>),
    ) {
        let mut commands = Vec::new();
        ask(&mut self.flow_table, &mut commands);
        for command in commands {
            let write = match command {
                PolicyCommand::StartAttempt {
                    flow,
                    server_id,
                    timeout,
                    ..
                } => {
                    writeln!(
                        out,
                        "SUBMIT_TO {flow} {server_id} {}",
                        wire::micros(timeout)
                    )
                }
                PolicyCommand::Reject { flow, retry_after } => {
                    self.give_back(flow);
                    writeln!(
                        out,
                        "DECLINE {flow} {}",
                        wire::micros(retry_after.unwrap_or(0))
                    )
                }
                PolicyCommand::Fail { flow } => {
                    self.give_back(flow);
                    writeln!(out, "REPORT_FAILURE {flow}")
                }
                PolicyCommand::CheckHealth { server_id } => writeln!(out, "PROBE {server_id}"),
                PolicyCommand::Migrate { flow } => writeln!(out, "GO_AWAY {flow}"),
                PolicyCommand::CancelAttempt { flow, number }
                    if self.flow_table.has_attempt_in_flight(flow) =>
                {
                    writeln!(out, "RECALL {flow} {number}")
                }
                PolicyCommand::CancelAttempt { .. } => Ok(()),
                PolicyCommand::Gossip(placement) => {
                    writeln!(out, "NOTIFY -1 {}", wire::hex(&placement.to_bytes()))
                }
                PolicyCommand::PollEndpoints => writeln!(out, "TRACK 1"),
            };
            write.expect("a string takes all");
        }
    }

    /// Lets go of a flow that is owed nothing and has no attempt in flight: it has ended.
    fn give_back(&mut self, flow: FlowId) {
        if !self.flow_table.awaits_answer(flow) && !self.flow_table.has_attempt_in_flight(flow) {
            // Nothing is out, so nothing is said.
            self.flow_table.remove(0, flow, &mut Vec::new());
        }
    }
}
