//! The interface between the flow table and a load balancing policy.

use nettlemux_policy::{
    Actions, Endpoint, Flow, FlowId, GroupPlacement, Placement, Policy, PolicyEvent, ServerId, Time,
};

/// A load balancing policy. Production uses [`Policy`]; the testbed compares other policies with
/// it.
///
/// All times are nanoseconds of the caller's clock.
pub trait LoadBalancingPolicy {
    /// Decides how a flow proceeds, given its attempts so far.
    fn place(&mut self, now: Time, flow: &Flow) -> Placement;

    /// Handles an event and returns the resulting actions.
    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions;

    /// Returns the time within which the policy must receive [`PolicyEvent::TimerExpired`], `None`
    /// if nothing is scheduled.
    fn time_to_next_timer(&self, now: Time) -> Option<Time>;

    /// Updates the endpoint list. `entries` is the whole list if `is_complete` is set, otherwise
    /// only the changed entries.
    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool);

    /// Handles a failed poll of the endpoint list.
    fn on_endpoint_poll_failed(&mut self, now: Time);

    /// Adds a connection that was open before the balancer started.
    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId);

    /// Updates the load that a connection puts on its server.
    fn update_connection_load(&mut self, flow: FlowId, load: f64);

    /// Replaces the settings by those of `new` and keeps the state. The default implementation does
    /// nothing.
    fn apply_settings(&mut self, _new: Policy) {}

    /// Handles a gossip message from another balancer. The default implementation does nothing.
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
    fn on_endpoint_poll_failed(&mut self, now: Time) {
        Policy::on_endpoint_poll_failed(self, now);
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
    fn on_endpoint_poll_failed(&mut self, now: Time) {
        (**self).on_endpoint_poll_failed(now);
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
