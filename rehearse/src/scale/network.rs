//! Simulated links between members, with conditions by distance and disconnected regions.

use crate::scale::layout::{Distance, Layout, MemberIndex};
use crate::scale::target::LinkFigures;
use linnetknot_datagram::Random;
use linnetknot_simnet::{Arrivals, LinkConditions, Micros};
use std::collections::BTreeMap;

/// Size of the IPv4 and UDP headers.
pub const HEADER_BYTES: u64 = 28;

/// Pair of regions, the lower index first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegionPair(usize, usize);

impl RegionPair {
    /// Creates a pair from two regions in any order.
    pub fn new(a: usize, b: usize) -> Self {
        RegionPair(a.min(b), a.max(b))
    }
}

/// Simulated links between all members.
#[derive(Clone, Debug)]
pub struct Network {
    layout: Layout,
    conditions: [LinkConditions; 4],
    /// For each disconnected pair of regions, the time at which the connection is restored. Past disconnections are
    /// kept.
    cuts: BTreeMap<RegionPair, Micros>,
    random: Random,
}

impl Network {
    /// Creates a network with working links between the members of a layout.
    pub fn new(layout: Layout, links: &LinkFigures, seed: u64) -> Self {
        let conditions = [links.site, links.zone, links.region, links.between_regions];
        Network {
            layout,
            conditions: conditions.map(LinkConditions::from),
            cuts: BTreeMap::new(),
            random: Random::new(seed),
        }
    }

    /// Returns the locations of the members.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Disconnects two regions until the given time.
    pub fn cut(&mut self, pair: RegionPair, until: Micros) {
        self.cuts.insert(pair, until);
    }

    /// Returns whether the link between two members has been down at any time since `since`.
    pub fn was_cut_since(&self, a: MemberIndex, b: MemberIndex, since: Micros) -> bool {
        if self.cuts.is_empty() {
            return false;
        }
        let regions = [a, b].map(|member| self.layout.position(member).region);
        let until = self.cuts.get(&RegionPair::new(regions[0], regions[1]));
        until.is_some_and(|until| *until > since)
    }

    /// Returns the arrival times of a datagram sent now: none if the datagram is lost, two if it is duplicated.
    pub fn send(&mut self, from: MemberIndex, to: MemberIndex, now: Micros) -> Arrivals {
        if self.was_cut_since(from, to, now) {
            return Arrivals::default();
        }
        let class = match self.layout.distance(from, to) {
            Distance::Site => 0,
            Distance::Zone => 1,
            Distance::Region => 2,
            Distance::BetweenRegions => 3,
        };
        let link = ((from as u64) << 32) | to as u64;
        self.conditions[class].arrivals(link, now, &mut self.random)
    }
}
