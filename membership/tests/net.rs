//! Many members on virtual time: deaths, half of all at once, one-way cuts, processes that stand still, splits,
//! successors under an old name. All by seeds.

use linnetknot_membership::*;
use linnetknot_simnet::{self as simnet, member_at, peer_index, Delay, Step, Timed};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

struct Node {
    membership: Option<Membership>,
    process: ProcessId,
    /// What came while it stood still.
    stalled: Option<Vec<(usize, Vec<u8>)>>,
}

struct Net {
    links: simnet::Network<Vec<u8>>,
    nodes: Vec<Node>,
    bytes: u64,
    /// When members were first believed dead, and by whom.
    deaths: Vec<(Micros, usize, usize)>,
}

fn id(n: usize) -> Id {
    0x1000 + n as u64
}

fn names(n: usize) -> Names {
    Names {
        name: format!("p{n}"),
        machine: format!("machine-{n}"),
    }
}

impl Net {
    fn new(nodes: usize, seed: u64) -> Net {
        let mut net = Net {
            links: simnet::Network::new(
                seed,
                Delay {
                    min_us: 100,
                    jitter_us: 2 * MS,
                },
            ),
            nodes: Vec::new(),
            bytes: 0,
            deaths: Vec::new(),
        };
        net.nodes.extend((0..nodes).map(|_| Node {
            membership: None,
            process: 0,
            stalled: None,
        }));
        (0..nodes).for_each(|n| net.start(n));
        net
    }

    fn start(&mut self, n: usize) {
        let seed = self.links.draw(u64::MAX);
        let node = &mut self.nodes[n];
        (node.process, node.stalled) = (node.process.max(self.links.now) + 1, None);
        let config = MembershipConfig {
            id: id(n),
            process: self.nodes[n].process,
            names: names(n),
            peers: self.nodes.len() - 1,
            seed,
            options: Options::default(),
        };
        self.nodes[n].membership = Some(Membership::new(config, self.links.now));
    }

    fn kill(&mut self, n: usize) {
        (self.nodes[n].membership, self.nodes[n].stalled) = (None, None);
    }

    fn send(&mut self, n: usize) {
        let outgoing = self.nodes[n]
            .membership
            .as_mut()
            .map(Membership::take_outgoing)
            .unwrap_or_default();
        for Outgoing { peer, datagram } in outgoing {
            assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
            self.bytes += datagram.len() as u64;
            self.links.send(n, member_at(peer, n), &datagram);
        }
        let changes = self.nodes[n]
            .membership
            .as_mut()
            .map(Membership::take_changes)
            .unwrap_or_default();
        for change in changes.iter().filter(|c| c.new.state == MemberState::Dead) {
            self.deaths
                .push((self.links.now, n, member_at(change.peer, n)));
        }
    }

    fn arrive(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if let Some(waiting) = &mut self.nodes[to].stalled {
            return waiting.push((from, bytes));
        }
        let now = self.links.now;
        if let Some(membership) = &mut self.nodes[to].membership {
            membership
                .receive(now, peer_index(from, to), &bytes)
                .expect("it is well formed");
            self.send(to);
        }
    }

    fn run(&mut self, for_us: Micros) {
        let end = self.links.now + for_us;
        loop {
            let due = |(n, node): (usize, &Node)| {
                let membership = node.membership.as_ref();
                let running = membership.filter(|_| node.stalled.is_none())?;
                Some(Timed {
                    at: running.due(),
                    event: n,
                })
            };
            let due = self.nodes.iter().enumerate().filter_map(due).min();
            match self.links.step(end, due) {
                Step::Delivered { from, to, message } => self.arrive(from, to, message),
                Step::Due(n) => self.tick(n),
                Step::Finished => return,
            }
        }
    }

    fn tick(&mut self, n: usize) {
        let now = self.links.now;
        self.nodes[n]
            .membership
            .iter_mut()
            .for_each(|f| f.tick(now));
        self.send(n);
    }

    fn stall(&mut self, n: usize) {
        self.nodes[n].stalled = Some(Vec::new());
    }

    /// It goes on: its timers first, as a loop may do that wakes up late.
    fn go_on(&mut self, n: usize) {
        let waiting = self.nodes[n].stalled.take().unwrap_or_default();
        self.tick(n);
        waiting
            .into_iter()
            .for_each(|(from, bytes)| self.arrive(from, n, bytes));
    }

