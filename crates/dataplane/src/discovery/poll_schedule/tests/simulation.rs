//! One balancer's calls to a simulated agent or service, in virtual time.

use super::*;

/// What happens to a call, in time from its arrival, or from the end of its hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// It is answered after this time with the list as it was before it.
    Answered(Time),
    /// It is answered that it is turned away.
    Rejected(Time),
    /// Its connection is refused, or reset after this time.
    Reset(Time),
    /// It is never answered.
    Silent,
}

use Fate::{Answered, Rejected, Reset, Silent};

impl Fate {
    /// Returns when the balancer hears of a call that is processed at this time; never if it is lost.
    pub fn end(self, processed_at: Time) -> Time {
        match self {
            Answered(time) | Rejected(time) | Reset(time) => processed_at + time,
            Silent => Time::MAX,
        }
    }
}

/// A call in flight.
pub struct SimulatedCall {
    pub number: CallNumber,
    fate: Fate,
    /// When discovery reads the list for it.
    processed_at: Time,
    /// When the balancer hears of it; never if it is lost.
    ends_at: Time,
}

/// A balancer's calls to a simulated agent or service.
pub struct Simulation {
    pub schedule: PollSchedule,
    discovery: Discovery,
    pub now: Time,
    pub calls: Vec<SimulatedCall>,
    /// What happens to the next calls, and to all later ones.
    pub next_fates: Vec<Fate>,
    pub later_fate: Fate,
    reloads: RecentReloads,
    /// When the list changes.
    changes_at: Time,
    /// When the balancer has learned of the change.
    known_at: Option<Time>,
    /// Whether the balancer knows a list of the agent that it calls.
    has_list: bool,
    pub starts: Vec<Time>,
    /// The most calls in flight at a time.
    pub concurrent_calls_max: usize,
}

impl Simulation {
    /// Returns a process that starts at this time, with a change of the list at the same time.
    pub fn new(discovery: Discovery, seed: u64, now: Time) -> Self {
        Simulation {
            schedule: PollSchedule::new(seed, now),
            discovery,
            now,
            calls: Vec::new(),
            next_fates: Vec::new(),
            later_fate: Answered(0),
            reloads: RecentReloads::default(),
            changes_at: now,
            known_at: None,
            has_list: false,
            starts: Vec::new(),
            concurrent_calls_max: 0,
        }
    }

    /// Returns a process that has known the list for some time, with its next change at
    /// `changes_at`.
    pub fn watching(discovery: Discovery, seed: u64, changes_at: Time) -> Self {
        let mut simulation = Simulation::new(discovery, seed, 0);
        simulation.run_until(SEC);
        simulation.change_list_at(changes_at);
        simulation
    }

    pub fn change_list_at(&mut self, time: Time) {
        self.changes_at = time;
        self.known_at = None;
    }

    /// Reloads the configuration, with another agent.
    pub fn move_agent(&mut self) {
        self.calls.clear();
        self.change_list_at(self.now);
        self.has_list = false;
        self.schedule.change_agent(self.now);
        self.reloads.record(self.now);
        self.schedule.set_reloads(self.reloads, self.context());
    }

    pub fn context(&self) -> PollContext {
        PollContext {
            now: self.now,
            discovery: self.discovery,
            needs_complete_list: !self.has_list,
        }
    }

    /// Ends an outage: calls in a queue are answered at their turn.
    pub fn recover(&mut self) {
        for call in &mut self.calls {
            if let Rejected(time) = call.fate {
                call.fate = Answered(time);
                call.processed_at = call.ends_at;
            }
        }
    }

    /// Plays until `end`.
    pub fn run_until(&mut self, end: Time) {
        while self.step(end) {}
    }

    /// Plays until the change is known, for a minute at most. Returns the time since `start`.
    pub fn time_until_known(&mut self, start: Time) -> Time {
        let end = self.now + 60 * SEC;
        while self.known_at.is_none() && self.step(end) {}
        self.known_at.unwrap_or(Time::MAX) - start
    }

    /// Plays the next event until `end`. Returns false if there is none.
    pub fn step(&mut self, end: Time) -> bool {
        for action in self.schedule.advance(self.context()) {
            match action {
                PollAction::Start(call) => self.start(call),
                PollAction::GiveUp(number) | PollAction::Replace(number) => {
                    self.calls.retain(|call| call.number != number);
                }
            }
        }
        let call_end = self.calls.iter().map(|call| call.ends_at).min();
        let call_end = call_end.unwrap_or(Time::MAX);
        let next = self.schedule.wake_at().min(call_end);
        assert!(next > self.now || next == call_end, "busy loop");
        self.now = next.min(end);
        if call_end <= end && next == call_end {
            self.end_call();
        }
        next <= end
    }

    fn start(&mut self, call: NewCall) {
        let fate = match self.next_fates.is_empty() {
            true => self.later_fate,
            false => self.next_fates.remove(0),
        };
        let hold_ends_at = self.now + call.hold;
        let processed_at = match self.known_at {
            Some(_) => hold_ends_at,
            None => hold_ends_at.min(self.changes_at.max(self.now)),
        };
        let ends_at = match fate {
            Answered(_) => fate.end(processed_at),
            _ => fate.end(self.now),
        };
        self.starts.push(self.now);
        self.calls.push(SimulatedCall {
            number: call.number,
            fate,
            processed_at,
            ends_at,
        });
        self.concurrent_calls_max = self.concurrent_calls_max.max(self.calls.len());
    }

    /// Ends the call that ends now.
    fn end_call(&mut self) {
        let index = self.calls.iter().position(|call| call.ends_at == self.now);
        let call = self.calls.remove(index.expect("a call that ends now"));
        let context = self.context();
        let kind = match call.fate {
            Answered(_) => return self.answered(&call),
            Rejected(_) => FailureKind::BadResponse,
            Reset(_) | Silent => FailureKind::ConnectionLost,
        };
        assert!(self.schedule.record_failure(call.number, kind, context));
    }

    fn answered(&mut self, call: &SimulatedCall) {
        let context = self.context();
        let response_time = self.schedule.record_answer(call.number, context);
        assert!(response_time.is_some(), "waited for");
        self.calls.clear();
        self.has_list = true;
        if self.known_at.is_none() && call.processed_at >= self.changes_at {
            self.known_at = Some(self.now);
        }
    }
}
