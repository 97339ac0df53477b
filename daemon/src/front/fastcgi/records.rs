//! Processes the records that are received on a connection.

use super::request::Parameters;
use super::session::{PartialRequest, Session, Stream};
use super::Input;
use crate::limits::Limits;
use crate::wire::fastcgi::{self as wire, kind, Record};
use crate::wire::WireError;

/// The request id of management records, which belong to no request.
const MANAGEMENT_ID: u16 = 0;
/// The variable that tells whether requests share connections.
const MULTIPLEXING_VARIABLE: &str = "FCGI_MPXS_CONNS";

impl Session {
    /// Processes a record. Returns the input that it completes, if any.
    pub(super) fn take_record(
        &mut self,
        record: Record,
        limits: &Limits,
    ) -> Result<Option<Input>, WireError> {
        if record.id == MANAGEMENT_ID {
            self.take_management(&record)?;
            return Ok(None);
        }
        match (record.kind, self.streams.get_mut(&record.id)) {
            (kind::BEGIN, None) => self.begin(&record, limits)?,
            (kind::BEGIN, Some(_)) => {
                return Err(WireError::Malformed("a request id that is in use"))
            }
            (kind::ABORT, Some(_)) => return Ok(self.abort(record.id)),
            (kind::PARAMS, Some(Stream::Receiving(request))) => {
                request.add_params(&record.content, limits)?;
            }
            (kind::STDIN, Some(Stream::Receiving(request))) if request.params_done => {
                request.add_body(&record.content, limits)?;
                if record.content.is_empty() {
                    return self.complete(record.id, limits);
                }
            }
            // Records of finished requests and of unused streams are ignored.
            _ => {}
        }
        Ok(None)
    }

    /// Responds to a management record.
    fn take_management(&mut self, record: &Record) -> Result<(), WireError> {
        let mut content = Vec::new();
        let answer_kind = if record.kind == kind::GET_VALUES {
            let mut is_asked = false;
            for pair in wire::read_pairs(&record.content) {
                let (name, _) = pair?;
                is_asked |= name == MULTIPLEXING_VARIABLE;
            }
            if is_asked {
                wire::write_pair(&mut content, MULTIPLEXING_VARIABLE, "1");
            }
            kind::GET_VALUES_RESULT
        } else {
            content.extend([record.kind, 0, 0, 0, 0, 0, 0, 0]);
            kind::UNKNOWN_TYPE
        };
        let mut answer = Vec::new();
        wire::write_record(&mut answer, answer_kind, MANAGEMENT_ID, &content);
        self.output.push_management(answer);
        Ok(())
    }

    /// Begins a request, or ends it immediately if it can't be accepted.
    fn begin(&mut self, record: &Record, limits: &Limits) -> Result<(), WireError> {
        let begin = wire::read_begin(&record.content)?;
        let keep_open = begin.flags & wire::KEEP_CONN != 0;
        let status = if begin.role != wire::RESPONDER {
            wire::UNKNOWN_ROLE
        } else if self.streams.len() >= limits.max_requests_per_client {
            wire::OVERLOADED
        } else {
            let request = PartialRequest::new(keep_open);
            self.streams.insert(record.id, Stream::Receiving(request));
            return Ok(());
        };
        self.output
            .push_response(record.id, Vec::new(), status, keep_open);
        Ok(())
    }

    /// Processes a complete request. Returns the input for the event loop, unless the request was answered immediately.
    fn complete(&mut self, id: u16, limits: &Limits) -> Result<Option<Input>, WireError> {
        let Some(Stream::Receiving(request)) = self.streams.remove(&id) else {
            return Ok(None);
        };
        self.has_received_request = true;
        let waiting = Stream::Waiting {
            keep_open: request.keep_open,
            key: None,
        };
        self.streams.insert(id, waiting);
        let parameters = Parameters::parse(&request.params)?;
        if parameters.path() == "/_health" {
            return Ok(Some(Input::HealthCheck(id)));
        }
        match parameters.read(request.body, limits) {
            Ok(request) => Ok(Some(Input::Request(id, request))),
            Err(parameter) => {
                log::info!("request rejected: invalid parameter {parameter}");
                let status = if parameters.is_for_content() {
                    "400 Bad Request"
                } else {
                    "404 Not Found"
                };
                self.answer_status(id, status);
                Ok(None)
            }
        }
    }

    /// Ends an aborted request. Returns the input that cancels the request in the core, if the core has admitted it.
    fn abort(&mut self, id: u16) -> Option<Input> {
        let stream = self.streams.remove(&id)?;
        self.inputs.retain(|queued| !queued.input.is_for(id));
        let keep_open = stream.keep_open();
        self.output
            .push_response(id, Vec::new(), wire::REQUEST_COMPLETE, keep_open);
        match stream {
            Stream::Waiting { key: Some(key), .. } => Some(Input::ClientGone(key)),
            _ => None,
        }
    }
}

impl PartialRequest {
    fn add_params(&mut self, content: &[u8], limits: &Limits) -> Result<(), WireError> {
        if self.params.len() + content.len() > limits.max_params_bytes {
            return Err(WireError::TooLong("a request's parameters"));
        }
        self.params_done = content.is_empty();
        self.params.extend_from_slice(content);
        Ok(())
    }

    fn add_body(&mut self, content: &[u8], limits: &Limits) -> Result<(), WireError> {
        if self.body.len() + content.len() > limits.max_body_bytes {
            return Err(WireError::TooLong("a request's body"));
        }
        self.body.extend_from_slice(content);
        Ok(())
    }
}
