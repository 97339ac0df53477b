//! Simulated fleets on virtual time, each member with a clock that drifts. The sum of all leases in force, by the
//! clocks of their holders, must never exceed the limit, and leases must be granted where more than half of the members
//! can reach each other.

use linnetknot_budgets::spec::BudgetSpec;
use linnetknot_budgets::*;
use linnetknot_simnet::{self as simnet, Delay, Step, Timed};

const MS: Micros = 1_000;
const OPTIONS: Options = Options {
    vote_duration_us: 2_000_000,
    max_lease_us: 1_000_000,
    request_interval_us: 200_000,
    drift_ppm: 100_000,
    groups: 4,
};
const S: Micros = 1_000_000;

/// A message and the process that sent it.
struct Envelope {
    from: MemberProcess,
    message: Message,
}

struct Node {
    member: Option<Member>,
    process: ProcessId,
    /// The offset of the member's clock from real time, and how much faster than real time it runs.
    clock_offset_us: Micros,
    clock_drift_ppm: i64,
    /// The messages that were received during a stall; `None` if the member is not stalled.
    stalled_inbox: Option<Vec<Envelope>>,
    /// By budget, the amount that the member would spend if it were granted.
    demand: Vec<Amount>,
    /// By budget, the amounts that were spent, and the time at which each is free again (settled).
    spent: Vec<Vec<(Amount, Micros)>>,
    /// The amounts that were spent by earlier processes of this member. The current process has no record of them.
    earlier_spent: Vec<Vec<(Amount, Micros)>>,
}

fn unsettled(spent: &[(Amount, Micros)], now: Micros) -> Amount {
    spent
        .iter()
        .filter(|(_, settled_at)| *settled_at > now)
        .map(|(amount, _)| amount)
        .sum()
}

impl Node {
    fn clock(&self, now: Micros) -> Micros {
        self.clock_offset_us
            + (now as i64 + now as i64 * self.clock_drift_ppm / 1_000_000) as Micros
    }

    /// Returns the unsettled amount of a budget: spent and not yet free again.
    fn unsettled(&self, now: Micros, budget: usize) -> Amount {
        unsettled(&self.spent[budget], now)
    }
}

struct Fleet {
    links: simnet::Network<(ProcessId, Message)>,
    nodes: Vec<Node>,
    specs: Vec<BudgetSpec>,
    options: Options,
    /// The total size of all datagrams sent.
    bytes: u64,
    /// By budget, the maximum of the amount in force and the maximum of the unsettled amount, in thousandths of the
    /// limit.
    peak: Vec<(u64, u64)>,
}

impl Fleet {
    fn new(nodes: usize, seed: u64, specs: &[BudgetSpec]) -> Fleet {
        let links = simnet::Network::new(
            seed,
            Delay {
                min_us: 100,
                jitter_us: 20 * MS,
            },
        );
        let settling_us = specs.iter().map(|spec| spec.settling_us).max().unwrap_or(0);
        let options = OPTIONS.with_settling_time(settling_us);
        let peak = vec![(0, 0); specs.len()];
        let mut fleet = Fleet {
            links,
            nodes: Vec::new(),
            specs: specs.to_vec(),
            options,
            bytes: 0,
            peak,
        };
        for _ in 0..nodes {
            // The drift is far greater than that of real clocks, so that missing allowances for drift are detected.
            let (clock_offset_us, clock_drift_ppm) = (
                fleet.links.draw(1_000 * S),
                fleet.links.draw(100_001) as i64 - 50_000,
            );
            let demand = vec![0; specs.len()];
            let spent = vec![Vec::new(); specs.len()];
            let earlier_spent = spent.clone();
            fleet.nodes.push(Node {
                member: None,
                process: 0,
                clock_offset_us,
                clock_drift_ppm,
                stalled_inbox: None,
                demand,
                spent,
                earlier_spent,
            });
        }
        (0..nodes).for_each(|n| fleet.start(n));
        fleet
    }