    /// What a node believes of another.
    fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        Some(
            self.nodes[at].membership.as_ref()?.members()[peer_index(of, at)]
                .claim?
                .state,
        )
    }

    /// Whether all that run believe that exactly those run.
    fn agree(&self) -> bool {
        let runs = |n: usize| self.nodes[n].membership.is_some();
        let all = || 0..self.nodes.len();
        let right = |at: usize, of: usize| match self.state(at, of) {
            Some(MemberState::Alive) => runs(of),
            Some(MemberState::Suspect) => false,
            _ => !runs(of),
        };
        all()
            .filter(|at| runs(*at))
            .all(|at| all().filter(|of| *of != at).all(|of| right(at, of)))
    }

    /// Runs until all agree: how long it took, none where it took longer than so long.
    fn until_agreed(&mut self, most: Micros) -> Option<Micros> {
        let begun = self.links.now;
        while self.links.now < begun + most {
            if self.agree() {
                return Some(self.links.now - begun);
            }
            self.run(50 * MS);
        }
        None
    }
}

#[test]
fn a_death_is_known_to_all_and_nobody_else_is_taken_for_dead() {
    for (nodes, seeds, most) in [(4, 1000, 15 * S), (16, 200, 15 * S), (64, 20, 25 * S)] {
        for seed in 0..seeds {
            let mut net = Net::new(nodes, seed);
            net.links.loss_percent = seed % 4;
            assert!(
                net.until_agreed(20 * S).is_some(),
                "{nodes}, seed {seed}: all are found"
            );
            net.kill(0);
            assert!(
                net.until_agreed(most).is_some(),
                "{nodes}, seed {seed}: its death is known"
            );
            assert!(
                net.deaths.iter().all(|(_, _, of)| *of == 0),
                "{nodes}, seed {seed}: {:?}",
                net.deaths
            );
        }
    }
}

#[test]
fn half_of_all_die_at_once_and_come_back_at_once_in_new_lives() {
    for seed in 0..150 {
        let mut net = Net::new(16, seed);
        net.until_agreed(20 * S).unwrap();
        (0..8).for_each(|n| net.kill(n));
        assert!(
            net.until_agreed(40 * S).is_some(),
            "seed {seed}: eight deaths are known"
        );
        assert!(net.deaths.iter().all(|(_, _, of)| *of < 8), "seed {seed}");
        (0..8).for_each(|n| net.start(n));
        assert!(
            net.until_agreed(20 * S).is_some(),
            "seed {seed}: all are back"
        );
    }
}

#[test]
fn a_link_cut_one_way_makes_nobody_dead_as_others_hear_it() {
    for seed in 0..300 {
        let mut net = Net::new(5, seed);
        net.until_agreed(20 * S).unwrap();
        net.links.cut(0, 1);
        net.run(60 * S);
        assert_eq!(net.deaths, [], "seed {seed}");
        // Both ways, between two of five: the others hear both.
        net.links.cut(1, 0);
        net.run(60 * S);
        assert_eq!(net.deaths, [], "seed {seed}");
    }
}

#[test]
fn a_member_cut_off_from_all_is_dead_to_all_though_other_links_are_cut_too() {
    for seed in 0..300 {
        let mut net = Net::new(5, seed);
        net.until_agreed(20 * S).unwrap();
        net.links.cut(0, 1);
        net.links.cut(1, 2);
        net.links.cut(2, 1);
        net.links.partition(net.nodes.len(), &[4]);
        net.run(15 * S);
        let dead = |at, of| net.state(at, of) == Some(MemberState::Dead);
        assert!((0..4).all(|n| dead(n, 4)), "seed {seed}: {:?}", net.deaths);
        net.run(15 * S);
        assert!(
            (0..4).all(|n| net.state(4, n) == Some(MemberState::Dead)),
            "seed {seed}: and they to it"
        );
        let wrong = net
            .deaths
            .iter()
            .filter(|(_, by, of)| *by != 4 && *of != 4)
            .count();
        assert_eq!(wrong, 0, "seed {seed}: {:?}", net.deaths);
    }
}

