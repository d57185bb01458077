//! The front end, which assigns clients to balancers. It tracks which balancers it assumes to be
//! alive, and detects the death of a balancer with a delay. It must not depend on clients or
//! servers.

use nettlemux_policy::Time;

/// The front end. Picks balancers round-robin among those in the client's zone that it assumes to be
/// alive.
pub struct FrontEnd {
    /// The balancers of each zone.
    balancers_by_zone: Vec<Vec<usize>>,
    /// From when the front end assumes each balancer to be dead; `None` for a balancer that is alive.
    death_detected_at: Vec<Option<Time>>,
    /// The position of the balancer that was last picked in each zone.
    last_picked: Vec<usize>,
}

impl FrontEnd {
    /// Creates a front end for balancers that are distributed to the zones round-robin.
    pub fn new(balancers: usize, zones: usize) -> Self {
        let in_zone = |zone: usize| (0..balancers).filter(|b| b % zones == zone).collect();
        FrontEnd {
            balancers_by_zone: (0..zones).map(in_zone).collect(),
            death_detected_at: vec![None; balancers],
            last_picked: vec![0; zones],
        }
    }

    /// Picks the balancer for a client in `zone`. If no balancer of that zone is assumed to be alive,
    /// picks one of the next zone that has one. Returns `None` if there is none in any zone.
    pub fn pick_balancer(&mut self, now: Time, zone: usize) -> Option<usize> {
        let zones = self.balancers_by_zone.len();
        for offset in 0..zones {
            let zone = (zone + offset) % zones;
            let balancers = &self.balancers_by_zone[zone];
            for _ in 0..balancers.len() {
                self.last_picked[zone] = (self.last_picked[zone] + 1) % balancers.len();
                let balancer = balancers[self.last_picked[zone]];
                if self.death_detected_at[balancer].is_none_or(|at| now < at) {
                    return Some(balancer);
                }
            }
        }
        None
    }

    /// Assumes that a balancer, which has died or is shutting down, is alive until `detected_at` and
    /// dead from then on.
    pub fn mark_dead(&mut self, balancer: usize, detected_at: Time) {
        self.death_detected_at[balancer] = Some(detected_at);
    }

    /// Assumes that a balancer is alive from now on.
    pub fn mark_alive(&mut self, balancer: usize) {
        self.death_detected_at[balancer] = None;
    }
}

#[cfg(test)]
mod tests;
