//! The flows in a balancer's hands. A [`Hand`] owns one decision module, the flows that it has been asked about and the
//! time at which it wants to be asked again; it turns what the module says into [`Act`]s, in the order in which they are to
//! be carried out. The balancer on sockets, the adapter and the laboratory all keep their flows here, so that none of
//! them keeps them differently. It has no I/O, clock, thread or chance of its own and must never decide
//! anything: where a flow goes, whether it goes again and what is refused is the module's word.

use std::collections::BTreeMap;

use nettlemux_admission::{Config, Door, LOOK_AGAIN, Ticket, Turn};
use nettlemux_policy::{
    Actions, Attempt, AttemptEnd, Endpoint, Flow, FlowId, GroupPlacement, LoadReport, Placement,
    Policy, PolicyEvent, ServerId, Time,
};

/// What is asked of a decision module; times are nanoseconds of the caller's clock. [`Policy`] is the one that serves;
/// the laboratory has others to compare it with.
pub trait Brain {
    fn place(&mut self, now: Time, flow: &Flow) -> Placement;
    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions;
    fn time_to_next_timer(&self, now: Time) -> Option<Time>;
    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool);
    fn endpoint_poll_failed(&mut self, now: Time);
    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId);
    fn update_connection_load(&mut self, flow: FlowId, load: f64);
    /// Other settings from now on; only the module that serves takes any.
    fn apply_settings(&mut self, _new: Policy) {}
    /// A gossip message of another balancer; those that don't listen need do nothing.
    fn receive_gossip(&mut self, _now: Time, _placement: GroupPlacement) {}
}

impl Brain for Policy {
    fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        Policy::place(self, now, flow)
    }
    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        Policy::on_event(self, now, event)
    }
    fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        Policy::time_to_next_timer(self, now)
    }
    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        Policy::update_endpoints(self, now, entries, is_complete);
    }
    fn endpoint_poll_failed(&mut self, now: Time) {
        Policy::endpoint_poll_failed(self, now);
    }
    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        Policy::adopt_connection(self, flow, server_id);
    }
    fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        Policy::update_connection_load(self, flow, load);
    }
    fn apply_settings(&mut self, new: Policy) {
        Policy::apply_settings(self, new);
    }
    fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        Policy::receive_gossip(self, now, placement);
    }
}

impl Brain for Box<dyn Brain> {
    fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        (**self).place(now, flow)
    }
    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        (**self).on_event(now, event)
    }
    fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        (**self).time_to_next_timer(now)
    }
    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        (**self).update_endpoints(now, entries, is_complete);
    }
    fn endpoint_poll_failed(&mut self, now: Time) {
        (**self).endpoint_poll_failed(now);
    }
    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        (**self).adopt_connection(flow, server_id);
    }
    fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        (**self).update_connection_load(flow, load);
    }
    fn apply_settings(&mut self, new: Policy) {
        (**self).apply_settings(new);
    }
    fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        (**self).receive_gossip(now, placement);
    }
}

/// What is to be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Make this flow's attempt of that number, and wait for it so long; it is not made if it isn't sent within `by`.
    Attempt {
        flow: FlowId,
        server_id: ServerId,
        number: usize,
        limit: Time,
        by: Time,
    },
    Reject {
        flow: FlowId,
        retry_after: Option<Time>,
    },
    Fail {
        flow: FlowId,
    },
    /// Send its client away.
    Move {
        flow: FlowId,
    },
    /// Stop waiting for the attempt of that number: its client is gone.
    CallOff {
        flow: FlowId,
        number: usize,
    },
    Probe {
        server_id: ServerId,
    },
    /// Ask for the list.
    AskList,
    /// Tell the other balancers.
    Gossip(GroupPlacement),
}

/// Who asks, for the door: whose turn a flow takes, and when it is too late for one. Nobody's where there is no door.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Who {
    /// The tenant or client whose turn it takes.
    pub key: u64,
    /// The client, to be known again.
    pub client: u64,
    /// It says that it has tried before.
    pub retry: bool,
    /// When its latency objective runs out.
    pub target: Time,
}