#[test]
fn who_stood_still_blames_nobody_and_refutes_its_own_death() {
    for seed in 0..300 {
        let mut net = Net::new(5, seed);
        net.until_agreed(20 * S).unwrap();
        let still = 1 + net.links.draw(15_000);
        net.stall(0);
        net.run(still * MS);
        net.deaths.clear();
        net.go_on(0);
        let agreed = net.until_agreed(30 * S);
        assert!(
            agreed.is_some(),
            "seed {seed}: after {still} ms all know that it runs"
        );
        net.run(20 * S);
        assert!(
            net.deaths.iter().all(|(_, by, of)| *of == 0 && *by != 0),
            "seed {seed}: {:?}",
            net.deaths
        );
        assert!(net.agree(), "seed {seed}");
    }
}

#[test]
fn a_split_is_seen_by_both_sides_and_forgotten_after_it() {
    for seed in 0..150 {
        let mut net = Net::new(5, seed);
        net.until_agreed(20 * S).unwrap();
        net.links.partition(net.nodes.len(), &[0, 1]);
        net.run(30 * S);
        for (at, of) in [(0, 2), (1, 4), (2, 0), (4, 1)] {
            assert_eq!(
                net.state(at, of),
                Some(MemberState::Dead),
                "seed {seed}: {at} of {of}"
            );
        }
        assert_eq!(net.state(0, 1), Some(MemberState::Alive));
        assert_eq!(net.state(3, 4), Some(MemberState::Alive));
        net.links.restore();
        assert!(
            net.until_agreed(60 * S).is_some(),
            "seed {seed}: dead members are asked for again, now and then"
        );
    }
}

#[test]
fn a_successor_beats_the_life_before_and_the_old_process_learns_of_it() {
    for seed in 0..150 {
        let mut net = Net::new(4, seed);
        net.until_agreed(20 * S).unwrap();
        // It stands still, and a successor begins under its name, by the same address.
        net.stall(0);
        net.run(2 * S);
        let old = net.nodes[0].membership.take();
        net.start(0);
        assert!(net.until_agreed(20 * S).is_some(), "seed {seed}");
        let process = net.nodes[0].process;
        // The old process goes on: whoever hears it tells it of its successor, and does not believe it.
        let successor = std::mem::replace(&mut net.nodes[0].membership, old);
        net.go_on(0);
        net.run(3 * S);
        assert!(
            net.nodes[0].membership.as_ref().unwrap().is_replaced(),
            "seed {seed}"
        );
        for at in 1..4 {
            let known = net.nodes[at].membership.as_ref().unwrap().members()[0]
                .claim
                .unwrap();
            assert_eq!(
                known.process, process,
                "seed {seed}: p{at} keeps to the successor"
            );
        }
        net.nodes[0].membership = successor;
        assert!(
            net.until_agreed(30 * S).is_some(),
            "seed {seed}: it refutes what was said while it was not heard"
        );
    }
}

#[test]
fn who_leaves_is_gone_at_once_and_is_no_death() {
    let mut net = Net::new(5, 3);
    net.until_agreed(20 * S).unwrap();
    net.nodes[0].membership.as_mut().unwrap().leave();
    net.send(0);
    net.run(10 * MS);
    assert!((1..5).all(|n| net.state(n, 0) == Some(MemberState::Left)));
    net.kill(0);
    net.run(30 * S);
    assert_eq!(net.deaths, []);
    let reported = net.nodes[1].membership.as_ref().unwrap().members()[1]
        .names
        .clone();
    assert_eq!(
        reported,
        Some(names(2)),
        "names are reported when they are requested"
    );
    net.start(0);
    assert!(
        net.until_agreed(10 * S).is_some(),
        "and is back with its next process"
    );
}

