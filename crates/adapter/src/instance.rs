//! One balancer: its module, the flows in its hands and its timer. It decides nothing.

use std::collections::BTreeMap;
use std::fmt::Write;

use nettlemux_policy::{Connect, Flow, FlowId, Listed, Outcome, Place, Policy, Rs, Time, Todo};
use nettlemux_settings::{Reports, Settings};

use crate::wire::{self, Malformed, Parts, Read};

pub struct Instance {
    policy: Policy,
    reports: Reports,
    flows: BTreeMap<FlowId, Flow>,
    /// Connects made, by flow: also of flows that have their answer.
    made: BTreeMap<FlowId, u32>,
    /// Flows to ask about again.
    held: Vec<FlowId>,
    timers: u64,
    armed: Option<Time>,
}

impl Instance {
    pub fn new(seed: u64, settings: &Settings) -> Read<Self> {
        // An answer goes out two batches before the client gives up.
        let margin = 2 * settings.time("tick")?;
        let policy = settings.policy(seed, margin, false)?;
        Ok(Instance {
            policy,
            reports: settings.reports(),
            flows: BTreeMap::new(),
            made: BTreeMap::new(),
            held: Vec::new(),
            timers: 0,
            armed: None,
        })
    }

    pub fn view(&mut self, now: Time, parts: &mut Parts, tables: &BTreeMap<u64, Vec<Listed>>) -> Read<()> {
        let kind = parts.word("kind")?;
        let _rev: Option<u64> = parts.maybe("rev")?;
        let table: Option<u64> = parts.maybe("table")?;
        let entries = || {
            let number = table.ok_or_else(|| Malformed::new("table", "absent"))?;
            tables.get(&number).ok_or_else(|| Malformed::new("table", format!("no list {number}")))
        };
        match kind {
            "patch" => self.policy.list(now, entries()?, false),
            "whole" | "stale_copy" => self.policy.list(now, entries()?, true),
            "broken" => self.policy.list_failed(now),
            other => return Err(Malformed::new("kind", format!("unknown kind of news '{other}'"))),
        }
        Ok(())
    }

    pub fn knock(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        let mut flow = Flow { id: parts.get("ref")?, taken: now, ..Flow::default() };
        flow.service_type = parts.get("category")?;
        flow.customer = parts.maybe("client-group")?.unwrap_or(0);
        let _item: Option<String> = parts.maybe("item")?;
        flow.give_up = now + parts.time("ttl")?;
        let _effort: Option<f64> = parts.maybe("effort")?;
        flow.group = parts.maybe("team-id")?;
        parts.flag("resent")?;
        parts.flag("rerouted")?;
        flow.returning = parts.flag("came-back")?;
        let place = self.policy.place(now, &flow);
        let id = flow.id;
        self.flows.insert(id, flow);
        self.answer(now, id, place, out);
        Ok(())
    }

    pub fn taken_over(&mut self, parts: &mut Parts) -> Read<()> {
        let mut flow = Flow { id: parts.get("ref")?, ..Flow::default() };
        flow.group = parts.maybe("team-id")?;
        parts.flag("came-back")?;
        let _item: Option<String> = parts.maybe("item")?;
        parts.flag("rerouted")?;
        parts.time("ttl")?;
        parts.flag("resent")?;
        flow.customer = parts.maybe("client-group")?.unwrap_or(0);
        flow.service_type = parts.maybe("category")?.unwrap_or(0);
        let _effort: Option<f64> = parts.maybe("effort")?;
        let rs: Rs = parts.get("server")?;
        self.made.insert(flow.id, 1);
        self.policy.inherit(&flow, rs);
        Ok(())
    }

    pub fn flowing(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        let flow = parts.get("ref")?;
        parts.get::<u32>("send-no")?;
        parts.get::<Rs>("server")?;
        let took = parts.time("time-taken")?;
        self.flows.remove(&flow);
        let todo = self.policy.after(now, Outcome::Established { flow, took });
        self.carry_out(todo, out);
        Ok(())
    }

    pub fn signal(&mut self, parts: &mut Parts) -> Read<()> {
        let flow = parts.get("ref")?;
        parts.get::<Rs>("server")?;
        let topic: u64 = parts.get("topic")?;
        parts.maybe::<u32>("send-no")?;
        let x: f64 = parts.get("x")?;
        if topic == 1 {
            self.policy.told_load(flow, x);
        }
        Ok(())
    }