    fn start(&mut self, n: usize) {
        let (nodes, now) = (self.nodes.len(), self.links.now);
        let node = &mut self.nodes[n];
        (node.process, node.stalled_inbox) = (node.process + 1, None);
        let clock = node.clock(now);
        let mut member = Member::new(
            MemberProcess {
                member: n,
                process: node.process,
            },
            nodes,
            &self.specs,
            clock,
            self.options,
        )
        .expect("the specification is valid");
        (0..nodes).for_each(|m| member.set_member_up(m, true));
        node.member = Some(member);
        self.update_beliefs();
    }

    fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.member, node.stalled_inbox) = (None, None);
        node.demand.fill(0);
        // A killed member's connections are closed, so spending up to its reserved minimum ends at once. The rest
        // ends within the settling time.
        for (spent, spec) in node.spent.iter_mut().zip(&self.specs) {
            let mut reserved = spec.reserved;
            for (amount, _) in spent.iter_mut() {
                let settled = reserved.min(*amount);
                (*amount, reserved) = (*amount - settled, reserved - settled);
            }
        }
        node.earlier_spent
            .iter_mut()
            .zip(&mut node.spent)
            .for_each(|(earlier_spent, spent)| earlier_spent.append(spent));
        self.update_beliefs();
    }

    /// Marks exactly the running members as up at all members. Stalled members and members behind a partition count as
    /// running.
    fn update_beliefs(&mut self) {
        let up: Vec<bool> = self.nodes.iter().map(|n| n.member.is_some()).collect();
        for member in self.nodes.iter_mut().filter_map(|n| n.member.as_mut()) {
            up.iter()
                .enumerate()
                .for_each(|(index, up)| member.set_member_up(index, *up));
        }
    }

    fn demand(&mut self, n: usize, demand: Amount) {
        self.nodes[n].demand.fill(demand);
    }

    /// Sets a member's demand and unsettled amount.
    fn report_demand(&mut self, n: usize) {
        let now = self.links.now;
        let unsettled: Vec<Amount> = (0..self.specs.len())
            .map(|budget| self.nodes[n].unsettled(now, budget))
            .collect();
        let node = &mut self.nodes[n];
        for (budget, unsettled) in unsettled.into_iter().enumerate() {
            node.member
                .iter_mut()
                .for_each(|member| member.set_demand(budget, node.demand[budget], unsettled));
        }
    }

    /// Spends some or all of what a member's lease and demand allow. The amount is free again within the settling time.
    fn spend(&mut self, n: usize) {
        let now = self.links.now;
        for budget in (0..self.specs.len()).filter(|budget| self.specs[*budget].settling_us > 0) {
            let settling_us = self.specs[budget].settling_us;
            let node = &mut self.nodes[n];
            let Some(member) = node
                .member
                .as_ref()
                .filter(|_| node.stalled_inbox.is_none())
            else {
                return;
            };
            let lease = member
                .lease(node.clock(now), budget)
                .amount
                .min(node.demand[budget]);
            let available = lease.saturating_sub(node.unsettled(now, budget));
            if available > 0 {
                // The full amount is spent in about half of the cases. The full settling time passes in about two
                // thirds.
                let amount = if self.links.draw(2) == 0 {
                    available
                } else {
                    self.links.draw(available + 1)
                };
                let duration_us = settling_us
                    - if self.links.draw(3) == 0 {
                        self.links.draw(settling_us)
                    } else {
                        0
                    };
                let node = &mut self.nodes[n];
                node.spent[budget].retain(|(_, settled_at)| *settled_at > now);
                node.spent[budget].push((amount, now + duration_us));
            }
        }
    }

    fn send(&mut self, n: usize) {
        let process = self.nodes[n].process;
        let outgoing = self.nodes[n]
            .member
            .as_mut()
            .map(Member::take_outgoing)
            .unwrap_or_default();
        let mut by_member = std::collections::BTreeMap::<MemberIndex, Vec<Message>>::new();
        outgoing.iter().for_each(|outgoing| {
            by_member
                .entry(outgoing.to)
                .or_default()
                .push(outgoing.message);
        });
        let datagrams = by_member
            .values()
            .flat_map(|messages| wire::encode(u64::MAX, process, messages));
        self.bytes += datagrams.map(|datagram| datagram.len() as u64).sum::<u64>();
        for Outgoing { to, message } in outgoing {
            self.links.send(n, to, &(process, message));
        }
    }

    fn deliver(&mut self, envelope: Envelope, to: MemberIndex) {
        if let Some(inbox) = &mut self.nodes[to].stalled_inbox {
            return inbox.push(envelope);
        }
        let clock = self.nodes[to].clock(self.links.now);
        if let Some(member) = &mut self.nodes[to].member {
            member.receive(clock, envelope.from, envelope.message);
            self.send(to);
            self.spend(to);
        }
    }

    /// Returns the amount of a budget that is in force, by the clocks of the holders. A stalled holder still has its
    /// lease until it expires by its clock, because it may spend when it resumes.
    fn in_force(&self, budget: usize) -> Amount {
        let reserved_total = self.specs[budget].reserved * self.nodes.len() as u64;
        let beyond_reserved = |n: &Node| {
            let lease = n
                .member
                .as_ref()
                .map(|m| m.lease(n.clock(self.links.now), budget).amount);
            lease.map_or(0, |lease| lease - self.specs[budget].reserved)
        };
        // The reserved minimums of all members count, including those that are down.
        reserved_total + self.nodes.iter().map(beyond_reserved).sum::<Amount>()
    }

    fn check_limits(&mut self) {
        for budget in 0..self.specs.len() {
            let (sum, limit) = (self.in_force(budget), self.specs[budget].limit);
            assert!(
                sum <= limit,
                "{sum} of {limit} in force at {} us",
                self.links.now
            );
            let now = self.links.now;
            let amount =
                |n: &Node| n.unsettled(now, budget) + unsettled(&n.earlier_spent[budget], now);
            let unsettled: Amount = self.nodes.iter().map(amount).sum();
            assert!(
                unsettled <= limit,
                "{unsettled} of {limit} unsettled at {} us",
                self.links.now
            );
            let peak = &mut self.peak[budget];
            *peak = (
                peak.0.max(sum * 1_000 / limit),
                peak.1.max(unsettled * 1_000 / limit),
            );
        }
    }

    fn run(&mut self, duration_us: Micros) {
        let end = self.links.now + duration_us;
        loop {
            let now = self.links.now;
            // The time at which a member's next tick is due.
            let due = |(n, node): (usize, &Node)| {
                let member = node
                    .member
                    .as_ref()
                    .filter(|_| node.stalled_inbox.is_none())?;
                Some(Timed {
                    at: now + member.due().saturating_sub(node.clock(now)),
                    event: n,
                })
            };
            let due = self.nodes.iter().enumerate().filter_map(due).min();
            match self.links.step(end, due) {
                Step::Delivered {
                    from,
                    to,
                    message: (process, message),
                } => {
                    let from = MemberProcess {
                        member: from,
                        process,
                    };
                    self.deliver(Envelope { from, message }, to);
                }
                Step::Due(n) => {
                    self.spend(n);
                    self.report_demand(n);
                    let clock = self.nodes[n].clock(self.links.now) + 1;
                    self.nodes[n]
                        .member
                        .iter_mut()
                        .for_each(|m| m.tick(clock.max(m.due())));
                    self.send(n);
                }
                Step::Finished => return self.check_limits(),
            }
            self.check_limits();
        }
    }

    fn resume(&mut self, n: usize) {
        for envelope in self.nodes[n].stalled_inbox.take().unwrap_or_default() {
            self.deliver(envelope, n);
            self.check_limits();
        }
    }

    /// Returns the allocator of a budget.
    fn allocator(&self, budget: usize) -> Option<MemberIndex> {
        let group = budget % OPTIONS.groups;
        let leads = |n: &usize| {
            let node = &self.nodes[*n];
            node.member
                .as_ref()
                .is_some_and(|m| m.leads(node.clock(self.links.now), group))
        };
        (0..self.nodes.len()).find(leads)
    }
}

