//! Links between all members: conditions by distance, and cuts between regions.

use crate::scale::layout::{Distance, Layout, MemberIndex};
use crate::scale::target::LinkFigures;
use linnetknot_datagram::Random;
use linnetknot_simnet::{Arrivals, LinkConditions, Micros};
use std::collections::BTreeMap;

/// Bytes of the headers of IPv4 and UDP.
pub const HEADER_BYTES: u64 = 28;

/// Two regions, the lower one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegionPair(usize, usize);

impl RegionPair {
    /// The pair of two regions, in any order.
    pub fn new(a: usize, b: usize) -> Self {
        RegionPair(a.min(b), a.max(b))
    }
}

/// The links.
#[derive(Clone, Debug)]
pub struct Network {
    layout: Layout,
    conditions: [LinkConditions; 4],
    /// Until when pairs of regions are or were cut off from each other.
    cuts: BTreeMap<RegionPair, Micros>,
    random: Random,
}

impl Network {
    /// Sound links between the members of a layout.
    pub fn new(layout: Layout, links: &LinkFigures, seed: u64) -> Self {
        let conditions = [links.site, links.zone, links.region, links.between_regions];
        Network {
            layout,
            conditions: conditions.map(LinkConditions::from),
            cuts: BTreeMap::new(),
            random: Random::new(seed),
        }
    }

    /// Where the members stand.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Cuts two regions off from each other until a time.
    pub fn cut(&mut self, pair: RegionPair, until: Micros) {
        self.cuts.insert(pair, until);
    }

    /// Whether the link between two members was cut at any time since `since`, or is now.
    pub fn was_cut_since(&self, a: MemberIndex, b: MemberIndex, since: Micros) -> bool {
        if self.cuts.is_empty() {
            return false;
        }
        let regions = [a, b].map(|member| self.layout.position(member).region);
        let until = self.cuts.get(&RegionPair::new(regions[0], regions[1]));
        until.is_some_and(|until| *until > since)
    }

    /// When a datagram that is sent now arrives.
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
