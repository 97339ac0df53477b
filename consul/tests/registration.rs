//! The proxy's own registration: readiness, heartbeats, failures, an agent that has lost it, and the shutdown.

use linnetknot::Micros;
use linnetknot_consul::{
    Call, Registrant, Registration, RegistrationEvent, Response, TransportError,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;

fn registrant() -> Registrant {
    Registrant {
        id: "edge/1".into(),
        name: "edge-proxy".into(),
        address: "127.0.0.1:6565".parse().unwrap(),
        tags: vec!["v1".into()],
        meta: BTreeMap::new(),
        ttl_us: 9_000_000,
        deregister_after_us: Some(60_000_000),
        response_timeout_us: 1_000_000,
        agents: 2,
    }
}

fn response(status: u16, body: &'static str) -> Response<'static> {
    Response {
        status,
        headers: &[],
        body: body.as_bytes(),
    }
}

fn json(call: &Call) -> Value {
    serde_json::from_slice(&call.body).unwrap()
}

#[test]
fn the_proxys_own_registration_follows_its_state_and_an_agent_that_forgot() {
    let mut r = Registration::new(registrant(), 3);
    let now = register_at_second_agent(&mut r);
    let now = report_readiness_through_failures(&mut r, now);
    let now = register_again_where_forgotten(&mut r, now);
    deregister_or_give_up(r, now);
}

/// Registers; gives the time of it.
fn register_at_second_agent(r: &mut Registration) -> Micros {
    let mut now = 1_000_000;
    // Nobody answers at the first agent: the next one is asked.
    assert_eq!(r.poll(now, false).unwrap().agent, 0);
    assert!(matches!(
        r.on_failure(now, TransportError::Unreachable),
        Some(RegistrationEvent::Failed(_))
    ));
    now = r.due(now, false).unwrap();
    let call = r.poll(now, false).unwrap();
    assert_eq!(
        (call.method, call.target.as_str(), call.agent),
        ("PUT", "/v1/agent/service/register", 1)
    );
    let body = json(&call);
    assert_eq!(
        (&body["ID"], &body["Port"], &body["Address"]),
        (&"edge/1".into(), &6565.into(), &"127.0.0.1".into())
    );
    assert_eq!(
        body["Check"],
        json!({"CheckID": "service:edge/1", "Name": "can serve", "TTL": "9000ms",
        "Status": "critical", "DeregisterCriticalServiceAfter": "60000ms"})
    );
    assert_eq!(
        r.on_response(now, &response(200, "")),
        Some(RegistrationEvent::Registered)
    );
    now
}

/// Keeps the check up to date; gives the time of the last failure.
fn report_readiness_through_failures(r: &mut Registration, mut now: Micros) -> Micros {
    // It is kept within its TTL, and a change is told at once.
    assert!((now + 1..now + 4_500_000).contains(&r.due(now, false).unwrap()));
    assert_eq!(r.due(now, true), Some(now));
    let call = r.poll(now, true).unwrap();
    assert_eq!(call.target, "/v1/agent/check/update/service%3Aedge%2F1");
    assert_eq!(json(&call)["Status"], "passing");
    assert_eq!(r.on_response(now, &response(200, "")), None);
    // Failures in a row are said once, and do not use up the TTL.
    let mut reported = 0;
    for _ in 0..5 {
        let due = r.due(now, true).unwrap();
        assert!(due <= now + 4_500_000);
        now = due;
        assert_eq!(
            r.poll(now, true).unwrap().agent,
            1,
            "the service belongs to the agent that took it"
        );
        reported += usize::from(r.on_failure(now, TransportError::TimedOut).is_some());
    }
    assert_eq!(reported, 1);
    now
}

/// Answers updates as an agent does that has lost the registration; gives the time of the last call.
fn register_again_where_forgotten(r: &mut Registration, mut now: Micros) -> Micros {
    for forgot in [
        response(404, "Unknown check ID \"service:edge/1\""),
        response(500, "Unknown check \"service:edge/1\""),
    ] {
        now = r.due(now, true).unwrap();
        r.poll(now, true).unwrap();
        assert_eq!(
            r.on_response(now, &forgot),
            Some(RegistrationEvent::RegistrationLost)
        );
        let call = r.poll(now, true).unwrap();
        assert_eq!(
            (call.target.as_str(), &json(&call)["Check"]["Status"]),
            ("/v1/agent/service/register", &"passing".into())
        );
        assert_eq!(
            r.on_response(now, &response(200, "")),
            Some(RegistrationEvent::Registered)
        );
    }
    now
}

/// At the end it deregisters, also where a call is out, and gives up in time where nobody answers.
fn deregister_or_give_up(mut r: Registration, mut now: Micros) {
    let mut again = r.clone();
    now = r.due(now, true).unwrap();
    r.poll(now, true).unwrap();
    r.deregister(now);
    assert_eq!(r.on_response(now, &response(200, "")), None);
    assert_eq!(
        r.poll(now, false).unwrap().target,
        "/v1/agent/service/deregister/edge%2F1"
    );
    assert_eq!(
        r.on_response(now, &response(200, "")),
        Some(RegistrationEvent::Deregistered)
    );
    assert!(r.is_finished() && r.due(now, false).is_none());
    let start = now;
    again.deregister(now);
    while !again.is_finished() {
        now = again.due(now, false).unwrap();
        again.poll(now, false).unwrap();
        again.on_failure(now, TransportError::Unreachable);
    }
    assert!(now - start < 500_000);
}