/// Returns a fleet in which all members demand everything and an allocator has been elected, and the allocator.
fn fleet_with_allocator(nodes: usize, seed: u64, specs: &[BudgetSpec]) -> (Fleet, MemberIndex) {
    let mut fleet = Fleet::new(nodes, seed, specs);
    (0..nodes).for_each(|n| fleet.demand(n, 1_000_000));
    fleet.run(6 * S + 2 * specs.iter().map(|spec| spec.settling_us).max().unwrap_or(0));
    let allocator = fleet.allocator(0).expect("an allocator is elected");
    (fleet, allocator)
}

fn specs() -> Vec<BudgetSpec> {
    vec![
        BudgetSpec {
            limit: 100_000,
            reserved: 100,
            settling_us: 0,
        },
        BudgetSpec {
            limit: 10_000,
            reserved: 10,
            settling_us: 0,
        },
    ]
}

#[test]
fn the_limit_holds_through_random_faults() {
    let mut highest = (0, 0);
    for seed in 0..1_000 {
        let nodes = 3 + (seed % 6) as usize;
        let settling_us = seed % 3 * 400 * MS;
        let specs: Vec<BudgetSpec> = specs()
            .into_iter()
            .map(|spec| BudgetSpec {
                settling_us,
                ..spec
            })
            .collect();
        let mut fleet = Fleet::new(nodes, seed, &specs);
        (fleet.links.loss_percent, fleet.links.duplicate_percent) = (seed % 4 * 10, seed % 4 * 10);
        for _ in 0..40 {
            let n = fleet.links.draw(nodes as u64) as usize;
            let demand = fleet.links.draw(200_000);
            fleet.demand(n, demand);
            match fleet.links.draw(11) {
                9 | 10 => {
                    fleet.kill(n);
                    let downtime_us = fleet.links.draw(300 * MS);
                    fleet.run(downtime_us);
                    fleet.start(n);
                }
                0 => fleet.kill(n),
                1 if fleet.nodes[n].member.is_none() => fleet.start(n),
                2 => fleet.nodes[n].stalled_inbox = Some(Vec::new()),
                3 => fleet.resume(n),
                4 => fleet.links.partition(fleet.nodes.len(), &[n]),
                5 => fleet
                    .links
                    .partition(fleet.nodes.len(), &(0..nodes / 2).collect::<Vec<_>>()),
                6 => fleet.links.cut(n, (n + 1) % nodes),
                7 => fleet.links.restore(),
                // A random member marks another member as up or down at random.
                _ => {
                    let (member, up) = (
                        fleet.links.draw(nodes as u64) as usize,
                        fleet.links.draw(2) == 0,
                    );
                    fleet.nodes[n]
                        .member
                        .iter_mut()
                        .for_each(|m| m.set_member_up(member, up));
                }
            }
            let pause = fleet.links.draw(1_500 * MS);
            fleet.run(pause);
        }
        highest = (
            fleet.peak[0].0.max(highest.0),
            fleet.peak[0].1.max(highest.1),
        );
    }
    assert!(
        highest.0 > 900 && highest.1 > 900,
        "the limits must nearly be reached: {highest:?}"
    );
}

