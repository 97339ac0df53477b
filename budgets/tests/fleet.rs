//! Many members on virtual time, each with a clock that drifts: the sum of all parts in force, by the clock of whoever
//! holds them, is never over the whole, and parts flow where more than half can talk to each other.

use linnetknot_budgets::limit::Whole;
use linnetknot_budgets::*;
use linnetknot_simnet::{self as simnet, Step};

const MS: Micros = 1_000;
const OPTIONS: Options =
    Options { vote_us: 2_000_000, lease_us: 1_000_000, ask_us: 200_000, drift_ppm: 100_000, groups: 4 };
const S: Micros = 1_000_000;

struct Node {
    member: Option<Member>,
    life: Life,
    /// Its clock: how far it is ahead, and how much faster it runs, in millionths.
    ahead: Micros,
    faster: i64,
    stalled: Option<Vec<(Place, Life, Word)>>,
    /// By budget, what it would spend if it could, and what was spent: how much, and until when that is felt.
    wants: Vec<Amount>,
    spent: Vec<Vec<(Amount, Micros)>>,
    /// What its lives before spent, which it knows nothing of.
    before: Vec<Vec<(Amount, Micros)>>,
}

fn felt(spent: &[(Amount, Micros)], now: Micros) -> Amount {
    spent.iter().filter(|(_, until)| *until > now).map(|(amount, _)| amount).sum()
}

impl Node {
    fn clock(&self, now: Micros) -> Micros {
        self.ahead + (now as i64 + now as i64 * self.faster / 1_000_000) as Micros
    }

    /// What is felt still of what it spent of a budget.
    fn felt(&self, now: Micros, budget: usize) -> Amount {
        felt(&self.spent[budget], now)
    }
}

struct Net {
    links: simnet::Network<(Life, Word)>,
    nodes: Vec<Node>,
    wholes: Vec<Whole>,
    options: Options,
    /// Of all datagrams sent.
    bytes: u64,
    /// The most that was in force at once, and felt at once, of each budget, in thousandths of its whole.
    most: Vec<(u64, u64)>,
}

impl Net {
    fn new(nodes: usize, seed: u64, wholes: &[Whole]) -> Net {
        let links = simnet::Network::new(seed, (100, 20 * MS));
        let felt_us = wholes.iter().map(|whole| whole.felt_us).max().unwrap_or(0);
        let options = OPTIONS.felt_for(felt_us);
        let most = vec![(0, 0); wholes.len()];
        let mut net = Net { links, nodes: Vec::new(), wholes: wholes.to_vec(), options, bytes: 0, most };
        for _ in 0..nodes {
            // Clocks that are a hundred times worse than those of machines, so that what guards against them is seen.
            let (ahead, faster) = (net.links.draw(1_000 * S), net.links.draw(100_001) as i64 - 50_000);
            let (wants, spent) = (vec![0; wholes.len()], vec![Vec::new(); wholes.len()]);
            let before = spent.clone();
            net.nodes.push(Node {
                member: None,
                life: 0,
                ahead,
                faster,
                stalled: None,
                wants,
                spent,
                before,
            });
        }
        (0..nodes).for_each(|n| net.start(n));
        net
    }

    fn start(&mut self, n: usize) {
        let (nodes, now) = (self.nodes.len(), self.links.now);
        let node = &mut self.nodes[n];
        (node.life, node.stalled) = (node.life + 1, None);
        let clock = node.clock(now);
        let mut member =
            Member::new((n, node.life), nodes, &self.wholes, clock, self.options).expect("a sound whole");
        (0..nodes).for_each(|m| member.believe(m, true));
        node.member = Some(member);
        self.believe();
    }

    fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.member, node.stalled) = (None, None);
        node.wants.fill(0);
        // Its connections end with it, and what they held of its floor; the rest is felt as long as it can be.
        for (spent, whole) in node.spent.iter_mut().zip(&self.wholes) {
            let mut floor = whole.floor;
            for (amount, _) in spent.iter_mut() {
                let less = floor.min(*amount);
                (*amount, floor) = (*amount - less, floor - less);
            }
        }
        node.before.iter_mut().zip(&mut node.spent).for_each(|(before, spent)| before.append(spent));
        self.believe();
    }

    /// Everybody knows who runs; whom a cut hides, and who stands still, is believed to run.
    fn believe(&mut self) {
        let up: Vec<bool> = self.nodes.iter().map(|n| n.member.is_some()).collect();
        for member in self.nodes.iter_mut().filter_map(|n| n.member.as_mut()) {
            up.iter().enumerate().for_each(|(place, up)| member.believe(place, *up));
        }
    }

    fn want(&mut self, n: usize, wanted: Amount) {
        self.nodes[n].wants.fill(wanted);
    }

    /// Tells a member what it wants and what is felt of it.
    fn tell(&mut self, n: usize) {
        let now = self.links.now;
        let felt: Vec<Amount> =
            (0..self.wholes.len()).map(|budget| self.nodes[n].felt(now, budget)).collect();
        let node = &mut self.nodes[n];
        for (budget, felt) in felt.into_iter().enumerate() {
            node.member.iter_mut().for_each(|member| member.want(budget, node.wants[budget], felt));
        }
    }

    /// A member spends as much as it may and wants, for as long as that may be felt.
    fn spend(&mut self, n: usize) {
        let now = self.links.now;
        for budget in (0..self.wholes.len()).filter(|budget| self.wholes[*budget].felt_us > 0) {
            let most_us = self.wholes[budget].felt_us;
            let node = &mut self.nodes[n];
            let Some(member) = node.member.as_ref().filter(|_| node.stalled.is_none()) else { return };
            let part = member.part(node.clock(now), budget).0.min(node.wants[budget]);
            let room = part.saturating_sub(node.felt(now, budget));
            if room > 0 {
                // Often all of it, and mostly for as long as it can be.
                let amount = if self.links.draw(2) == 0 { room } else { self.links.draw(room + 1) };
                let for_us = most_us - if self.links.draw(3) == 0 { self.links.draw(most_us) } else { 0 };
                let node = &mut self.nodes[n];
                node.spent[budget].retain(|(_, until)| *until > now);
                node.spent[budget].push((amount, now + for_us));
            }
        }
    }

    fn send(&mut self, n: usize) {
        let life = self.nodes[n].life;
        let sends = self.nodes[n].member.as_mut().map(Member::sends).unwrap_or_default();
        let mut by_place = std::collections::BTreeMap::<Place, Vec<Word>>::new();
        sends.iter().for_each(|(to, word)| by_place.entry(*to).or_default().push(*word));
        let datagrams = by_place.values().flat_map(|words| wire::write(u64::MAX, life, words));
        self.bytes += datagrams.map(|datagram| datagram.len() as u64).sum::<u64>();
        sends.into_iter().for_each(|(to, word)| self.links.send(n, to, &(life, word)));
    }

    fn arrive(&mut self, from: Place, life: Life, to: Place, word: Word) {
        if let Some(waiting) = &mut self.nodes[to].stalled {
            return waiting.push((from, life, word));
        }
        let clock = self.nodes[to].clock(self.links.now);
        if let Some(member) = &mut self.nodes[to].member {
            member.hear(clock, (from, life), word);
            self.send(to);
            self.spend(to);
        }
    }

    /// What is in force of a budget now, by the clocks of those that hold it. One that stands still holds its part, as it
    /// may spend when it goes on, until its clock says otherwise.
    fn in_force(&self, budget: usize) -> Amount {
        let floors = self.wholes[budget].floor * self.nodes.len() as u64;
        let beyond = |n: &Node| {
            let part = n.member.as_ref().map(|m| m.part(n.clock(self.links.now), budget).0);
            part.map_or(0, |part| part - self.wholes[budget].floor)
        };
        // All floors count, whoever runs.
        floors + self.nodes.iter().map(beyond).sum::<Amount>()
    }

    fn check(&mut self) {
        for budget in 0..self.wholes.len() {
            let (sum, whole) = (self.in_force(budget), self.wholes[budget].whole);
            assert!(sum <= whole, "{sum} of {whole} in force at {} us", self.links.now);
            let now = self.links.now;
            let of = |n: &Node| n.felt(now, budget) + felt(&n.before[budget], now);
            let felt: Amount = self.nodes.iter().map(of).sum();
            assert!(felt <= whole, "{felt} of {whole} felt at {} us", self.links.now);
            let most = &mut self.most[budget];
            *most = (most.0.max(sum * 1_000 / whole), most.1.max(felt * 1_000 / whole));
        }
    }

    fn run(&mut self, for_us: Micros) {
        let end = self.links.now + for_us;
        loop {
            let now = self.links.now;
            // When a member's clock will show what it is due.
            let due = |(n, node): (usize, &Node)| {
                let member = node.member.as_ref().filter(|_| node.stalled.is_none())?;
                Some((now + member.due().saturating_sub(node.clock(now)), n))
            };
            let due = self.nodes.iter().enumerate().filter_map(due).min();
            match self.links.step(end, due) {
                Step::Delivered { from, to, message: (life, word) } => self.arrive(from, life, to, word),
                Step::Due(n) => {
                    self.spend(n);
                    self.tell(n);
                    let clock = self.nodes[n].clock(self.links.now) + 1;
                    self.nodes[n].member.iter_mut().for_each(|m| m.tick(clock.max(m.due())));
                    self.send(n);
                }
                Step::Finished => return self.check(),
            }
            self.check();
        }
    }

    fn go_on(&mut self, n: usize) {
        for (from, life, word) in self.nodes[n].stalled.take().unwrap_or_default() {
            self.arrive(from, life, n, word);
            self.check();
        }
    }

    /// The divider of a budget, by its own belief and votes.
    fn divider(&self, budget: usize) -> Option<Place> {
        let group = budget % OPTIONS.groups;
        let divides = |n: &usize| {
            let node = &self.nodes[*n];
            node.member.as_ref().is_some_and(|m| m.divides(node.clock(self.links.now), group))
        };
        (0..self.nodes.len()).find(divides)
    }
}

