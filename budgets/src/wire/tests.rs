//! Tests of the encoding of messages in datagrams.

use super::*;

#[test]
fn encoded_messages_decode_unchanged_and_datagrams_stay_within_the_size_limit() {
    let max = u64::MAX;
    let messages: Vec<Message> = (0..30)
        .flat_map(|n| {
            [
                Message::VoteRequest(VoteRequest {
                    group: n,
                    number: max,
                }),
                Message::VoteResponse(VoteResponse {
                    group: n,
                    number: 1,
                    granted: n % 2 == 0,
                    voted_for: (n % 3 > 0).then_some(n),
                }),
                Message::LeaseRequest(LeaseRequest {
                    budget: n,
                    number: max,
                    demand: max,
                    current_lease: max,
                    unsettled: max,
                }),
                Message::LeaseGrant(LeaseGrant {
                    budget: n,
                    number: 3,
                    amount: max,
                    duration_us: 4,
                }),
            ]
        })
        .collect();
    let datagrams = encode(300, max, &messages);
    assert!(
        datagrams.iter().all(|d| d.len() <= MAX_DATAGRAM_BYTES) && datagrams.len() < 40,
        "{}",
        datagrams.len()
    );
    let mut decoded = Vec::new();
    for datagram in &datagrams {
        let datagram = decode(datagram).unwrap();
        assert_eq!((datagram.fingerprint, datagram.process), (300, max));
        decoded.extend(datagram.messages);
    }
    assert_eq!(decoded, messages);
    assert!(encode(3, 1, &[]).is_empty(), "no messages, no datagram");
}

#[test]
fn datagrams_of_other_protocols_and_versions_and_malformed_ones_are_rejected() {
    for (bytes, error) in [
        (b"copies1 ask".as_slice(), DecodeError::Foreign),
        (b"budgets2 3 1", DecodeError::Version),
        (b"budgets1", DecodeError::Malformed),
        (b"budgets1 3", DecodeError::Malformed),
        (b"budgets1 3 1 s.0", DecodeError::Malformed),
        (b"budgets1 3 1 s.0.1.2", DecodeError::Malformed),
        (b"budgets1 3 1 s.+0.1", DecodeError::Malformed),
        (b"budgets1 3 1 v.0.1.2.0", DecodeError::Malformed),
        (b"budgets1 3 1 s.0.1 x", DecodeError::Malformed),
        (
            b"budgets1 3 1 s.0.11111111111111111",
            DecodeError::Malformed,
        ),
        (b"budgets1 3 1 \xff", DecodeError::Malformed),
    ] {
        assert_eq!(
            decode(bytes).err(),
            Some(error),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    assert_eq!(
        decode(b"budgets1 3 1"),
        Ok(Datagram {
            fingerprint: 3,
            process: 1,
            messages: vec![]
        })
    );
}

/// Guards against an encoding that proxies of released versions can't decode.
#[test]
fn the_encoding_of_each_message_is_stable() {
    let messages = [
        Message::VoteRequest(VoteRequest {
            group: 1,
            number: 17,
        }),
        Message::VoteResponse(VoteResponse {
            group: 1,
            number: 17,
            granted: true,
            voted_for: Some(2),
        }),
        Message::VoteResponse(VoteResponse {
            group: 1,
            number: 17,
            granted: false,
            voted_for: None,
        }),
        Message::LeaseRequest(LeaseRequest {
            budget: 1,
            number: 18,
            demand: 19,
            current_lease: 20,
            unsettled: 21,
        }),
        Message::LeaseGrant(LeaseGrant {
            budget: 1,
            number: 18,
            amount: 22,
            duration_us: 23,
        }),
    ];
    let expected = b"budgets1 a b s.1.11 v.1.11.1.3 v.1.11.0.0 w.1.12.13.14.15 p.1.12.16.17";
    assert_eq!(encode(10, 11, &messages), [expected.to_vec()]);
}