#[test]
fn without_faults_leases_are_granted_and_follow_the_demand() {
    for nodes in [4, 16, 64] {
        let mut fleet = Fleet::new(nodes, 3, &specs());
        (0..nodes).for_each(|n| fleet.demand(n, 1_000_000));
        fleet.run(6 * S);
        assert!(
            fleet.in_force(0) >= 95_000,
            "{nodes}: {} of 100,000",
            fleet.in_force(0)
        );
        // Only one member has a demand. Within two seconds it has nearly the whole leasable amount.
        (1..nodes).for_each(|n| fleet.demand(n, 0));
        fleet.run(2 * S);
        let clock = fleet.nodes[0].clock(fleet.links.now);
        let lease = fleet.nodes[0]
            .member
            .as_ref()
            .unwrap()
            .lease(clock, 0)
            .amount;
        let reserved_total = 100 * nodes as u64;
        assert!(
            lease >= (100_000 - reserved_total) * 94 / 100,
            "{nodes}: the only member with a demand has {lease}"
        );
    }
}

#[test]
fn another_allocator_is_elected_after_the_votes_of_a_dead_one_expire() {
    for seed in 0..50 {
        let (mut fleet, allocator) = fleet_with_allocator(5, seed, &specs());
        fleet.kill(allocator);
        fleet.run(5 * S);
        let successor = fleet.allocator(0).expect("another allocator is elected");
        assert_ne!(successor, allocator, "seed {seed}");
        assert!(
            fleet.in_force(0) >= 90_000,
            "seed {seed}: {}",
            fleet.in_force(0)
        );
        // The previous allocator comes back and does not displace the new one.
        fleet.start(allocator);
        fleet.run(5 * S);
        assert_eq!(fleet.allocator(0), Some(successor), "seed {seed}");
    }
}

