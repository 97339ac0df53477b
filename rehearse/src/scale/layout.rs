//! Placement of members in racks, sites, zones and regions, scaled down in proportion to the target.

use crate::scale::target::Target;

/// Index of a member among all members.
pub type MemberIndex = usize;

/// Distance between two members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Both members are in the same site.
    Site,
    /// Both members are in the same zone, at different sites.
    Zone,
    /// Both members are in the same region, in different zones.
    Region,
    /// The members are in different regions.
    BetweenRegions,
}

/// Location of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Index of the site.
    pub site: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Index of the region.
    pub region: usize,
    /// Index of the rack; the members of a rack share a switch and are in one site.
    pub rack: usize,
}

/// Locations of all members. A fleet smaller than the target has proportionally fewer sites, and as many zones and
/// regions as the target where there are enough sites for them, so that link delays stay comparable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    positions: Vec<Position>,
    sites: usize,
    zones: usize,
    regions: usize,
}

/// Returns the index of the part that contains `item` when `items` items are split into `parts` equal parts.
fn part_of(item: usize, items: usize, parts: usize) -> usize {
    item * parts / items
}

impl Layout {
    /// Lays out `members` members in proportion to the target.
    pub fn new(members: usize, target: &Target) -> Self {
        let in_proportion = (target.sites * members + target.proxies / 2) / target.proxies;
        let sites = in_proportion
            .clamp(1, target.sites.max(1))
            .min(members.max(1));
        let zones = target.zones.min(sites);
        let regions = target.regions.min(zones);
        let mut positions = Vec::with_capacity(members);
        let (mut rack, mut in_rack) = (0, 0);
        for member in 0..members {
            let site = part_of(member, members, sites);
            let is_new_site = positions
                .last()
                .is_some_and(|last: &Position| last.site != site);
            if is_new_site || in_rack == target.faults.proxies_per_rack {
                rack += 1;
                in_rack = 0;
            }
            in_rack += 1;
            let zone = part_of(site, sites, zones);
            positions.push(Position {
                site,
                zone,
                region: part_of(zone, zones, regions),
                rack,
            });
        }
        Layout {
            positions,
            sites,
            zones,
            regions,
        }
    }

    /// Returns the number of members.
    pub fn members(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of sites.
    pub fn sites(&self) -> usize {
        self.sites
    }

    /// Returns the number of zones.
    pub fn zones(&self) -> usize {
        self.zones
    }

    /// Returns the number of regions.
    pub fn regions(&self) -> usize {
        self.regions
    }

    /// Returns the location of a member.
    pub fn position(&self, member: MemberIndex) -> Position {
        self.positions[member]
    }

    /// Returns the distance between two members.
    pub fn distance(&self, a: MemberIndex, b: MemberIndex) -> Distance {
        let (a, b) = (self.positions[a], self.positions[b]);
        if a.region != b.region {
            Distance::BetweenRegions
        } else if a.zone != b.zone {
            Distance::Region
        } else if a.site != b.site {
            Distance::Zone
        } else {
            Distance::Site
        }
    }

    /// Returns the members whose position satisfies a condition.
    pub fn members_where(&self, condition: impl Fn(&Position) -> bool) -> Vec<MemberIndex> {
        (0..self.positions.len())
            .filter(|member| condition(&self.positions[*member]))
            .collect()
    }
}
