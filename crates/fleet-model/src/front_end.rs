//! The front end before the balancers. It owns which balancers it takes for alive, and must never
//! know a client or a server. It notices late that a balancer has died.

use nettlemux_policy::Time;

/// The front end: picks balancers in turn among those of the client's zone that it takes for alive.
pub struct FrontEnd {
    zones: Vec<Vec<usize>>,
    /// When it notices that a balancer has died; none while it is well.
    notices: Vec<Option<Time>>,
    turns: Vec<usize>,
}

impl FrontEnd {
    /// Makes a front end for balancers that are dealt to the zones in turn.
    pub fn new(balancers: usize, zones: usize) -> Self {
        let of = |zone: usize| (0..balancers).filter(|b| b % zones == zone).collect();
        FrontEnd {
            zones: (0..zones).map(of).collect(),
            notices: vec![None; balancers],
            turns: vec![0; zones],
        }
    }

    /// Picks the balancer for a client of that zone, or of the next zone where its own has none.
    pub fn pick_balancer(&mut self, now: Time, zone: usize) -> Option<usize> {
        let zones = self.zones.len();
        for other in 0..zones {
            let zone = (zone + other) % zones;
            let among = &self.zones[zone];
            for _ in 0..among.len() {
                self.turns[zone] = (self.turns[zone] + 1) % among.len();
                let balancer = among[self.turns[zone]];
                if self.notices[balancer].is_none_or(|at| now < at) {
                    return Some(balancer);
                }
            }
        }
        None
    }

    /// Takes a balancer that has died for alive until `noticed`, and for dead from then on.
    pub fn mark_dead(&mut self, balancer: usize, noticed: Time) {
        self.notices[balancer] = Some(noticed);
    }

    /// Takes a balancer for alive from now on.
    pub fn mark_alive(&mut self, balancer: usize) {
        self.notices[balancer] = None;
    }
}

#[cfg(test)]
mod tests;
