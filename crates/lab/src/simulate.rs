//! A scenario in virtual time. It owns the order of events (by time, then by when they were planned), the balancers' flows in hand
//! and the connections between clients and servers, and gives each back in one place (`Run::close`). The brains decide,
//! the model answers, the judge watches; here nothing is decided. Same scenario, same seed, same brains: same record.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;

use nettlemux_door::Door;
use nettlemux_hand::{Act, Brain, Hand};
use nettlemux_policy::{End, Flow, FlowId, MS, Report, SEC, State, Time};
use nettlemux_settings::Settings;
use nettlemux_settings::operator::By;
use nettlemux_world::crowd::{Client, Crowd, Front};
use nettlemux_world::dice::Dice;
use nettlemux_world::fleet::{Happening, World};
use nettlemux_world::scenario::{Scenario, seconds};
use nettlemux_world::seen::{Ender, Final, Kind, Seen, VERSION};
use nettlemux_world::server::{Life, Offer};
use serde_json::Value;

use crate::brains;
use crate::figures::{Figures, Gather};
use crate::file;
use crate::mischief::Mischief;
use crate::record::Writer;
use crate::rules::{Rules, Verdict};

mod answers;
mod attempts;
mod clients;
mod commands;
mod connections;
mod discovery;
mod event;
mod model;
mod probes;
mod restarts;
mod run;
mod startup;
mod state;

use run::Run;
use state::*;

/// How often the model is moved on.
const TICK: Time = 100 * MS;
/// And the figures that walk all servers are taken.
const SAMPLE: Time = 500 * MS;
/// A balancer notices that a server has gone silent under its connections after 5 s without an answer to a line, which
/// clients send every 2 s.
const SILENCE: [Time; 2] = [5 * SEC, 7 * SEC];
/// A probe that has brought nothing by then has failed.
const PROBE: Time = 500 * MS;
/// How long a client waits past its connect timeout before it takes its flow for lost.
const PATIENCE: Time = 100 * MS;
/// The course of a planned end, as the balancer on sockets has it: the front stops dealing to it, its clients begin to be moved,
/// what is owed is given up, the last is moved, it ends.
const DEALT: Time = 300 * MS;
const MOVES_FROM: Time = 1500 * MS;
const LAST_ANSWER: Time = 3 * SEC;
const MOVES_TO: Time = 3200 * MS;
const ENDS: Time = 3500 * MS;
const STEP: Time = 50 * MS;
/// Between one balancer's return and the next one's end when they are restarted in turn.
const IN_TURN: Time = SEC;
/// Under the same name a restarted balancer draws differently.
const EPOCH_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// What decides at a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Brain(brains::Kind),
    Mischief(Mischief),
}

impl Who {
    pub fn name(self) -> &'static str {
        match self {
            Who::Brain(kind) => kind.name(),
            Who::Mischief(mischief) => mischief.name(),
        }
    }
}

/// What a run comes to.
pub struct Outcome {
    pub figures: Figures,
    pub verdict: Verdict,
}

/// Runs a scenario.
///
/// # Errors
/// The record can't be written.
pub fn simulate(
    scenario: &Scenario,
    seed: u64,
    who: Who,
    record: Option<&mut Writer>,
) -> io::Result<Outcome> {
    let mut run = Run::new(scenario.clone(), seed, who, record);
    run.begin();
    while let Some(Reverse((at, _, what))) = run.queue.pop() {
        if at > run.end {
            break;
        }
        run.now = at;
        run.gather.steps += 1;
        run.step(what);
    }
    run.now = run.end;
    if let Some(e) = run.failed {
        return Err(e);
    }
    let standing = run.flows.values().filter(|live| live.phase == Phase::Open).count();
    let verdict = run.rules.finish(run.end);
    Ok(Outcome { figures: run.gather.finish(standing, &verdict), verdict })
}
