//! A connection's place in the model, which it leaves when it ends in whatever way.

use nettlemux_fleet_model::observation::Observation;

use crate::sockets::shared_run::SharedRun;

/// A connection in the model and its attempt in progress. Dropping this ends the attempt and removes
/// the connection from the model.
pub(super) struct ConnectionSlot<'a> {
    pub(super) shared: &'a SharedRun,
    pub(super) server: usize,
    pub(super) flow: u64,
    /// Whether the connection has been added to the model.
    pub(super) attached: bool,
    /// The number of the attempt in progress.
    pub(super) attempt: Option<usize>,
}

impl ConnectionSlot<'_> {
    /// Records the end of the attempt in progress, if there is one.
    pub(super) fn end_attempt(&mut self, known_unexecuted: bool) {
        if let Some(number) = self.attempt.take() {
            let at = self.shared.now();
            self.shared.observe(Observation::AttemptEnded {
                at,
                flow: self.flow,
                number,
                known_unexecuted,
            });
        }
    }
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        self.end_attempt(false);
        let mut inner = self.shared.lock();
        if self.attached {
            inner.model.servers[self.server].detach(self.flow);
        }
        if let Some(state) = inner.flows.get_mut(&self.flow) {
            state.signals = None;
        }
    }
}