/// All want everything, for long enough that one divides.
fn divided(nodes: usize, seed: u64, wholes: &[Whole]) -> (Net, Place) {
    let mut net = Net::new(nodes, seed, wholes);
    (0..nodes).for_each(|n| net.want(n, 1_000_000));
    net.run(6 * S + 2 * wholes.iter().map(|whole| whole.felt_us).max().unwrap_or(0));
    let divider = net.divider(0).expect("one divides");
    (net, divider)
}

fn wholes() -> Vec<Whole> {
    vec![Whole { whole: 100_000, floor: 100, felt_us: 0 }, Whole { whole: 10_000, floor: 10, felt_us: 0 }]
}

#[test]
fn the_sum_holds_through_everything_that_can_happen() {
    let mut highest = (0, 0);
    for seed in 0..1_000 {
        let nodes = 3 + (seed % 6) as usize;
        let felt_us = seed % 3 * 400 * MS;
        let wholes: Vec<Whole> = wholes().into_iter().map(|whole| Whole { felt_us, ..whole }).collect();
        let mut net = Net::new(nodes, seed, &wholes);
        (net.links.loss_percent, net.links.duplicate_percent) = (seed % 4 * 10, seed % 4 * 10);
        for _ in 0..40 {
            let n = net.links.draw(nodes as u64) as usize;
            let wanted = net.links.draw(200_000);
            net.want(n, wanted);
            match net.links.draw(11) {
                9 | 10 => {
                    net.kill(n);
                    let away = net.links.draw(300 * MS);
                    net.run(away);
                    net.start(n);
                }
                0 => net.kill(n),
                1 if net.nodes[n].member.is_none() => net.start(n),
                2 => net.nodes[n].stalled = Some(Vec::new()),
                3 => net.go_on(n),
                4 => net.links.split(net.nodes.len(), &[n]),
                5 => net.links.split(net.nodes.len(), &(0..nodes / 2).collect::<Vec<_>>()),
                6 => drop(net.links.cut.insert((n, (n + 1) % nodes))),
                7 => net.links.cut.clear(),
                // Nobody knows who runs.
                _ => {
                    let (of, up) = (net.links.draw(nodes as u64) as usize, net.links.draw(2) == 0);
                    net.nodes[n].member.iter_mut().for_each(|m| m.believe(of, up));
                }
            }
            let moment = net.links.draw(1_500 * MS);
            net.run(moment);
        }
        highest = (net.most[0].0.max(highest.0), net.most[0].1.max(highest.1));
    }
    assert!(highest.0 > 900 && highest.1 > 900, "else nothing much was ever granted and spent: {highest:?}");
}