/// The figures of `docs/FIGURES.md`: how soon a death is known to one and to all, members taken for dead that were not,
/// and bytes at rest. `cargo test --release -p linnetknot-membership -- --ignored --nocapture`
#[test]
#[ignore = "a measurement of some minutes"]
fn figures_of_fleets_of_many_sizes() {
    println!(
        "members | seeds | first knows, p50 and most s | all know, p50 and most s | false deaths | \
         bytes a member a second"
    );
    for (nodes, seeds) in [(4, 1000), (16, 300), (64, 40), (256, 6), (1024, 1)] {
        let (mut first, mut all, mut wrong, mut rest) = (Vec::new(), Vec::new(), 0, 0);
        for seed in 0..seeds {
            let mut net = Net::new(nodes, seed);
            net.links.loss_percent = 1;
            net.until_agreed(200 * S).expect("all are found");
            let before = net.bytes;
            net.run(10 * S);
            rest += (net.bytes - before) / nodes as u64 / 10;
            net.kill(0);
            let begun = net.links.now;
            let agreed = net.until_agreed(120 * S).expect("its death is known");
            all.push(agreed);
            first.extend(
                net.deaths
                    .iter()
                    .filter(|(_, _, of)| *of == 0)
                    .map(|(at, ..)| at - begun)
                    .min(),
            );
            wrong += net.deaths.iter().filter(|(_, _, of)| *of != 0).count();
        }
        first.sort_unstable();
        all.sort_unstable();
        let s = |times: &[Micros], at: usize| times[at] as f64 / S as f64;
        println!(
            "{nodes} | {seeds} | {:.1}, {:.1} | {:.1}, {:.1} | {wrong} | {}",
            s(&first, first.len() / 2),
            s(&first, first.len() - 1),
            s(&all, all.len() / 2),
            s(&all, all.len() - 1),
            rest / seeds
        );
    }
}

/// What a member costs at rest, however many there are.
#[test]
fn bytes_a_member_a_second_do_not_grow_with_the_fleet() {
    for nodes in [4, 16, 64] {
        let mut net = Net::new(nodes, 5);
        net.run(30 * S);
        let before = net.bytes;
        net.run(20 * S);
        let each = (net.bytes - before) / nodes as u64 / 20;
        assert!(each < 400, "{nodes}: {each} bytes a member a second");
    }
}

#[test]
fn a_flood_of_requests_for_help_is_bounded_and_answered() {
    let mut net = Net::new(3, 9);
    net.until_agreed(20 * S).unwrap();
    let now = net.links.now;
    let asker = wire(
        net.nodes[1].process,
        Body::PingRequest {
            number: 7,
            target: id(2),
        },
    );
    let membership = net.nodes[0].membership.as_mut().unwrap();
    for _ in 0..500 {
        membership.receive(now, peer_index(1, 0), &asker).unwrap();
    }
    let outgoing = membership.take_outgoing();
    let pings = outgoing
        .iter()
        .filter(|out| out.peer == peer_index(2, 0))
        .count();
    assert_eq!(
        (pings, outgoing.len()),
        (Options::default().max_indirect_probes, 500),
        "the others had a no at once"
    );
}

fn wire(process: ProcessId, body: Body) -> Vec<u8> {
    let from = Sender {
        id: id(1),
        process,
        incarnation: 0,
    };
    Message {
        from,
        body,
        updates: vec![],
    }
    .encode()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(0x5717), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_a_message_or_an_error_and_harm_nobody(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        marked: bool,
    ) {
        let mut net = Net::new(3, 1);
        let datagram = if marked { [b"fleet1".as_slice(), &bytes].concat() } else { bytes };
        let now = net.links.now;
        let membership = net.nodes[0].membership.as_mut().unwrap();
        let read = Message::decode(&datagram);
        prop_assert_eq!(membership.receive(now, 0, &datagram).is_err(), read.is_err());
        prop_assert_eq!(membership.counters().unreadable, u64::from(read.is_err()));
        membership.tick(now + S);
    }

    #[test]
    fn a_message_cut_anywhere_is_malformed_and_no_other_message(
        number: u32,
        process: u64,
        claims in proptest::collection::vec(any::<(u64, u64, u64, u32)>(), 0..20),
    ) {
        let updates = claims.into_iter().map(|(id, observer, process, incarnation)| {
            Update { id, observer, claim: Claim { process, incarnation, state: MemberState::Suspect } }
        });
        let names = Some(Names { name: "n".repeat(40), machine: "m".repeat(40) });
        let message = Message {
            from: Sender { id: 1, process, incarnation: 3 },
            body: Body::Ack { number, of: None, names },
            updates: updates.collect(),
        };
        let bytes = message.clone().encode();
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let read = Message::decode(&bytes).unwrap();
        prop_assert_eq!(&read.body, &message.body);
        prop_assert!(
            message.updates.starts_with(&read.updates),
            "claims that do not fit are left out from the end"
        );
        for cut in 6..bytes.len() {
            prop_assert!(Message::decode(&bytes[..cut]).is_err());
        }
    }
}