#[test]
fn in_a_partition_the_minority_has_its_reserved_minimums_and_the_majority_continues() {
    for seed in 0..50 {
        let (mut fleet, allocator) = fleet_with_allocator(5, seed, &specs());
        // The allocator and one other member are a minority of the five members.
        let other = (allocator + 1) % 5;
        fleet
            .links
            .partition(fleet.nodes.len(), &[allocator, other]);
        for n in 0..5 {
            let in_minority = |m: usize| m == allocator || m == other;
            let beliefs: Vec<bool> = (0..5).map(|m| in_minority(m) == in_minority(n)).collect();
            let member = fleet.nodes[n].member.as_mut().unwrap();
            beliefs
                .iter()
                .enumerate()
                .for_each(|(m, up)| member.set_member_up(m, *up));
        }
        fleet.run(8 * S);
        for n in [allocator, other] {
            let clock = fleet.nodes[n].clock(fleet.links.now);
            assert_eq!(
                fleet.nodes[n].member.as_ref().unwrap().lease(clock, 0),
                Lease {
                    amount: 100,
                    until: Micros::MAX
                },
                "seed {seed}: p{n}"
            );
        }
        assert!(
            fleet.in_force(0) >= 90_000,
            "seed {seed}: {}",
            fleet.in_force(0)
        );
        let changes = fleet.nodes[other].member.as_mut().unwrap().take_changes();
        assert!(
            changes.contains(&Change::ReservedOnly {
                budget: 0,
                active: true
            }),
            "the change is reported"
        );
    }
}

#[test]
fn a_lowered_limit_holds_once_earlier_leases_have_expired() {
    let (mut fleet, _) = fleet_with_allocator(4, 9, &specs());
    let halved = BudgetSpec {
        limit: 50_000,
        reserved: 100,
        settling_us: 0,
    };
    for node in &mut fleet.nodes {
        node.member
            .as_mut()
            .unwrap()
            .set_limit(0, halved.limit)
            .unwrap();
    }
    fleet.run(S + 100 * MS);
    fleet.specs[0] = halved;
    fleet.run(5 * S);
    assert!(fleet.in_force(0) >= 47_000);
    let error = fleet.nodes[0].member.as_mut().unwrap().set_limit(0, 399);
    assert_eq!(
        error.unwrap_err().reserved_total,
        400,
        "a limit below the sum of the reserved minimums is rejected"
    );
    assert!(Member::new(
        MemberProcess {
            member: 0,
            process: 1
        },
        4,
        &[BudgetSpec {
            limit: 399,
            reserved: 100,
            settling_us: 0
        }],
        0,
        Options::default()
    )
    .is_err());
}