#[test]
fn parts_flow_in_calm_and_go_where_they_are_wanted() {
    for nodes in [4, 16, 64] {
        let mut net = Net::new(nodes, 3, &wholes());
        (0..nodes).for_each(|n| net.want(n, 1_000_000));
        net.run(6 * S);
        assert!(net.in_force(0) >= 95_000, "{nodes}: {} of 100,000", net.in_force(0));
        // One alone wants anything: within two seconds it has what the others do not.
        (1..nodes).for_each(|n| net.want(n, 0));
        net.run(2 * S);
        let clock = net.nodes[0].clock(net.links.now);
        let part = net.nodes[0].member.as_ref().unwrap().part(clock, 0).0;
        let floors = 100 * nodes as u64;
        assert!(part >= (100_000 - floors) * 94 / 100, "{nodes}: the only one has {part}");
    }
}

#[test]
fn after_a_dividers_death_another_divides_once_its_votes_are_over() {
    for seed in 0..50 {
        let (mut net, divider) = divided(5, seed, &wholes());
        net.kill(divider);
        net.run(5 * S);
        let next = net.divider(0).expect("another divides");
        assert_ne!(next, divider, "seed {seed}");
        assert!(net.in_force(0) >= 90_000, "seed {seed}: {}", net.in_force(0));
        // The old one comes back, and takes nothing away.
        net.start(divider);
        net.run(5 * S);
        assert_eq!(net.divider(0), Some(next), "seed {seed}");
    }
}

#[test]
fn the_lesser_side_of_a_split_lives_on_its_floors_and_the_greater_goes_on() {
    for seed in 0..50 {
        let (mut net, divider) = divided(5, seed, &wholes());
        // The divider stands on the lesser side.
        let other = (divider + 1) % 5;
        net.links.split(net.nodes.len(), &[divider, other]);
        for n in 0..5 {
            let lesser = |m: usize| m == divider || m == other;
            let beliefs: Vec<bool> = (0..5).map(|m| lesser(m) == lesser(n)).collect();
            let member = net.nodes[n].member.as_mut().unwrap();
            beliefs.iter().enumerate().for_each(|(m, up)| member.believe(m, *up));
        }
        net.run(8 * S);
        for n in [divider, other] {
            let clock = net.nodes[n].clock(net.links.now);
            assert_eq!(
                net.nodes[n].member.as_ref().unwrap().part(clock, 0),
                (100, Micros::MAX),
                "seed {seed}: p{n}"
            );
        }
        assert!(net.in_force(0) >= 90_000, "seed {seed}: {}", net.in_force(0));
        let changes = net.nodes[other].member.as_mut().unwrap().changes();
        assert!(changes.contains(&Change::Floor { budget: 0, begins: true }), "and it says so");
    }
}

#[test]
fn a_whole_that_is_lowered_is_kept_once_what_was_granted_has_ended() {
    let (mut net, _) = divided(4, 9, &wholes());
    let half = Whole { whole: 50_000, floor: 100, felt_us: 0 };
    for node in &mut net.nodes {
        node.member.as_mut().unwrap().set(0, half.whole).unwrap();
    }
    net.run(S + 100 * MS);
    net.wholes[0] = half;
    net.run(5 * S);
    assert!(net.in_force(0) >= 47_000);
    let less = net.nodes[0].member.as_mut().unwrap().set(0, 399);
    assert_eq!(less.unwrap_err().floors, 400, "a whole below its floors is refused");
    assert!(Member::new((0, 1), 4, &[Whole { whole: 399, floor: 100, felt_us: 0 }], 0, Options::default())
        .is_err());
}

/// Who is believed to run decides who stands and nothing else: where each believes itself alone, or all the others gone the
/// round, one divides in the end, and all have parts.
#[test]
fn members_that_disagree_about_who_runs_agree_on_a_divider_in_the_end() {
    let mut longest = 0;
    for nodes in [3, 5, 8] {
        for seed in 0..60 {
            let mut net = Net::new(nodes, seed, &wholes());
            (0..nodes).for_each(|n| net.want(n, 1_000_000));
            for n in 0..nodes {
                let member = net.nodes[n].member.as_mut().unwrap();
                // By turns: itself alone; the next in a ring; itself and two others.
                let alone = |m: usize| match seed % 3 {
                    0 => m == n,
                    1 => m == (n + 1) % nodes,
                    _ => m == n || m == (n + 1) % nodes || m == (n + 2) % nodes,
                };
                (0..nodes).for_each(|m| member.believe(m, alone(m)));
            }
            // Started one after the other, so that each has votes for a moment.
            for n in 0..nodes {
                let beliefs: Vec<bool> = (0..nodes).map(|m| m == n || seed % 3 == 1).collect();
                net.nodes[n].life += 1;
                let (life, clock) = (net.nodes[n].life, net.nodes[n].clock(net.links.now));
                let mut member = Member::new((n, life), nodes, &net.wholes, clock, net.options).unwrap();
                beliefs.iter().enumerate().for_each(|(m, up)| member.believe(m, *up));
                net.nodes[n].member = Some(member);
                let moment = net.links.draw(3 * S);
                net.run(moment);
            }
            let begun = net.links.now;
            while net.divider(0).is_none() || net.in_force(0) < 90_000 {
                assert!(net.links.now < begun + 60 * S, "{nodes} members, seed {seed}: {}", net.in_force(0));
                net.run(S);
            }
            let divider = net.divider(0);
            longest = longest.max(net.links.now - begun);
            net.run(10 * S);
            assert_eq!(net.divider(0), divider, "{nodes} members, seed {seed}");
        }
    }
    assert!(longest <= 10 * S, "{longest} us: not for long, either");
}