struct InHand {
    flow: Flow,
    /// Still owed an answer.
    owed: bool,
}

/// The flows in hand and the module that says what becomes of them.
pub struct Hand<B = Policy> {
    brain: B,
    flows: BTreeMap<FlowId, InHand>,
    /// Flows to ask about again.
    held: Vec<FlowId>,
    /// Before the module, where there is one.
    door: Option<Door>,
    /// Clients may be told when to come back.
    tells: bool,
}

impl<B: Brain> Hand<B> {
    pub fn new(brain: B) -> Self {
        Hand {
            brain,
            flows: BTreeMap::new(),
            held: Vec::new(),
            door: None,
            tells: true,
        }
    }

    /// Puts a door before the module. `tells`: clients may be told when to come back.
    pub fn with_door(mut self, door: Door, tells: bool) -> Self {
        (self.door, self.tells) = (Some(door), tells);
        self
    }

    /// The module goes on under other settings, with all flows that are in hand.
    pub fn apply_settings(&mut self, new: Policy) {
        self.brain.apply_settings(new);
    }

    /// New limits and weights for the door, where there is one; nobody who waits is dropped.
    pub fn change_door(&mut self, config: Config) {
        if let Some(door) = &mut self.door {
            door.change(config);
        }
    }

    pub fn door(&self) -> Option<&Door> {
        self.door.as_ref()
    }