/// Guards against beliefs that prevent an election, such as members that each believe that they are alone.
#[test]
fn members_with_different_beliefs_about_who_is_up_elect_one_allocator() {
    let mut longest_us = 0;
    for nodes in [3, 5, 8] {
        for seed in 0..60 {
            let mut fleet = Fleet::new(nodes, seed, &specs());
            (0..nodes).for_each(|n| fleet.demand(n, 1_000_000));
            for n in 0..nodes {
                let member = fleet.nodes[n].member.as_mut().unwrap();
                // By seed, each member believes that only it is up, that only the next member is up, or that it and the
                // next two are up.
                let is_believed_up = |m: usize| match seed % 3 {
                    0 => m == n,
                    1 => m == (n + 1) % nodes,
                    _ => m == n || m == (n + 1) % nodes || m == (n + 2) % nodes,
                };
                (0..nodes).for_each(|m| member.set_member_up(m, is_believed_up(m)));
            }
            // Members start one after another, so that several of them hold votes at the same time.
            for n in 0..nodes {
                let beliefs: Vec<bool> = (0..nodes).map(|m| m == n || seed % 3 == 1).collect();
                fleet.nodes[n].process += 1;
                let (process, clock) = (
                    fleet.nodes[n].process,
                    fleet.nodes[n].clock(fleet.links.now),
                );
                let mut member = Member::new(
                    MemberProcess { member: n, process },
                    nodes,
                    &fleet.specs,
                    clock,
                    fleet.options,
                )
                .unwrap();
                beliefs
                    .iter()
                    .enumerate()
                    .for_each(|(m, up)| member.set_member_up(m, *up));
                fleet.nodes[n].member = Some(member);
                let pause = fleet.links.draw(3 * S);
                fleet.run(pause);
            }
            let started_at = fleet.links.now;
            while fleet.allocator(0).is_none() || fleet.in_force(0) < 90_000 {
                assert!(
                    fleet.links.now < started_at + 60 * S,
                    "{nodes} members, seed {seed}: {}",
                    fleet.in_force(0)
                );
                fleet.run(S);
            }
            let allocator = fleet.allocator(0);
            longest_us = longest_us.max(fleet.links.now - started_at);
            fleet.run(10 * S);
            assert_eq!(
                fleet.allocator(0),
                allocator,
                "{nodes} members, seed {seed}"
            );
        }
    }
    assert!(
        longest_us <= 10 * S,
        "the longest election took {longest_us} us"
    );
}

/// Guards against an allocator that is elected before spending under the leases of its predecessor has settled.
#[test]
fn unsettled_amounts_stay_within_the_limit_across_a_change_of_allocator() {
    let specs = [BudgetSpec {
        limit: 100_000,
        reserved: 100,
        settling_us: 3 * S,
    }];
    for seed in 0..200 {
        let (mut fleet, allocator) = fleet_with_allocator(5, seed, &specs);
        // The allocator and one other member are the only ones with a demand. After the partition the allocator
        // continues to grant leases to that member until its votes expire.
        let other = (allocator + 1) % 5;
        (0..5)
            .filter(|n| *n != other && *n != allocator)
            .for_each(|n| fleet.demand(n, 0));
        fleet.run(4 * S);
        fleet.links.partition(5, &[allocator, other]);
        for n in (0..5).filter(|n| *n != other && *n != allocator) {
            fleet.demand(n, 1_000_000);
            let member = fleet.nodes[n].member.as_mut().unwrap();
            [allocator, other]
                .into_iter()
                .for_each(|m| member.set_member_up(m, false));
        }
        fleet.run(14 * S);
        assert!(
            fleet
                .allocator(0)
                .is_some_and(|successor| successor != allocator),
            "seed {seed}"
        );
        assert!(
            fleet.in_force(0) > 90_000,
            "seed {seed}: {}",
            fleet.in_force(0)
        );
        assert!(fleet.peak[0].1 > 900, "seed {seed}: {:?}", fleet.peak);
    }
}

