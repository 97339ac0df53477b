//! The environment of the proxies in a test run: the fake nodes and the event buses that announce them.

use super::deployment::{cold_start, freshness_us, parameters, settings, Deployment, Node};
use super::PlayDefect;
use crate::fakes::site::{FakeSite, NodeKind};
use crate::fakes::site_server::{ClassRules, SiteServer, Workload};
use crate::load::{group, Plan, Purge};
use crate::record::{ColdStart, Micros, Notice, NoticeKind};
use crate::scenario::{ClassLoad, Scenario};
use crate::timetable::Step;
use linnetknot_harness::fakes::event_bus::Bus;
use linnetknot_harness::time::unix_us;
use serde_json::{json, Value};
use std::io;

/// The nodes and buses of a test run, with the recorded notices and cold starts.
pub(super) struct Environment<'a> {
    scenario: &'a Scenario,
    defect: Option<PlayDefect>,
    site_server: SiteServer,
    nodes: Vec<Node>,
    /// One bus for each proxy, because each node has a different address for each proxy.
    buses: Vec<Bus>,
    notices: Vec<Notice>,
    cold_starts: Vec<ColdStart>,
}

/// The data recorded by an environment, returned when it is stopped.
pub(super) struct EnvironmentRecord {
    pub(super) site: FakeSite,
    pub(super) notices: Vec<Notice>,
    pub(super) cold_starts: Vec<ColdStart>,
    /// The buses are kept open until the proxies have exited, so that no proxy loses its bus while it runs.
    _buses: Vec<Bus>,
}

/// A node and the state that the buses announce for it.
struct Listing<'a> {
    node: &'a Node,
    state: &'static str,
    boot_ms: u64,
}

impl<'a> Environment<'a> {
    /// Starts the nodes of a scenario and a bus for each proxy.
    pub(super) fn start(
        scenario: &'a Scenario,
        plan: &Plan,
        defect: Option<PlayDefect>,
    ) -> io::Result<Self> {
        let proxies = scenario.proxies as usize;
        let Deployment { site, nodes } = Deployment::of(scenario);
        let uids: Vec<String> = nodes.iter().map(|node| node.uid.clone()).collect();
        let site_server =
            SiteServer::start(site, &uids, proxies, workload(scenario, plan, defect))?;
        let buses = (0..proxies)
            .map(|_| Bus::start())
            .collect::<io::Result<Vec<_>>>()?;
        Ok(Environment {
            scenario,
            defect,
            site_server,
            nodes,
            buses,
            notices: Vec::new(),
            cold_starts: Vec::new(),
        })
    }

    /// Returns the entry of a node on a proxy's bus, with the address for that proxy.
    fn node_entry(&self, proxy: usize, listing: &Listing<'_>) -> Value {
        let Listing {
            node,
            state,
            boot_ms,
        } = listing;
        let endpoint = self.site_server.addresses[&(proxy, node.uid.clone())].to_string();
        json!({"uid": node.uid, "endpoint": endpoint, "az": node.zone, "model": node.model, "pod_group": 0,
            "state": state, "capacity_hint": node.capacity, "boot_ms": boot_ms})
    }

    /// Returns the start configuration of a proxy without its peers.
    pub(super) fn proxy_config(&self, proxy: usize, seed: u64) -> Value {
        let ready = |node| {
            self.node_entry(
                proxy,
                &Listing {
                    node,
                    state: "ready",
                    boot_ms: 0,
                },
            )
        };
        let targets = self.nodes.iter().map(ready).collect::<Value>();
        let known = json!({"offset": 0, "batch": [{"offset": 0, "topology": {"rev": 1, "all": true,
            "targets": targets}}]});
        json!({
            "name": format!("p{proxy}"), "listen": "127.0.0.1:0",
            "seed": format!("{:x}", seed * 64 + proxy as u64 + 1),
            "bus": self.buses[proxy].address.to_string(), "known": known, "settings": settings(self.scenario),
            "limits": {"memory_mb": 192, "sockets": 1024},
        })
    }

