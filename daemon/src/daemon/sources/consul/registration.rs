//! Registers this proxy as a service at the Consul agent while it is ready, and deregisters it at shutdown.

use super::call::{Call, Outcome};
use crate::daemon::Daemon;
use crate::net::DeadlineId;
use linnetknot::Micros;
use linnetknot_consul::{
    Call as ConsulCall, Registrant, Registration, RegistrationEvent, Response, TransportError,
};

/// The registration of this proxy as a service, and the timer of its next call to the agent.
pub(super) struct RegistrationState {
    registration: Registration,
    timer: Option<DeadlineId>,
}

impl RegistrationState {
    /// Creates the state of a proxy that is not registered.
    pub(super) fn new(registrant: Registrant, seed: u64) -> Self {
        RegistrationState {
            registration: Registration::new(registrant, seed),
            timer: None,
        }
    }
}

impl Daemon {
    fn registration_state(&mut self) -> Option<&mut RegistrationState> {
        self.consul.as_mut()?.registration_state.as_mut()
    }

    /// Makes the call to the agent that is due, or schedules the next one.
    pub(in crate::daemon) fn drive_registration(&mut self, now: Micros) {
        let ready = self.can_serve();
        let Some(state) = self.registration_state() else {
            return;
        };
        match state.registration.poll(now, ready) {
            Some(call) => self.call_agent(now, &call),
            None => self.schedule_registration(now, ready),
        }
    }

    fn schedule_registration(&mut self, now: Micros, ready: bool) {
        let Some(state) = self.registration_state() else {
            return;
        };
        let due = state.registration.due(now, ready);
        if due == state.timer.map(|timer| timer.at) {
            return;
        }
        let old = state.timer.take();
        let timer = self.reschedule(old, due, |daemon, now| {
            if let Some(state) = daemon.registration_state() {
                state.timer = None;
            }
            daemon.drive_registration(now);
        });
        if let Some(state) = self.registration_state() {
            state.timer = timer;
        }
    }

    fn call_agent(&mut self, now: Micros, call: &ConsulCall) {
        let Some(state) = &self.consul else {
            return;
        };
        let agent = state.agents[call.agent.min(state.agents.len() - 1)];
        let exchange = Call::new(
            now,
            call.to_bytes(&agent.to_string(), state.token.as_ref()),
            call.timeouts,
            self.limits.max_line_bytes,
            self.limits.max_line_bytes,
            |daemon: &mut Daemon, now, outcome| daemon.registration_finished(now, outcome),
        );
        if self.start_exchange(now, agent, exchange).is_none() {
            self.registration_finished(now, Err(TransportError::Unreachable));
        }
    }

    fn registration_finished(&mut self, now: Micros, outcome: Outcome) {
        let Some(state) = self.registration_state() else {
            return;
        };
        let event = match &outcome {
            Ok((head, body)) => {
                let response = Response {
                    status: head.status().unwrap_or(0),
                    headers: &head.headers,
                    body,
                };
                state.registration.on_response(now, &response)
            }
            Err(failure) => state.registration.on_failure(now, *failure),
        };
        match event {
            Some(RegistrationEvent::Registered) => log::info!("registered in Consul"),
            Some(RegistrationEvent::RegistrationLost) => {
                log::warn!("the Consul agent has lost the registration: registering again");
            }
            Some(RegistrationEvent::Deregistered) => log::info!("deregistered in Consul"),
            Some(RegistrationEvent::Failed(why)) => log::warn!("registration failed: agent {why}"),
            None => {}
        }
        self.drive_registration(now);
    }

    /// Deregisters the proxy at shutdown, so that clients use other proxies.
    pub(in crate::daemon) fn deregister_from_consul(&mut self, now: Micros) {
        if let Some(state) = self.registration_state() {
            state.registration.deregister(now);
        }
        self.drive_registration(now);
    }

    /// Returns whether the deregistration is finished, or there is no registration.
    pub(in crate::daemon) fn is_deregistered_from_consul(&self) -> bool {
        let state = self.consul.as_ref();
        state
            .and_then(|state| state.registration_state.as_ref())
            .is_none_or(|state| state.registration.is_finished())
    }
}