/// Guards against grants to a restarted holder that do not subtract what its earlier process may have spent.
#[test]
fn unsettled_amounts_of_a_holder_still_count_after_it_restarts() {
    let specs = [BudgetSpec {
        limit: 100_000,
        reserved: 100,
        settling_us: 3 * S,
    }];
    for seed in 0..100 {
        let mut fleet = Fleet::new(4, seed, &specs);
        fleet.run(8 * S);
        let allocator = fleet.allocator(0).expect("an allocator is elected");
        let holder = (allocator + 1) % 4;
        fleet.demand(holder, 1_000_000);
        fleet.run(3 * S);
        for _ in 0..4 {
            fleet.kill(holder);
            fleet.start(holder);
            fleet.demand(holder, 1_000_000);
            let pause = fleet.links.draw(1_500 * MS);
            fleet.run(pause);
        }
        fleet.run(6 * S);
        assert!(
            fleet.in_force(0) > 90_000,
            "seed {seed}: {}",
            fleet.in_force(0)
        );
    }
}

/// Guards against replaced leases that block other holders until the settling time is over, although the spending under
/// them has settled.
#[test]
fn a_settled_amount_is_available_to_others_before_the_settling_time_ends() {
    let specs = [BudgetSpec {
        limit: 100_000,
        reserved: 100,
        settling_us: 5 * S,
    }];
    let mut fleet = Fleet::new(4, 5, &specs);
    fleet.demand(0, 1_000_000);
    fleet.run(12 * S);
    let lease = |fleet: &Fleet, n: usize| {
        let node = &fleet.nodes[n];
        node.member
            .as_ref()
            .unwrap()
            .lease(node.clock(fleet.links.now), 0)
            .amount
    };
    assert!(lease(&fleet, 0) > 90_000, "{}", lease(&fleet, 0));
    // Member 0 has spent its whole lease and has no further demand, but member 1 has.
    fleet.demand(0, 0);
    fleet.demand(1, 1_000_000);
    fleet.run(S);
    assert!(
        lease(&fleet, 1) < 10_000,
        "the spending of member 0 has not settled yet: {}",
        lease(&fleet, 1)
    );
    fleet.nodes[0].spent[0].clear();
    fleet.run(S);
    assert!(lease(&fleet, 1) > 90_000, "{}", lease(&fleet, 1));
}

/// Guards against a restarted allocator that keeps its votes although its grants are lost.
#[test]
fn a_restarted_allocator_grants_no_leases_beside_its_earlier_ones() {
    for seed in 0..100 {
        let mut fleet = Fleet::new(5, seed, &specs());
        fleet.run(3 * S);
        let allocator = fleet.allocator(0).expect("an allocator is elected");
        let (holder, successor) = ((allocator + 1) % 5, (allocator + 2) % 5);
        fleet.demand(holder, 1_000_000);
        fleet.run(3 * S);
        fleet.kill(allocator);
        fleet.demand(successor, 1_000_000);
        fleet.start(allocator);
        fleet.run(6 * S);
        assert!(
            fleet.in_force(0) >= 90_000,
            "seed {seed}: leases are granted again"
        );
    }
}

/// Guards against a restarted voter that votes again before its earlier vote, of which it has no record, has expired.
#[test]
fn a_restarted_voter_does_not_elect_a_second_allocator() {
    for seed in 0..100 {
        let (mut fleet, allocator) = fleet_with_allocator(3, seed, &specs());
        let (voter, other) = ((allocator + 1) % 3, (allocator + 2) % 3);
        // The allocator is the only member with a demand. It needs the voter's vote, because the other member is
        // unreachable.
        [voter, other].into_iter().for_each(|n| fleet.demand(n, 0));
        fleet.links.partition(fleet.nodes.len(), &[other]);
        fleet.run(5 * S);
        assert_eq!(fleet.allocator(0), Some(allocator), "seed {seed}");
        fleet.links.restore();
        fleet.links.partition(fleet.nodes.len(), &[allocator]);
        fleet.kill(voter);
        fleet.start(voter);
        for n in [voter, other] {
            fleet.nodes[n]
                .member
                .as_mut()
                .unwrap()
                .set_member_up(allocator, false);
            fleet.demand(n, 1_000_000);
        }
        fleet.run(8 * S);
        assert!(
            fleet.in_force(0) >= 90_000,
            "seed {seed}: the other two members elect an allocator"
        );
    }
}

/// The limit of the budget that is measured.
const FIGURES_LIMIT: Amount = 1_000_000;

