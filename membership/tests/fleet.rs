//! Simulated fleets on virtual time with deaths, cut links, stalled processes, partitions and restarts. All random
//! choices follow from a seed.

use linnetknot_membership::*;
use linnetknot_simnet::{self as simnet, member_at, peer_index, Delay, Step, Timed};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

struct Node {
    membership: Option<Membership>,
    process: ProcessId,
    /// The datagrams that were received during a stall; `None` if the member is not stalled.
    stalled_inbox: Option<Vec<(usize, Vec<u8>)>>,
}

struct Fleet {
    links: simnet::Network<Vec<u8>>,
    nodes: Vec<Node>,
    bytes: u64,
    /// Each declaration of a death: the time, the member that made it, and the member declared dead.
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

impl Fleet {
    fn new(nodes: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
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
        fleet.nodes.extend((0..nodes).map(|_| Node {
            membership: None,
            process: 0,
            stalled_inbox: None,
        }));
        (0..nodes).for_each(|n| fleet.start(n));
        fleet
    }

    fn start(&mut self, n: usize) {
        let seed = self.links.draw(u64::MAX);
        let node = &mut self.nodes[n];
        (node.process, node.stalled_inbox) = (node.process.max(self.links.now) + 1, None);
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
        (self.nodes[n].membership, self.nodes[n].stalled_inbox) = (None, None);
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

    fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if let Some(inbox) = &mut self.nodes[to].stalled_inbox {
            return inbox.push((from, bytes));
        }
        let now = self.links.now;
        if let Some(membership) = &mut self.nodes[to].membership {
            membership
                .receive(now, peer_index(from, to), &bytes)
                .expect("the datagram is well-formed");
            self.send(to);
        }
    }

