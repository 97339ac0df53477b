//! Tests of the delivery of payloads to peer CDNs.

use super::*;

const DEADLINE: Micros = 1_000_000;

#[test]
fn delivery_is_incomplete_until_a_response_head_is_received() {
    let post = Post {
        address: ([127, 0, 0, 1], 9).into(),
        path: "/t".into(),
        ptype: "x",
        body: "{}".into(),
    };
    let mut delivery = Delivery::new(post, 0, 512, DEADLINE);
    let text = String::from_utf8(delivery.initial_bytes()).unwrap();
    assert!(
        text.starts_with("POST /t HTTP/1.1\r\n") && text.ends_with("Content-Length: 2\r\n\r\n{}")
    );
    let mut tasks = Vec::new();
    assert_eq!(
        delivery.read(0, b"HTTP/1.1 201 Cre", &mut tasks),
        Ok(Flow::NeedsInput)
    );
    assert!(tasks.is_empty());
    assert_eq!(
        delivery.read(0, b"ated\r\nContent-Length: 0\r\n\r\n", &mut tasks),
        Ok(Flow::Done)
    );
    assert_eq!(tasks.len(), 1);
    assert_eq!(
        delivery.deadline(),
        Some(DEADLINE),
        "input does not postpone it"
    );
}
