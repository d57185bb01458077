//! The interface between the flow table and a load balancing policy.

use nettlemux_policy::{
    Actions, Endpoint, Flow, FlowId, GroupPlacement, Placement, Policy, PolicyEvent, ServerId, Time,
};

/// A load balancing policy. [`Policy`] is the one in service; the testbed compares others with it.
///
/// All times are nanoseconds of the caller's clock.
pub trait LoadBalancingPolicy {
    /// Decides where a flow goes, given its attempts so far.
    fn place(&mut self, now: Time, flow: &Flow) -> Placement;

    /// Takes note of what has happened and returns the actions that follow from it.
    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions;

    /// Returns how long until [`PolicyEvent::TimerExpired`] is wanted at the latest, `None` where
    /// nothing is scheduled.
    fn time_to_next_timer(&self, now: Time) -> Option<Time>;

    /// Takes entries of the endpoint list: all of them where `is_complete`, else the changed ones.
    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool);

    /// Takes note that a poll of the endpoint list has failed.
    fn endpoint_poll_failed(&mut self, now: Time);

    /// Takes over a connection that was open before the balancer started.
    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId);

    /// Takes the load that a connection puts on its server.
    fn update_connection_load(&mut self, flow: FlowId, load: f64);

    /// Goes on under the settings of `new`. The default ignores them.
    fn apply_settings(&mut self, _new: Policy) {}

    /// Takes a gossip message of another balancer. The default ignores it.
    fn receive_gossip(&mut self, _now: Time, _placement: GroupPlacement) {}
}

impl LoadBalancingPolicy for Policy {
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

impl LoadBalancingPolicy for Box<dyn LoadBalancingPolicy> {
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
