//! The registration of the proxy: readiness, heartbeats, failures, loss of the registration by the agent, and shutdown.

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
fn the_registration_follows_readiness_failures_and_shutdown() {
    let mut registration = Registration::new(registrant(), 3);
    let now = register_at_second_agent(&mut registration);
    let now = report_readiness_during_failures(&mut registration, now);
    let now = register_again_after_loss(&mut registration, now);
    deregister_at_shutdown(registration, now);
}

/// Registers at the second agent after the first agent fails. Returns the time of the registration.
fn register_at_second_agent(registration: &mut Registration) -> Micros {
    let mut now = 1_000_000;
    // The first agent is unreachable, so the next agent is called.
    assert_eq!(registration.poll(now, false).unwrap().agent, 0);
    assert!(matches!(
        registration.on_failure(now, TransportError::Unreachable),
        Some(RegistrationEvent::Failed(_))
    ));
    now = registration.due(now, false).unwrap();
    let call = registration.poll(now, false).unwrap();
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
        registration.on_response(now, &response(200, "")),
        Some(RegistrationEvent::Registered)
    );
    now
}

/// Updates the check, and then fails all updates. Returns the time of the last failure.
fn report_readiness_during_failures(registration: &mut Registration, mut now: Micros) -> Micros {
    // The check is updated within its TTL, and a change of readiness is reported immediately.
    assert!((now + 1..now + 4_500_000).contains(&registration.due(now, false).unwrap()));
    assert_eq!(registration.due(now, true), Some(now));
    let call = registration.poll(now, true).unwrap();
    assert_eq!(call.target, "/v1/agent/check/update/service%3Aedge%2F1");
    assert_eq!(json(&call)["Status"], "passing");
    assert_eq!(registration.on_response(now, &response(200, "")), None);
    // Consecutive failures are reported once, and are retried within the TTL.
    let mut reported = 0;
    for _ in 0..5 {
        let due = registration.due(now, true).unwrap();
        assert!(due <= now + 4_500_000);
        now = due;
        assert_eq!(
            registration.poll(now, true).unwrap().agent,
            1,
            "the service belongs to the agent that registered it"
        );
        reported += usize::from(
            registration
                .on_failure(now, TransportError::TimedOut)
                .is_some(),
        );
    }
    assert_eq!(reported, 1);
    now
}

/// Responds to updates like an agent that has lost the registration. Returns the time of the last call.
fn register_again_after_loss(registration: &mut Registration, mut now: Micros) -> Micros {
    for loss_response in [
        response(404, "Unknown check ID \"service:edge/1\""),
        response(500, "Unknown check \"service:edge/1\""),
    ] {
        now = registration.due(now, true).unwrap();
        registration.poll(now, true).unwrap();
        assert_eq!(
            registration.on_response(now, &loss_response),
            Some(RegistrationEvent::RegistrationLost)
        );
        let call = registration.poll(now, true).unwrap();
        assert_eq!(
            (call.target.as_str(), &json(&call)["Check"]["Status"]),
            ("/v1/agent/service/register", &"passing".into())
        );
        assert_eq!(
            registration.on_response(now, &response(200, "")),
            Some(RegistrationEvent::Registered)
        );
    }
    now
}

/// Deregisters at shutdown, including while a call is in flight, and ends within 0.5 s if the agent is unreachable.
fn deregister_at_shutdown(mut registration: Registration, mut now: Micros) {
    let mut without_agent = registration.clone();
    now = registration.due(now, true).unwrap();
    registration.poll(now, true).unwrap();
    registration.deregister(now);
    assert_eq!(registration.on_response(now, &response(200, "")), None);
    assert_eq!(
        registration.poll(now, false).unwrap().target,
        "/v1/agent/service/deregister/edge%2F1"
    );
    assert_eq!(
        registration.on_response(now, &response(200, "")),
        Some(RegistrationEvent::Deregistered)
    );
    assert!(registration.is_finished() && registration.due(now, false).is_none());
    let start = now;
    without_agent.deregister(now);
    while !without_agent.is_finished() {
        now = without_agent.due(now, false).unwrap();
        without_agent.poll(now, false).unwrap();
        without_agent.on_failure(now, TransportError::Unreachable);
    }
    assert!(now - start < 500_000);
}