    /// Carries out a step of the timetable on the nodes and buses.
    pub(super) fn carry_out(&mut self, step: &Step) {
        let at = unix_us();
        match step {
            Step::DrainCache(uid) => self.announce(
                at,
                uid,
                NoticeKind::OutOfService(uid.clone()),
                "draining",
                0,
            ),
            Step::StartCache(uid) => {
                self.announce(at, uid, NoticeKind::Ready(uid.clone()), "ready", at / 1000);
                self.cold_starts
                    .push(cold_start(uid, at, self.scenario.site.edge_box.capacity));
            }
            Step::CloseBusConnections => self.buses.iter().for_each(Bus::cut),
            _ => {}
        }
        self.change_site(step.clone());
    }

    /// Announces a node's new state to each proxy on its own bus.
    fn announce(
        &mut self,
        at: Micros,
        uid: &str,
        kind: NoticeKind,
        state: &'static str,
        boot_ms: u64,
    ) {
        let Some(node) = self.nodes.iter().find(|node| node.uid == uid) else {
            return;
        };
        let listing = Listing {
            node,
            state,
            boot_ms,
        };
        let is_sent = state == "ready" || self.defect != Some(PlayDefect::DrainsNotSent);
        for (proxy, bus) in self.buses.iter().enumerate() {
            if is_sent {
                bus.list(false, vec![self.node_entry(proxy, &listing)]);
            }
            self.notices.push(Notice {
                proxy,
                at,
                kind: kind.clone(),
            });
        }
    }

    fn change_site(&self, step: Step) {
        let form = self.scenario.site.edge_box.clone();
        self.site_server.change(move |site, now| match step {
            Step::StopCache(uid) => site.stop(now, &uid),
            Step::StartCache(uid) => {
                site.stop(now, &uid);
                site.start(
                    &uid,
                    NodeKind::EdgeCache,
                    parameters(&form),
                    Some(cold_start(&uid, now, form.capacity)),
                );
            }
            Step::StallCache(uid, lasts) => site.stall(now, &uid, lasts),
            Step::SlowOrigin(times) => site.set_origin_slowdown(times),
            _ => {}
        });
    }

    /// Purges an object or a group. The proxies are notified immediately. Each node applies the purge after an
    /// individual delay.
    pub(super) fn purge(&mut self, purge: &Purge) {
        let at = unix_us();
        let what = purge.target;
        let (object, group_id) = (
            what.ok().map(|o| format!("{o:016x}")),
            what.err().unwrap_or(0),
        );
        let is_withheld = self.defect == Some(PlayDefect::PurgesNotSent);
        if !is_withheld {
            let ban = match &object {
                Some(object) => json!({"ban": {"url": object, "ts": at / 1000}}),
                None => json!({"ban": {"tag": group_id, "ts": at / 1000}}),
            };
            self.buses.iter().for_each(|bus| bus.push(ban.clone()));
        }
        let kind = NoticeKind::Purged {
            object,
            group: group_id,
            at: at / 1000 * 1000,
        };
        let proxies = 0..self.buses.len();
        self.notices.extend(proxies.map(|proxy| Notice {
            proxy,
            at,
            kind: kind.clone(),
        }));
        if !is_withheld {
            self.site_server
                .change(move |site, now| site.purge_all(now, what, at));
        }
    }

    /// Stops the nodes and returns the record.
    pub(super) fn end(self) -> io::Result<EnvironmentRecord> {
        let site = self.site_server.end()?;
        Ok(EnvironmentRecord {
            site,
            notices: self.notices,
            cold_starts: self.cold_starts,
            _buses: self.buses,
        })
    }
}

/// Returns the properties of the load that the nodes need and that are not contained in requests.
fn workload(scenario: &Scenario, plan: &Plan, defect: Option<PlayDefect>) -> Workload {
    let parts = plan
        .arrivals
        .iter()
        .map(|a| ((a.object, a.part), (a.size_kb, group(a.object))))
        .collect();
    let classes = scenario.load.classes.iter();
    let rules = |class: &ClassLoad| ClassRules {
        freshness_us: freshness_us(scenario, class),
        is_write: class.keyed,
    };
    let classes = classes
        .map(|class| (class.name.clone(), rules(class)))
        .collect();
    let corrupt_answers = defect == Some(PlayDefect::WrongBytes);
    Workload {
        parts,
        flow_kb_per_s: scenario.site.flow_kb_per_s,
        classes,
        corrupt_answers,
    }
}
