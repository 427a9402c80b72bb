//! Relays on the peer links between keepers, one for each ordered pair.

use std::net::{Ipv4Addr, SocketAddr};

use shallothill_testing::builders::KeeperPlace;
use shallothill_testing::relay::{Direction, Relay};

/// `Links` holds the relays of the connections between keepers.
pub struct Links {
    /// The keeper that connects, the one that accepts, and the relay between them.
    relays: Vec<(usize, usize, Relay)>,
}

impl Links {
    /// `start` starts a relay for each ordered pair of `places`.
    pub async fn start(places: &[KeeperPlace]) -> Self {
        let mut relays = Vec::new();
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        for from in 0..places.len() {
            for to in (0..places.len()).filter(|to| *to != from) {
                let relay = Relay::start(listen, places[to].peer_address).await;
                relays.push((from, to, relay.unwrap()));
            }
        }
        Self { relays }
    }

    /// `places_seen_by` returns `places` with the relay addresses through which keeper `me` reaches
    /// the rest.
    pub fn places_seen_by(&self, me: usize, places: &[KeeperPlace]) -> Vec<KeeperPlace> {
        let mut seen = places.to_vec();
        for (_, to, relay) in self.relays.iter().filter(|(from, ..)| *from == me) {
            seen[*to].peer_address = relay.address();
        }
        seen
    }

    /// `cut_incoming` blocks the traffic to keeper `i`, which can still send.
    pub fn cut_incoming(&self, i: usize) {
        self.cut(i, Direction::FromTarget, Direction::ToTarget);
    }

    /// `cut_outgoing` blocks the traffic from keeper `i`, which can still receive.
    pub fn cut_outgoing(&self, i: usize) {
        self.cut(i, Direction::ToTarget, Direction::FromTarget);
    }

    fn cut(&self, i: usize, outgoing: Direction, incoming: Direction) {
        for (from, to, relay) in &self.relays {
            if *from == i {
                relay.cut(outgoing);
            } else if *to == i {
                relay.cut(incoming);
            }
        }
    }

    /// `heal` restores the traffic on all links; held-back bytes are delivered.
    pub fn heal(&self) {
        for (_, _, relay) in &self.relays {
            relay.heal(Direction::ToTarget);
            relay.heal(Direction::FromTarget);
        }
    }
}
