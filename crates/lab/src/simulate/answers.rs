//! Answers.

use super::event::*;
use super::run::Run;
use super::state::*;
use super::*;

impl Run<'_> {
    /// The hand's last word on a flow, unless mischief has its way with it.
    pub(super) fn say(&mut self, flow: FlowId, with: Final, come_back: Option<Time>) {
        let Who::Mischief(mischief) = self.who else { return self.answer(flow, with, come_back) };
        let Some(live) = self.flows.get(&flow).filter(|live| live.phase == Phase::Owed) else { return };
        let client = live.client;
        match mischief {
            Mischief::LosesAnswers => {}
            Mischief::AnswersLate => {
                let wait = self.crowd.get(client).map(|c| self.world.scenario.types[c.service_type].wait);
                let late = live.taken + seconds(wait.unwrap_or(0.0)) + PATIENCE / 2;
                self.plan(late, What::Answer(flow, with, come_back));
            }
            Mischief::AnswersTwice => {
                self.answer(flow, with, come_back);
                self.plan(self.now + 10 * MS, What::Answer(flow, with, come_back));
            }
            _ => self.answer(flow, with, come_back),
        }
    }

    /// Answers the client of a flow that comes to nothing, and gives the flow back.
    pub(super) fn answer(&mut self, flow: FlowId, with: Final, come_back: Option<Time>) {
        let Some(live) = self.flows.get_mut(&flow).filter(|live| live.phase == Phase::Owed) else { return };
        live.phase = Phase::Settled;
        let (client, taken, out) = (live.client, live.taken, live.at.is_some());
        self.of_client.remove(&client);
        self.answered(flow, with, taken);
        let wait = match with {
            Final::Rejected => self.crowd.rejected(client, come_back, &self.world.scenario),
            _ => self.crowd.aborted(client, &self.world.scenario),
        };
        self.come_again(client, wait);
        if !out {
            self.close(flow);
        }
    }

    pub(super) fn answered(&mut self, flow: FlowId, with: Final, taken: Time) {
        let client = self.flows.get(&flow).map_or(0, |live| live.client);
        let target = self.crowd.get(client).map(|c| self.world.scenario.types[c.service_type].target);
        if let Some(client) = self.crowd.get(client) {
            self.gather.of_client(self.now, client, with);
        }
        self.gather.answered(self.now, with, self.now - taken, seconds(target.unwrap_or(0.0)));
        self.see(Seen::Answered { at: self.now, flow, with });
    }

    /// Nothing more comes of a flow: the one place where it is given back.
    pub(super) fn close(&mut self, flow: FlowId) {
        let Some(live) = self.flows.remove(&flow) else { return };
        if self.of_client.get(&live.client) == Some(&flow) {
            self.of_client.remove(&live.client);
        }
        let mut acts = Vec::new();
        if let Some(hand) = &mut self.balancers[live.balancer].hand {
            hand.over(self.now, flow, &mut acts);
        }
        acts.into_iter().for_each(|act| self.act(live.balancer, act));
    }
}
