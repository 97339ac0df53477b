//! Encoding of requests, and parsing and redaction of tokens.

use super::*;

#[test]
fn request_targets_are_escaped_and_tokens_are_redacted() {
    let query = [
        ("index", "7"),
        ("stale", ""),
        ("filter", "Service.Meta.az == \"a b\""),
    ];
    let target = request_target(
        format!("/v1/health/service/{}", encode_segment("pop cache/ä")),
        &query,
    );
    assert_eq!(
        target,
        "/v1/health/service/pop%20cache%2F%C3%A4?index=7&stale&filter=Service.Meta.az+%3D%3D+%22a+b%22"
    );
    let token = Token::parse("b1gs33cr3t\n").unwrap();
    assert!(!format!("{token:?}").contains("b1g"));
    let call = Call {
        agent: 0,
        method: "GET",
        target,
        body: Vec::new(),
        timeouts: ResponseTimeouts::of_short_response(1),
    };
    let request = String::from_utf8(call.to_bytes("c:8500", Some(&token))).unwrap();
    assert!(
        request.contains("\r\nX-Consul-Token: b1gs33cr3t\r\n") && request.ends_with("\r\n\r\n")
    );
    for (text, error) in [
        (" \n", TokenError::Empty),
        ("a\r\nX-Other: b", TokenError::Malformed),
        (&"x".repeat(600), TokenError::TooLong),
    ] {
        assert_eq!(Token::parse(text), Err(error));
    }
}