    pub fn result(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        let flow: FlowId = parts.get("ref")?;
        let number: usize = parts.get("send-no")?;
        let rs: Rs = parts.get("server")?;
        let (end, never_ran) = wire::end(parts.word("reason")?)?;
        parts.time("time-taken")?;
        let closed = parts.flag("closed")?;
        let report = wire::report(parts.word("report")?, &self.reports)?;
        // The server's own word, as a probe brings it.
        if report.beta.is_some() {
            let todo = self.policy.after(now, Outcome::Probed { rs, passed: true, report });
            self.carry_out(todo, out);
        }
        if closed {
            self.flows.remove(&flow);
        }
        if let Some(connect) = self.flows.get_mut(&flow).and_then(|f| f.connects.get_mut(number)) {
            (connect.out, connect.never_ran) = (false, never_ran);
        }
        let owed = self.flows.get(&flow);
        let todo = self.policy.after(now, Outcome::Ended { flow, rs, end, owed });
        if let Some(place) = todo.place {
            self.answer(now, flow, place, out);
        } else if owed.is_none() {
            self.made.remove(&flow);
        }
        self.carry_out(todo, out);
        Ok(())
    }

    pub fn lapsed(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        let flow = parts.get("ref")?;
        self.flows.remove(&flow);
        let todo = self.policy.after(now, Outcome::Left { flow });
        self.carry_out(todo, out);
        Ok(())
    }

    pub fn pong(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        parts.time("time-taken")?;
        let rs = parts.get("server")?;
        let (end, _) = wire::end(parts.word("reason")?)?;
        let report = wire::report(parts.word("report")?, &self.reports)?;
        let passed = end == nettlemux_policy::End::Done;
        let todo = self.policy.after(now, Outcome::Probed { rs, passed, report });
        self.carry_out(todo, out);
        Ok(())
    }

    pub fn reminder(&mut self, now: Time, parts: &mut Parts, out: &mut String) -> Read<()> {
        if parts.get::<u64>("ref")? == self.timers {
            self.armed = None;
        }
        let todo = self.policy.after(now, Outcome::Elapsed);
        for id in std::mem::take(&mut self.held) {
            if let Some(flow) = self.flows.get(&id) {
                let place = self.policy.place(now, flow);
                self.answer(now, id, place, out);
            }
        }
        self.carry_out(todo, out);
        Ok(())
    }

    /// Sets the timer where the module wants to be asked sooner than it is set.
    pub fn arm(&mut self, now: Time, out: &mut String) {
        let Some(wait) = self.policy.wait(now) else { return };
        // Never in the batch that is being answered, and no longer than the wire takes.
        let wait = wait.clamp(1_000_000, 3_600_000_000_000);
        if self.armed.is_none_or(|at| now + wait < at) {
            self.timers += 1;
            self.armed = Some(now + wait);
            writeln!(out, "TIMER {} {}", self.timers, wire::micros(wait)).expect("a string takes all");
        }
    }

    fn answer(&mut self, now: Time, id: FlowId, place: Place, out: &mut String) {
        let write = match place {
            Place::To(rs, limit) => {
                let Some(flow) = self.flows.get_mut(&id) else { return };
                flow.connects.push(Connect { rs, at: now, out: true, never_ran: false });
                self.made.insert(id, flow.connects.len() as u32);
                writeln!(out, "SUBMIT_TO {id} {rs} {}", wire::micros(limit))
            }
            Place::NotYet => {
                self.held.push(id);
                return;
            }
            Place::Reject(come_back) => {
                self.flows.remove(&id);
                writeln!(out, "DECLINE {id} {}", wire::micros(come_back.unwrap_or(0)))
            }
            Place::Abort => {
                self.flows.remove(&id);
                writeln!(out, "REPORT_FAILURE {id}")
            }
        };
        write.expect("a string takes all");
    }

    fn carry_out(&mut self, todo: Todo, out: &mut String) {
        for rs in todo.probe {
            writeln!(out, "PROBE {rs}").expect("a string takes all");
        }
        for id in todo.shift {
            writeln!(out, "GO_AWAY {id}").expect("a string takes all");
        }
        for id in todo.call_off {
            if let Some(last) = self.made.get(&id).and_then(|made| made.checked_sub(1)) {
                writeln!(out, "RECALL {id} {last}").expect("a string takes all");
            }
        }
        if todo.ask_list {
            out.push_str("TRACK 1\n");
        }
    }
}