/// Returns a fleet in which all members have demanded the whole limit for 12 seconds.
fn settled_fleet(nodes: usize) -> Fleet {
    // A quarter of the limit is reserved. The reserved minimums of dead members are not available to others.
    let specs = [BudgetSpec {
        limit: FIGURES_LIMIT,
        reserved: FIGURES_LIMIT / 4 / nodes as u64,
        settling_us: S,
    }];
    let mut fleet = Fleet::new(nodes, 9, &specs);
    (0..nodes).for_each(|n| fleet.demand(n, FIGURES_LIMIT));
    fleet.run(12 * S);
    fleet
}

/// Returns the amount that a member may spend.
fn leased(fleet: &Fleet, n: usize) -> Amount {
    let node = &fleet.nodes[n];
    let member = node.member.as_ref();
    member.map_or(0, |member| {
        member.lease(node.clock(fleet.links.now), 0).amount
    })
}

/// Returns the sum of what the running members may spend, in percent of the limit.
fn usable_percent(fleet: &Fleet) -> Amount {
    let leases: Amount = (0..fleet.nodes.len()).map(|n| leased(fleet, n)).sum();
    leases * 100 / FIGURES_LIMIT
}

/// Returns the indexes of all members except the allocator.
fn others(fleet: &Fleet) -> Vec<usize> {
    let allocator = fleet.allocator(0).expect("an allocator is elected");
    (0..fleet.nodes.len()).filter(|n| *n != allocator).collect()
}

/// Returns the usable share of the limit two seconds after the death of `deaths` members other than the allocator.
fn usable_percent_after_deaths(mut fleet: Fleet, deaths: usize) -> Amount {
    let others = others(&fleet);
    others.iter().take(deaths).for_each(|n| fleet.kill(*n));
    fleet.run(2 * S);
    usable_percent(&fleet)
}

/// Returns the time until nine tenths of the leasable amount are leased to the only member with a demand.
fn takeover_ms(mut fleet: Fleet) -> Micros {
    (1..fleet.nodes.len()).for_each(|n| fleet.demand(n, 0));
    let started_at = fleet.links.now;
    while leased(&fleet, 0) < FIGURES_LIMIT * 3 / 4 * 9 / 10
        && fleet.links.now < started_at + 20 * S
    {
        fleet.run(50 * MS);
    }
    (fleet.links.now - started_at) / MS
}

/// Prints a table of recovery times and traffic by the size of the fleet:
/// `cargo test --release -p linnetknot-budgets -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn figures() {
    println!(
        "| members | usable | bytes per member and second | usable 2 s after a tenth died | 2 s after half died | \
         2 s, 5 s after half died with the allocator | one demand: 90% after |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for nodes in [4, 16, 64, 300] {
        let mut fleet = settled_fleet(nodes);
        let usable = usable_percent(&fleet);
        let bytes_before = fleet.bytes;
        fleet.run(5 * S);
        let bytes = (fleet.bytes - bytes_before) / 5 / nodes as u64;
        let first_others = others(&fleet);
        let tenth_dead = usable_percent_after_deaths(fleet, nodes.div_ceil(10));
        let half_dead = usable_percent_after_deaths(settled_fleet(nodes), (nodes - 1) / 2);
        let mut fleet = settled_fleet(nodes);
        let allocator = fleet.allocator(0).expect("an allocator is elected");
        fleet.kill(allocator);
        first_others
            .iter()
            .filter(|n| **n != allocator)
            .take((nodes - 1) / 2 - 1)
            .for_each(|n| fleet.kill(*n));
        fleet.run(2 * S);
        let after_2_s = usable_percent(&fleet);
        fleet.run(3 * S);
        let after_5_s = usable_percent(&fleet);
        let takeover = takeover_ms(settled_fleet(nodes));
        println!(
            "| {nodes} | {usable}% | {bytes} | {tenth_dead}% | {half_dead}% | {after_2_s}%, {after_5_s}% | {takeover} ms |"
        );
    }
}
