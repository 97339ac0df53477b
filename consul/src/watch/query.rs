//! Builds the next query: its agent, target, consistency and timeouts.

use super::{Consistency, ResponseReader, Watch};
use crate::http::{encode_segment, request_target, Call};
use crate::timeouts::{CutOffs, ResponseTimeouts};
use linnetknot::Micros;

/// The value of a query parameter that is a flag.
const FLAG: &str = "";

/// The API that is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Query {
    /// Lists the instances with their health.
    Health,
    /// Lists all registered instances, to check the caches that the last health response omitted.
    Catalog,
}

impl Watch {
    /// Returns the next call, if one is due. The caller passes its result to [`on_response`](Self::on_response) or
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
            timeouts: self.timeouts(is_blocking),
        })
    }

    fn timeouts(&self, is_blocking: bool) -> ResponseTimeouts {
        let options = &self.options;
        let blocking_us = match is_blocking {
            // Consul adds up to 1/16 of the wait as jitter.
            true => options.blocking_wait_us + options.blocking_wait_us / 16,
            false => 0,
        };
        let silence_us = self
            .cut_offs_of(self.query)
            .lengthen(options.silence_timeout_us);
        ResponseTimeouts::of_list(blocking_us, silence_us)
    }

    fn cut_offs_of(&self, query: Query) -> CutOffs {
        match query {
            Query::Health => self.health_cut_offs,
            Query::Catalog => self.catalog_cut_offs,
        }
    }

    /// Returns the count of cut-offs of the API that is queried.
    pub(super) fn cut_offs_mut(&mut self) -> &mut CutOffs {
        match self.query {
            Query::Health => &mut self.health_cut_offs,
            Query::Catalog => &mut self.catalog_cut_offs,
        }
    }

    /// Returns the path and query of the next call.
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
        // The catalog API names the fields differently, so the filter is only sent to the health API.
        if let (Query::Health, Some(filter)) = (self.query, &options.filter) {
            query.push(("filter", filter));
        }
        let service = encode_segment(&options.service);
        request_target(format!("/v1/{api}/service/{service}"), &query)
    }

    /// Returns the consistency mode of the next call.
    fn consistency(&self, now: Micros) -> Consistency {
        match self.options.consistency {
            _ if self.unconfirmed.is_some() => Consistency::Consistent,
            Consistency::Stale if now < self.leader_reads_until => Consistency::Default,
            consistency => consistency,
        }
    }
}