    /// How long until [`Hand::elapsed`] is to be called at the latest; none where nothing is due.
    pub fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        let door = self.door.as_ref().filter(|door| door.waiting() > 0);
        let door = door
            .and_then(Door::due)
            .map(|at| at.saturating_sub(now).min(LOOK_AGAIN));
        self.brain
            .time_to_next_timer(now)
            .into_iter()
            .chain(door)
            .min()
    }

    /// A flow that has just been taken: it is owed an answer from now on.
    pub fn take(&mut self, now: Time, flow: Flow, who: Who, acts: &mut Vec<Act>) {
        let id = flow.id;
        let Some(door) = &mut self.door else {
            let place = self.brain.place(now, &flow);
            self.flows.insert(id, InHand { flow, owed: true });
            return self.answer(now, id, place, acts);
        };
        self.flows.insert(id, InHand { flow, owed: true });
        let mut turns = Vec::new();
        let Who {
            key,
            client,
            retry,
            target,
        } = who;
        door.arrives(
            now,
            Ticket {
                flow: id,
                key,
                client,
                retry,
                target,
            },
            &mut turns,
        );
        self.turned(now, turns, acts);
        self.let_in(now, acts);
    }

    /// Lets in whose turn it is, until the module holds as many as it may or nobody waits.
    fn let_in(&mut self, now: Time, acts: &mut Vec<Act>) {
        while let Some(door) = &mut self.door {
            door.holds(&self.held);
            let mut turns = Vec::new();
            door.turns(now, &mut turns);
            if turns.is_empty() {
                return;
            }
            self.turned(now, turns, acts);
        }
    }

    fn turned(&mut self, now: Time, turns: Vec<Turn>, acts: &mut Vec<Act>) {
        for turn in turns {
            match turn {
                Turn::Enters(id) => {
                    let Some(in_hand) = self.flows.get(&id).filter(|f| f.owed) else {
                        continue;
                    };
                    let place = self.brain.place(now, &in_hand.flow);
                    self.answer(now, id, place, acts);
                }
                // No attempt was made, so coming again is safe whatever the traffic class.
                Turn::SentAway(flow, _, wait) => {
                    self.settle(flow);
                    acts.push(Act::Reject {
                        flow,
                        retry_after: self.tells.then_some(wait),
                    });
                }
            }
        }
    }

    /// A connection that was open at that server before the balancer started.
    pub fn adopt_connection(&mut self, flow: Flow, server_id: ServerId) {
        self.brain.adopt_connection(&flow, server_id);
        self.flows.insert(flow.id, InHand { flow, owed: false });
    }

    /// An attempt was answered with a connection: the client has its answer.
    pub fn connected(&mut self, now: Time, flow: FlowId, took: Time, acts: &mut Vec<Act>) {
        self.settle(flow);
        if let Some(door) = &mut self.door {
            door.flow_connected(now);
        }
        let actions = self
            .brain
            .on_event(now, PolicyEvent::Connected { flow, took });
        self.carry_out(actions, acts);
        self.let_in(now, acts);
    }

    /// An attempt, or the connection that it became, has ended. `known_unexecuted`: the attempt is known not to have run.
    #[allow(clippy::too_many_arguments)]
    pub fn ended(
        &mut self,
        now: Time,
        (flow, number): (FlowId, usize),
        server_id: ServerId,
        (end, known_unexecuted): (AttemptEnd, bool),
        report: LoadReport,
        acts: &mut Vec<Act>,
    ) {
        // A load report that came with an answer counts like a probe's: it is the server's own.
        if report.utilization.is_some() {
            self.probed(now, server_id, true, report, acts);
        }
        let mut owed = None;
        if let Some(in_hand) = self.flows.get_mut(&flow) {
            if let Some(attempt) = in_hand.flow.attempts.get_mut(number) {
                (attempt.in_flight, attempt.known_unexecuted) = (false, known_unexecuted);
            }
            owed = in_hand.owed.then_some(&in_hand.flow);
        }
        let actions = self.brain.on_event(
            now,
            PolicyEvent::AttemptEnded {
                flow,
                server_id,
                end,
                owed,
            },
        );
        if let Some(place) = actions.placement {
            self.answer(now, flow, place, acts);
        }
        self.carry_out(actions, acts);
        self.let_in(now, acts);
    }

    /// The client went away: it is owed nothing any more.
    pub fn left(&mut self, now: Time, flow: FlowId, acts: &mut Vec<Act>) {
        self.settle(flow);
        if let Some(door) = &mut self.door
            && door.waits(flow)
        {
            // The module was never asked about it.
            return door.over(flow);
        }
        let actions = self.brain.on_event(now, PolicyEvent::ClientLeft { flow });
        self.carry_out(actions, acts);
    }

    pub fn probed(
        &mut self,
        now: Time,
        server_id: ServerId,
        passed: bool,
        report: LoadReport,
        acts: &mut Vec<Act>,
    ) {
        let actions = self.brain.on_event(
            now,
            PolicyEvent::HealthChecked {
                server_id,
                passed,
                report,
            },
        );
        self.carry_out(actions, acts);
    }

    /// The wait has passed: what was held is asked about again.
    pub fn elapsed(&mut self, now: Time, acts: &mut Vec<Act>) {
        let actions = self.brain.on_event(now, PolicyEvent::TimerExpired);
        for id in std::mem::take(&mut self.held) {
            if let Some(in_hand) = self.flows.get(&id).filter(|f| f.owed) {
                let place = self.brain.place(now, &in_hand.flow);
                self.answer(now, id, place, acts);
            }
        }
        self.carry_out(actions, acts);
        if let Some(door) = &mut self.door {
            door.look(now);
        }
        self.let_in(now, acts);
    }

    pub fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        self.brain.update_connection_load(flow, load);
    }

    pub fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        self.brain.update_endpoints(now, entries, is_complete);
    }

    /// A gossip message of another balancer.
    pub fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        self.brain.receive_gossip(now, placement);
    }

    pub fn endpoint_poll_failed(&mut self, now: Time) {
        self.brain.endpoint_poll_failed(now);
    }

    /// The flow is owed no answer any more, for a reason that the module is not asked about.
    pub fn settle(&mut self, flow: FlowId) {
        if let Some(in_hand) = self.flows.get_mut(&flow) {
            in_hand.owed = false;
        }
    }

    /// Aborts a flow without asking the module, which has failed on it.
    pub fn fail(&mut self, now: Time, flow: FlowId, acts: &mut Vec<Act>) {
        self.answer(now, flow, Placement::Fail, acts);
    }

    /// From now on no flow that is owed an answer has longer than till then; returns these. Nobody waits at the door any
    /// more.
    pub fn cut_short(&mut self, at: Time, acts: &mut Vec<Act>) -> Vec<FlowId> {
        if let Some(door) = &mut self.door {
            door.close();
            self.let_in(at, acts);
        }
        let owed = self.flows.iter_mut().filter(|(_, f)| f.owed);
        owed.map(|(id, in_hand)| {
            in_hand.flow.deadline = in_hand.flow.deadline.min(at);
            *id
        })
        .collect()
    }

    /// Nothing more comes of this flow: the one place where it is given back.
    pub fn over(&mut self, now: Time, flow: FlowId, acts: &mut Vec<Act>) {
        let in_hand = self.flows.remove(&flow);
        if let Some(door) = &mut self.door {
            door.over(flow);
        }
        // Guards against an attempt that was ordered just as the client left, or whose flow has panicked: nobody else says
        // that nothing comes of it, and the module would count it as in flight for good.
        let out = in_hand.and_then(|in_hand| {
            in_hand
                .flow
                .attempts
                .into_iter()
                .find(|attempt| attempt.in_flight)
        });
        if let Some(Attempt { server_id, .. }) = out {
            let actions = self.brain.on_event(
                now,
                PolicyEvent::AttemptEnded {
                    flow,
                    server_id,
                    end: AttemptEnd::NotSent,
                    owed: None,
                },
            );
            self.carry_out(actions, acts);
        }
    }

    /// Whether the flow is still owed an answer.
    pub fn owed(&self, flow: FlowId) -> bool {
        self.flows.get(&flow).is_some_and(|f| f.owed)
    }

    /// Whether an attempt of this flow is still out.
    pub fn has_attempt_in_flight(&self, flow: FlowId) -> bool {
        self.flows
            .get(&flow)
            .is_some_and(|f| f.flow.attempts.iter().any(|c| c.in_flight))
    }

    /// The flow as it was taken, with its attempts so far.
    pub fn flow(&self, flow: FlowId) -> Option<&Flow> {
        self.flows.get(&flow).map(|in_hand| &in_hand.flow)
    }

    fn answer(&mut self, now: Time, id: FlowId, place: Placement, acts: &mut Vec<Act>) {
        let Some(in_hand) = self.flows.get_mut(&id) else {
            return;
        };
        acts.push(match place {
            Placement::Forward {
                server_id,
                timeout: limit,
                send_within: by,
            } => {
                in_hand.flow.attempts.push(Attempt {
                    server_id,
                    at: now,
                    in_flight: true,
                    known_unexecuted: false,
                });
                Act::Attempt {
                    flow: id,
                    server_id,
                    number: in_hand.flow.attempts.len() - 1,
                    limit,
                    by,
                }
            }
            Placement::Wait => return self.held.push(id),
            Placement::Reject { retry_after } => {
                in_hand.owed = false;
                // What the queue really needs, where there is one.
                let door = self.door.as_mut().filter(|_| retry_after.is_some());
                let told = door.and_then(|door| door.retry_after_for(now, id));
                Act::Reject {
                    flow: id,
                    retry_after: told.or(retry_after),
                }
            }
            Placement::Fail => {
                in_hand.owed = false;
                Act::Fail { flow: id }
            }
        });
    }

    fn carry_out(&mut self, actions: Actions, acts: &mut Vec<Act>) {
        acts.extend(
            actions
                .health_checks
                .into_iter()
                .map(|server_id| Act::Probe { server_id }),
        );
        acts.extend(actions.migrate.into_iter().map(|flow| Act::Move { flow }));
        let number = |flow| {
            self.flow(flow)
                .map_or(0, |f: &Flow| f.attempts.len().saturating_sub(1))
        };
        acts.extend(actions.cancel.into_iter().map(|flow| Act::CallOff {
            flow,
            number: number(flow),
        }));
        acts.extend(actions.poll_endpoints.then_some(Act::AskList));
        acts.extend(actions.gossip.map(Act::Gossip));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Says what the test wants next, and keeps what it was asked.
    #[derive(Default)]
    struct Script {
        places: Vec<Placement>,
        owed: Vec<bool>,
    }

    impl Brain for Script {
        fn place(&mut self, _: Time, _: &Flow) -> Placement {
            self.places.remove(0)
        }
        fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
            let mut actions = Actions::default();
            match event {
                PolicyEvent::AttemptEnded { owed, .. } => {
                    self.owed.push(owed.is_some());
                    actions.placement = owed.map(|flow| self.place(now, flow));
                }
                PolicyEvent::ClientLeft { flow } => actions.cancel.push(flow),
                PolicyEvent::HealthChecked { server_id, .. } => {
                    (actions.health_checks, actions.migrate) = (vec![server_id], vec![9])
                }
                _ => {}
            }
            actions
        }
        fn time_to_next_timer(&self, _: Time) -> Option<Time> {
            None
        }
        fn update_endpoints(&mut self, _: Time, _: &[Endpoint], _: bool) {}
        fn endpoint_poll_failed(&mut self, _: Time) {}
        fn adopt_connection(&mut self, _: &Flow, _: ServerId) {}
        fn update_connection_load(&mut self, _: FlowId, _: f64) {}
    }

    fn hand(places: &[Placement]) -> Hand<Script> {
        Hand::new(Script {
            places: places.to_vec(),
            ..Script::default()
        })
    }

    #[test]
    fn a_flow_is_connected_again_and_answered_once() {
        let mut hand = hand(&[
            Placement::Forward {
                server_id: 4,
                timeout: 70,
                send_within: 70,
            },
            Placement::Forward {
                server_id: 5,
                timeout: 60,
                send_within: 30,
            },
            Placement::Reject {
                retry_after: Some(8),
            },
        ]);
        let mut acts = Vec::new();
        hand.take(
            1,
            Flow {
                id: 7,
                ..Flow::default()
            },
            Who::default(),
            &mut acts,
        );
        let report = LoadReport {
            utilization: Some(0.4),
            connections: None,
        };
        hand.ended(
            2,
            (7, 0),
            4,
            (AttemptEnd::Overloaded, true),
            report,
            &mut acts,
        );
        assert!(
            hand.has_attempt_in_flight(7)
                && hand.flow(7).is_some_and(|f| f.attempts[0].known_unexecuted)
        );
        hand.ended(
            3,
            (7, 1),
            5,
            (AttemptEnd::ConnectionLost, false),
            LoadReport::default(),
            &mut acts,
        );
        assert_eq!(
            acts,
            [
                Act::Attempt {
                    flow: 7,
                    server_id: 4,
                    number: 0,
                    limit: 70,
                    by: 70
                },
                Act::Probe { server_id: 4 },
                Act::Move { flow: 9 },
                Act::Attempt {
                    flow: 7,
                    server_id: 5,
                    number: 1,
                    limit: 60,
                    by: 30
                },
                Act::Reject {
                    flow: 7,
                    retry_after: Some(8)
                },
            ]
        );
        // Guards against a second answer for a flow that has had its own.
        hand.ended(
            4,
            (7, 1),
            5,
            (AttemptEnd::ConnectionLost, false),
            LoadReport::default(),
            &mut acts,
        );
        assert_eq!(
            (acts.len(), hand.brain.owed.as_slice()),
            (5, &[true, true, false][..])
        );
        hand.over(5, 7, &mut acts);
        assert!(
            hand.flows.is_empty() && hand.brain.owed.len() == 3,
            "nothing is out, nothing is told"
        );
    }

    /// Guards against an attempt that is ordered just as its client leaves and counts as in flight for good.
    #[test]
    fn a_connect_that_nobody_made_is_told_when_its_flow_is_over() {
        let mut hand = hand(&[Placement::Forward {
            server_id: 4,
            timeout: 9,
            send_within: 9,
        }]);
        let mut acts = Vec::new();
        hand.take(
            1,
            Flow {
                id: 1,
                ..Flow::default()
            },
            Who::default(),
            &mut acts,
        );
        // The client's leave was on its way to us as the order was on its way out.
        hand.left(2, 1, &mut acts);
        hand.over(3, 1, &mut acts);
        assert_eq!(
            hand.brain.owed,
            [false],
            "the module is told once that it is not out"
        );
        hand.over(4, 1, &mut acts);
        assert_eq!(hand.brain.owed, [false]);
    }

    #[test]
    fn what_is_held_is_asked_about_again_unless_its_client_has_left() {
        let mut hand = hand(&[
            Placement::Wait,
            Placement::Wait,
            Placement::Forward {
                server_id: 4,
                timeout: 9,
                send_within: 9,
            },
        ]);
        let mut acts = Vec::new();
        hand.take(
            1,
            Flow {
                id: 1,
                ..Flow::default()
            },
            Who::default(),
            &mut acts,
        );
        hand.take(
            1,
            Flow {
                id: 2,
                ..Flow::default()
            },
            Who::default(),
            &mut acts,
        );
        hand.left(2, 1, &mut acts);
        hand.elapsed(3, &mut acts);
        assert_eq!(
            acts,
            [
                Act::CallOff { flow: 1, number: 0 },
                Act::Attempt {
                    flow: 2,
                    server_id: 4,
                    number: 0,
                    limit: 9,
                    by: 9
                }
            ]
        );
        assert_eq!(hand.cut_short(5, &mut acts), [2]);
        assert_eq!(hand.flow(2).map(|f| f.deadline), Some(0));
    }

    /// Guards against a door that holds a flow past its client's leaving or the balancer's end, and one that lets in more
    /// than the module can place.
    #[test]
    fn the_door_lets_in_while_the_module_places_and_answers_all_at_the_end() {
        let places = [
            Placement::Wait,
            Placement::Wait,
            Placement::Forward {
                server_id: 4,
                timeout: 9,
                send_within: 9,
            },
            Placement::Wait,
            Placement::Reject {
                retry_after: Some(3),
            },
            Placement::Wait,
        ];
        let config = Config {
            held: 2,
            ..Config::default()
        };
        let mut hand = hand(&places).with_door(Door::new(config, 1), true);
        let mut acts = Vec::new();
        for id in 1..=5 {
            let who = Who {
                key: id,
                client: id,
                retry: false,
                target: 1_000_000_000,
            };
            hand.take(
                0,
                Flow {
                    id,
                    ..Flow::default()
                },
                who,
                &mut acts,
            );
        }
        assert_eq!(
            (acts.as_slice(), hand.door().unwrap().waiting()),
            (&[][..], 3),
            "the module holds two"
        );
        hand.left(1, 5, &mut acts);
        assert_eq!(hand.door().unwrap().waiting(), 2);
        // One is placed, one held again; so one more is let in, and refused by the module with the door's time.
        hand.elapsed(2, &mut acts);
        assert!(
            matches!(
                acts[..],
                [Act::Attempt { flow: 1, .. }, Act::Reject { flow: 3, retry_after: Some(told) }] if told > 3
            ),
            "{acts:?}"
        );
        acts.clear();
        let owed = hand.cut_short(4, &mut acts);
        assert!(
            owed.contains(&1) && owed.contains(&2) && !owed.contains(&5),
            "{owed:?}"
        );
        (1..=5).for_each(|id| hand.over(5, id, &mut acts));
        assert_eq!(hand.door().unwrap().waiting(), 0);
    }
}