    fn run(&mut self, duration_us: Micros) {
        let end = self.links.now + duration_us;
        loop {
            let due = |(n, node): (usize, &Node)| {
                let membership = node.membership.as_ref();
                let running = membership.filter(|_| node.stalled_inbox.is_none())?;
                Some(Timed {
                    at: running.due(),
                    event: n,
                })
            };
            let due = self.nodes.iter().enumerate().filter_map(due).min();
            match self.links.step(end, due) {
                Step::Delivered { from, to, message } => self.deliver(from, to, message),
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
            .for_each(|membership| membership.tick(now));
        self.send(n);
    }

    fn stall(&mut self, n: usize) {
        self.nodes[n].stalled_inbox = Some(Vec::new());
    }

    /// Ends a stall. Timers run before the waiting datagrams are received, as in an event loop that wakes up late.
    fn resume(&mut self, n: usize) {
        let inbox = self.nodes[n].stalled_inbox.take().unwrap_or_default();
        self.tick(n);
        inbox
            .into_iter()
            .for_each(|(from, bytes)| self.deliver(from, n, bytes));
    }

    /// Returns the state of a member as seen by another member.
    fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        Some(
            self.nodes[observer].membership.as_ref()?.members()[peer_index(subject, observer)]
                .claim?
                .state,
        )
    }

    /// Returns whether all running members consider exactly the running members alive.
    fn all_agree(&self) -> bool {
        let runs = |n: usize| self.nodes[n].membership.is_some();
        let all = || 0..self.nodes.len();
        let is_accurate = |observer: usize, subject: usize| match self.state(observer, subject) {
            Some(MemberState::Alive) => runs(subject),
            Some(MemberState::Suspect) => false,
            _ => !runs(subject),
        };
        all()
            .filter(|at| runs(*at))
            .all(|at| all().filter(|of| *of != at).all(|of| is_accurate(at, of)))
    }

    /// Runs until all running members agree. Returns how long that took, or `None` after the timeout.
    fn run_until_agreed(&mut self, timeout_us: Micros) -> Option<Micros> {
        let started_at = self.links.now;
        while self.links.now < started_at + timeout_us {
            if self.all_agree() {
                return Some(self.links.now - started_at);
            }
            self.run(50 * MS);
        }
        None
    }
}

#[test]
fn a_death_is_detected_by_all_and_no_other_member_is_declared_dead() {
    for (nodes, seeds, timeout_us) in [(4, 1000, 15 * S), (16, 200, 15 * S), (64, 20, 25 * S)] {
        for seed in 0..seeds {
            let mut fleet = Fleet::new(nodes, seed);
            fleet.links.loss_percent = seed % 4;
            assert!(
                fleet.run_until_agreed(20 * S).is_some(),
                "{nodes}, seed {seed}: all members are discovered"
            );
            fleet.kill(0);
            assert!(
                fleet.run_until_agreed(timeout_us).is_some(),
                "{nodes}, seed {seed}: the death is known to all"
            );
            assert!(
                fleet.deaths.iter().all(|(_, _, subject)| *subject == 0),
                "{nodes}, seed {seed}: {:?}",
                fleet.deaths
            );
        }
    }
}

#[test]
fn simultaneous_deaths_and_restarts_of_half_of_the_fleet_are_detected() {
    for seed in 0..150 {
        let mut fleet = Fleet::new(16, seed);
        fleet.run_until_agreed(20 * S).unwrap();
        (0..8).for_each(|n| fleet.kill(n));
        assert!(
            fleet.run_until_agreed(40 * S).is_some(),
            "seed {seed}: the eight deaths are known to all"
        );
        assert!(
            fleet.deaths.iter().all(|(_, _, subject)| *subject < 8),
            "seed {seed}"
        );
        (0..8).for_each(|n| fleet.start(n));
        assert!(
            fleet.run_until_agreed(20 * S).is_some(),
            "seed {seed}: all members are up again"
        );
    }
}

#[test]
fn a_link_cut_in_one_or_both_directions_causes_no_death() {
    for seed in 0..300 {
        let mut fleet = Fleet::new(5, seed);
        fleet.run_until_agreed(20 * S).unwrap();
        fleet.links.cut(0, 1);
        fleet.run(60 * S);
        assert_eq!(fleet.deaths, [], "seed {seed}");
        // The link between two of the five members is cut in both directions. Indirect probes still reach both.
        fleet.links.cut(1, 0);
        fleet.run(60 * S);
        assert_eq!(fleet.deaths, [], "seed {seed}");
    }
}

#[test]
fn an_isolated_member_is_declared_dead_although_other_links_are_cut_too() {
    for seed in 0..300 {
        let mut fleet = Fleet::new(5, seed);
        fleet.run_until_agreed(20 * S).unwrap();
        fleet.links.cut(0, 1);
        fleet.links.cut(1, 2);
        fleet.links.cut(2, 1);
        fleet.links.partition(fleet.nodes.len(), &[4]);
        fleet.run(15 * S);
        let dead = |observer, subject| fleet.state(observer, subject) == Some(MemberState::Dead);
        assert!(
            (0..4).all(|n| dead(n, 4)),
            "seed {seed}: {:?}",
            fleet.deaths
        );
        fleet.run(15 * S);
        assert!(
            (0..4).all(|n| fleet.state(4, n) == Some(MemberState::Dead)),
            "seed {seed}: the isolated member declares the others dead"
        );
        let false_deaths = fleet
            .deaths
            .iter()
            .filter(|(_, observer, subject)| *observer != 4 && *subject != 4)
            .count();
        assert_eq!(false_deaths, 0, "seed {seed}: {:?}", fleet.deaths);
    }
}

#[test]
fn a_stalled_member_declares_no_other_dead_and_refutes_its_own_death() {
    for seed in 0..300 {
        let mut fleet = Fleet::new(5, seed);
        fleet.run_until_agreed(20 * S).unwrap();
        let stall_ms = 1 + fleet.links.draw(15_000);
        fleet.stall(0);
        fleet.run(stall_ms * MS);
        fleet.deaths.clear();
        fleet.resume(0);
        let agreed = fleet.run_until_agreed(30 * S);
        assert!(
            agreed.is_some(),
            "seed {seed}: all know that the member is alive after a stall of {stall_ms} ms"
        );
        fleet.run(20 * S);
        assert!(
            fleet
                .deaths
                .iter()
                .all(|(_, observer, subject)| *subject == 0 && *observer != 0),
            "seed {seed}: {:?}",
            fleet.deaths
        );
        assert!(fleet.all_agree(), "seed {seed}");
    }
}

#[test]
fn both_sides_detect_a_partition_and_recover_after_it() {
    for seed in 0..150 {
        let mut fleet = Fleet::new(5, seed);
        fleet.run_until_agreed(20 * S).unwrap();
        fleet.links.partition(fleet.nodes.len(), &[0, 1]);
        fleet.run(30 * S);
        for (observer, subject) in [(0, 2), (1, 4), (2, 0), (4, 1)] {
            assert_eq!(
                fleet.state(observer, subject),
                Some(MemberState::Dead),
                "seed {seed}: state of {subject} as seen by {observer}"
            );
        }
        assert_eq!(fleet.state(0, 1), Some(MemberState::Alive));
        assert_eq!(fleet.state(3, 4), Some(MemberState::Alive));
        fleet.links.restore();
        assert!(
            fleet.run_until_agreed(60 * S).is_some(),
            "seed {seed}: dead members are probed occasionally"
        );
    }
}

#[test]
fn a_successor_overrides_the_old_process_which_learns_that_it_was_replaced() {
    for seed in 0..150 {
        let mut fleet = Fleet::new(4, seed);
        fleet.run_until_agreed(20 * S).unwrap();
        // The old process stalls, and a successor starts under the same name and address.
        fleet.stall(0);
        fleet.run(2 * S);
        let old = fleet.nodes[0].membership.take();
        fleet.start(0);
        assert!(fleet.run_until_agreed(20 * S).is_some(), "seed {seed}");
        let process = fleet.nodes[0].process;
        // The old process resumes. The other members must reject its claims and notify it of its successor.
        let successor = std::mem::replace(&mut fleet.nodes[0].membership, old);
        fleet.resume(0);
        fleet.run(3 * S);
        assert!(
            fleet.nodes[0].membership.as_ref().unwrap().is_replaced(),
            "seed {seed}"
        );
        for observer in 1..4 {
            let claim = fleet.nodes[observer].membership.as_ref().unwrap().members()[0]
                .claim
                .unwrap();
            assert_eq!(
                claim.process, process,
                "seed {seed}: p{observer} still knows the successor"
            );
        }
        fleet.nodes[0].membership = successor;
        assert!(
            fleet.run_until_agreed(30 * S).is_some(),
            "seed {seed}: the successor refutes the claims about it"
        );
    }
}

#[test]
fn a_member_that_leaves_is_known_to_have_left_at_once_and_not_declared_dead() {
    let mut fleet = Fleet::new(5, 3);
    fleet.run_until_agreed(20 * S).unwrap();
    fleet.nodes[0].membership.as_mut().unwrap().leave();
    fleet.send(0);
    fleet.run(10 * MS);
    assert!((1..5).all(|n| fleet.state(n, 0) == Some(MemberState::Left)));
    fleet.kill(0);
    fleet.run(30 * S);
    assert_eq!(fleet.deaths, []);
    let reported = fleet.nodes[1].membership.as_ref().unwrap().members()[1]
        .names
        .clone();
    assert_eq!(reported, Some(names(2)), "names are reported on request");
    fleet.start(0);
    assert!(
        fleet.run_until_agreed(10 * S).is_some(),
        "the next process of the member is known to all"
    );
}

/// Prints the figures of `docs/FIGURES.md`: detection times of a death by the first member and by all, false deaths,
/// and idle traffic. `cargo test --release -p linnetknot-membership -- --ignored --nocapture`
#[test]
#[ignore = "a measurement of some minutes"]
fn figures_by_fleet_size() {
    println!(
        "members | seeds | first known, p50 and max s | known to all, p50 and max s | false deaths | \
         bytes per member and second"
    );
    for (nodes, seeds) in [(4, 1000), (16, 300), (64, 40), (256, 6), (1024, 1)] {
        let (mut first_known_us, mut all_known_us, mut false_deaths, mut idle_bytes) =
            (Vec::new(), Vec::new(), 0, 0);
        for seed in 0..seeds {
            let mut fleet = Fleet::new(nodes, seed);
            fleet.links.loss_percent = 1;
            fleet
                .run_until_agreed(200 * S)
                .expect("all members are discovered");
            let bytes_before = fleet.bytes;
            fleet.run(10 * S);
            idle_bytes += (fleet.bytes - bytes_before) / nodes as u64 / 10;
            fleet.kill(0);
            let started_at = fleet.links.now;
            let agreed = fleet
                .run_until_agreed(120 * S)
                .expect("the death is known to all");
            all_known_us.push(agreed);
            first_known_us.extend(
                fleet
                    .deaths
                    .iter()
                    .filter(|(_, _, subject)| *subject == 0)
                    .map(|(at, ..)| at - started_at)
                    .min(),
            );
            false_deaths += fleet
                .deaths
                .iter()
                .filter(|(_, _, subject)| *subject != 0)
                .count();
        }
        first_known_us.sort_unstable();
        all_known_us.sort_unstable();
        let seconds = |times: &[Micros], index: usize| times[index] as f64 / S as f64;
        println!(
            "{nodes} | {seeds} | {:.1}, {:.1} | {:.1}, {:.1} | {false_deaths} | {}",
            seconds(&first_known_us, first_known_us.len() / 2),
            seconds(&first_known_us, first_known_us.len() - 1),
            seconds(&all_known_us, all_known_us.len() / 2),
            seconds(&all_known_us, all_known_us.len() - 1),
            idle_bytes / seeds
        );
    }
}

/// Guards against idle traffic per member that grows with the number of members.
#[test]
fn traffic_per_member_does_not_grow_with_the_fleet() {
    for nodes in [4, 16, 64] {
        let mut fleet = Fleet::new(nodes, 5);
        fleet.run(30 * S);
        let bytes_before = fleet.bytes;
        fleet.run(20 * S);
        let bytes_per_second = (fleet.bytes - bytes_before) / nodes as u64 / 20;
        assert!(
            bytes_per_second < 400,
            "{nodes}: {bytes_per_second} bytes per member and second"
        );
    }
}

#[test]
fn pings_on_behalf_of_others_are_bounded_and_excess_requests_refused() {
    let mut fleet = Fleet::new(3, 9);
    fleet.run_until_agreed(20 * S).unwrap();
    let now = fleet.links.now;
    let request = encode_datagram(
        fleet.nodes[1].process,
        Body::PingRequest {
            number: 7,
            target: id(2),
        },
    );
    let membership = fleet.nodes[0].membership.as_mut().unwrap();
    for _ in 0..500 {
        membership.receive(now, peer_index(1, 0), &request).unwrap();
    }
    let outgoing = membership.take_outgoing();
    let pings = outgoing
        .iter()
        .filter(|out| out.peer == peer_index(2, 0))
        .count();
    assert_eq!(
        (pings, outgoing.len()),
        (Options::default().max_indirect_probes, 500),
        "excess requests are answered with a nack at once"
    );
}

fn encode_datagram(process: ProcessId, body: Body) -> Vec<u8> {
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
    fn arbitrary_bytes_are_decoded_or_rejected_without_harm(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        has_prefix: bool,
    ) {
        let mut fleet = Fleet::new(3, 1);
        let datagram = if has_prefix { [b"fleet1".as_slice(), &bytes].concat() } else { bytes };
        let now = fleet.links.now;
        let membership = fleet.nodes[0].membership.as_mut().unwrap();
        let read = Message::decode(&datagram);
        prop_assert_eq!(membership.receive(now, 0, &datagram).is_err(), read.is_err());
        prop_assert_eq!(membership.counters().unreadable, u64::from(read.is_err()));
        membership.tick(now + S);
    }

    #[test]
    fn a_truncated_message_is_rejected(
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
            body: Body::Ack { number, target: None, names },
            updates: updates.collect(),
        };
        let bytes = message.clone().encode();
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let read = Message::decode(&bytes).unwrap();
        prop_assert_eq!(&read.body, &message.body);
        prop_assert!(
            message.updates.starts_with(&read.updates),
            "updates that do not fit are dropped from the end"
        );
        for cut in 6..bytes.len() {
            prop_assert!(Message::decode(&bytes[..cut]).is_err());
        }
    }
}