/// What was spent by the last votes of one divider is felt no more when the next has its own.
#[test]
fn the_sum_of_what_is_felt_holds_from_one_divider_to_the_next() {
    let wholes = [Whole { whole: 100_000, floor: 100, felt_us: 3 * S }];
    for seed in 0..200 {
        let (mut net, divider) = divided(5, seed, &wholes);
        // It goes on granting to one beside it for as long as it has votes, and those two alone want all.
        let other = (divider + 1) % 5;
        (0..5).filter(|n| *n != other && *n != divider).for_each(|n| net.want(n, 0));
        net.run(4 * S);
        net.links.split(5, &[divider, other]);
        for n in (0..5).filter(|n| *n != other && *n != divider) {
            net.want(n, 1_000_000);
            let member = net.nodes[n].member.as_mut().unwrap();
            [divider, other].into_iter().for_each(|m| member.believe(m, false));
        }
        net.run(14 * S);
        assert!(net.divider(0).is_some_and(|next| next != divider), "seed {seed}");
        assert!(net.in_force(0) > 90_000, "seed {seed}: {}", net.in_force(0));
        assert!(net.most[0].1 > 900, "seed {seed}: {:?}", net.most);
    }
}

/// A holder that starts again at once does not know what it spent before, and is granted nothing in its place.
#[test]
fn what_a_holder_spent_before_it_started_again_counts_beside_what_it_spends_now() {
    let wholes = [Whole { whole: 100_000, floor: 100, felt_us: 3 * S }];
    for seed in 0..100 {
        let mut net = Net::new(4, seed, &wholes);
        net.run(8 * S);
        let divider = net.divider(0).expect("one divides");
        let holder = (divider + 1) % 4;
        net.want(holder, 1_000_000);
        net.run(3 * S);
        for _ in 0..4 {
            net.kill(holder);
            net.start(holder);
            net.want(holder, 1_000_000);
            let moment = net.links.draw(1_500 * MS);
            net.run(moment);
        }
        net.run(6 * S);
        assert!(net.in_force(0) > 90_000, "seed {seed}: {}", net.in_force(0));
    }
}

/// What is spent is felt for seconds: who wants less gives up what it does not have out at once, and not when all of it
/// could be over.
#[test]
fn what_is_given_up_is_free_long_before_it_could_be_felt_no_more() {
    let wholes = [Whole { whole: 100_000, floor: 100, felt_us: 5 * S }];
    let mut net = Net::new(4, 5, &wholes);
    net.want(0, 1_000_000);
    net.run(12 * S);
    let part = |net: &Net, n: usize| {
        let node = &net.nodes[n];
        node.member.as_ref().unwrap().part(node.clock(net.links.now), 0).0
    };
    assert!(part(&net, 0) > 90_000, "{}", part(&net, 0));
    // It has spent all of it, and wants no more; another does.
    net.want(0, 0);
    net.want(1, 1_000_000);
    net.run(S);
    assert!(part(&net, 1) < 10_000, "what is out is felt still: {}", part(&net, 1));
    net.nodes[0].spent[0].clear();
    net.run(S);
    assert!(part(&net, 1) > 90_000, "{}", part(&net, 1));
}

