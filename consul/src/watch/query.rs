//! The next query: its agent, target, consistency and timeout.

use super::{Consistency, ResponseReader, Watch};
use crate::http::{encode_segment, request_target, Call};
use linnetknot::Micros;

/// A flag of the query string, which has no value.
const FLAG: &str = "";

/// Which API is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Query {
    /// Instances with their health.
    Health,
    /// All registered instances: whether those that the last health response left out are among them.
    Catalog,
}

impl Watch {
    /// The next call, if one is due. Its outcome goes to [`on_response`](Self::on_response) or
    /// [`on_failure`](Self::on_failure).
    pub fn poll(&mut self, now: Micros) -> Option<Call> {
        if self.pending_since.is_some() || now < self.next_at {
            return None;
        }
        self.pending_since = Some(now);
        self.reader = ResponseReader::default();
        if self.agent != 0 && self.unconfirmed.is_none() && now >= self.primary_retry_at {
            self.agent = 0;
            self.primary_retry_at = now + self.backoff.jitter(self.options.primary_retry_us);
        }
        let is_blocking = self.query == Query::Health && self.index > 0;
        Some(Call {
            agent: self.agent,
            method: "GET",
            target: self.target(now, is_blocking),
            body: Vec::new(),
            timeout_us: self.timeout_us(is_blocking),
        })
    }

    fn timeout_us(&self, is_blocking: bool) -> Micros {
        let options = &self.options;
        if !is_blocking {
            return options.response_timeout_us;
        }
        // An agent adds up to a sixteenth to the wait, to spread its clients.
        let blocking_us = options.blocking_wait_us + options.blocking_wait_us / 16;
        options.response_timeout_us + blocking_us
    }

    /// Path and query of the next call.
    fn target(&self, now: Micros, is_blocking: bool) -> String {
        let options = &self.options;
        let index = self.index.to_string();
        let wait = format!("{}ms", options.blocking_wait_us / 1000);
        let mut query: Vec<(&str, &str)> = Vec::new();
        if is_blocking {
            query.push(("index", &index));
            query.push(("wait", &wait));
        }
        match self.consistency(now) {
            Consistency::Default => {}
            Consistency::Consistent => query.push(("consistent", FLAG)),
            Consistency::Stale => query.push(("stale", FLAG)),
        }
        if let Some(datacenter) = &options.datacenter {
            query.push(("dc", datacenter));
        }
        if let Some(namespace) = &options.namespace {
            query.push(("ns", namespace));
        }
        query.extend(options.tags.iter().map(|tag| ("tag", tag.as_str())));
        let api = match self.query {
            Query::Health => "health",
            Query::Catalog => "catalog",
        };
        // The catalog has other names for the same values, so a filter of the health API can't be sent to it.
        if let (Query::Health, Some(filter)) = (self.query, &options.filter) {
            query.push(("filter", filter));
        }
        let service = encode_segment(&options.service);
        request_target(format!("/v1/{api}/service/{service}"), &query)
    }

    /// The consistency of the next call.
    fn consistency(&self, now: Micros) -> Consistency {
        match self.options.consistency {
            _ if self.unconfirmed.is_some() => Consistency::Consistent,
            Consistency::Stale if now < self.leader_reads_until => Consistency::Default,
            consistency => consistency,
        }
    }
}