/// A divider that starts again at once has forgotten what it granted: it is another life, which has no votes before all
/// that is over.
#[test]
fn a_divider_that_starts_again_at_once_grants_nothing_beside_what_it_forgot() {
    for seed in 0..100 {
        let mut net = Net::new(5, seed, &wholes());
        net.run(3 * S);
        let divider = net.divider(0).expect("one divides");
        let (holder, next) = ((divider + 1) % 5, (divider + 2) % 5);
        net.want(holder, 1_000_000);
        net.run(3 * S);
        net.kill(divider);
        net.want(next, 1_000_000);
        net.start(divider);
        net.run(6 * S);
        assert!(net.in_force(0) >= 90_000, "seed {seed}: and then they share");
    }
}

/// A voter that starts again does not know whose its vote is: it gives none before that is over.
#[test]
fn a_voter_that_starts_again_makes_no_second_divider() {
    for seed in 0..100 {
        let (mut net, divider) = divided(3, seed, &wholes());
        let (voter, other) = ((divider + 1) % 3, (divider + 2) % 3);
        // The divider alone wants anything, and has it by the voter's vote, as the other is away.
        [voter, other].into_iter().for_each(|n| net.want(n, 0));
        net.links.split(net.nodes.len(), &[other]);
        net.run(5 * S);
        assert_eq!(net.divider(0), Some(divider), "seed {seed}");
        net.links.cut.clear();
        net.links.split(net.nodes.len(), &[divider]);
        net.kill(voter);
        net.start(voter);
        for n in [voter, other] {
            net.nodes[n].member.as_mut().unwrap().believe(divider, false);
            net.want(n, 1_000_000);
        }
        net.run(8 * S);
        assert!(net.in_force(0) >= 90_000, "seed {seed}: the two go on without it");
    }
}

/// `cargo test --release -p linnetknot-budgets -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn figures() {
    println!("| members | calm | bytes a member a second | a tenth away, 2 s after | half dead, 2 s after | the divider among them, 2 s, 5 s | one alone wants: 90% after |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for nodes in [4, 16, 64, 300] {
        let whole = 1_000_000;
        // A quarter set aside in floors: what the dead do not spend of theirs is lost to the others.
        let wholes = [Whole { whole, floor: whole / 4 / nodes as u64, felt_us: S }];
        let start = || {
            let mut net = Net::new(nodes, 9, &wholes);
            (0..nodes).for_each(|n| net.want(n, whole));
            net.run(12 * S);
            net
        };
        // What the living may spend, in percent of what their floors and the shared part come to.
        let usable = |net: &Net| {
            let runs = net.nodes.iter().filter(|n| n.member.is_some());
            let parts: Amount =
                runs.map(|n| n.member.as_ref().map_or(0, |m| m.part(n.clock(net.links.now), 0).0)).sum();
            parts * 100 / whole
        };
        let mut net = start();
        let calm = usable(&net);
        let before = net.bytes;
        net.run(5 * S);
        let bytes = (net.bytes - before) / 5 / nodes as u64;
        let divider = net.divider(0).expect("one divides");
        let others: Vec<usize> = (0..nodes).filter(|n| *n != divider).collect();
        others.iter().take(nodes.div_ceil(10)).for_each(|n| net.kill(*n));
        net.run(2 * S);
        let tenth = usable(&net);
        let mut net = start();
        let divider = net.divider(0).expect("one divides");
        let others: Vec<usize> = (0..nodes).filter(|n| *n != divider).collect();
        others.iter().take((nodes - 1) / 2).for_each(|n| net.kill(*n));
        net.run(2 * S);
        let half = usable(&net);
        let mut net = start();
        let divider = net.divider(0).expect("one divides");
        net.kill(divider);
        others.iter().filter(|n| **n != divider).take((nodes - 1) / 2 - 1).for_each(|n| net.kill(*n));
        net.run(2 * S);
        let two = usable(&net);
        net.run(3 * S);
        let five = usable(&net);
        let mut net = start();
        (1..nodes).for_each(|n| net.want(n, 0));
        let begun = net.links.now;
        let part = |net: &Net| {
            net.nodes[0].member.as_ref().map_or(0, |m| m.part(net.nodes[0].clock(net.links.now), 0).0)
        };
        while part(&net) < whole * 3 / 4 * 9 / 10 && net.links.now < begun + 20 * S {
            net.run(50 * MS);
        }
        let hot = (net.links.now - begun) / MS;
        println!("| {nodes} | {calm}% | {bytes} | {tenth}% | {half}% | {two}%, {five}% | {hot} ms |");
    }
}
