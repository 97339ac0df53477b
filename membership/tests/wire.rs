//! Tests of the encoding of datagrams. It must stay stable, because proxies of different versions run together while an
//! installation is upgraded.

use linnetknot_membership::*;

const NUMBER: u32 = 300;

fn message(body: Body) -> Message {
    let claim = |state| Claim {
        process: 0x1_0000,
        incarnation: 2,
        state,
    };
    let update = |id, state| Update {
        id,
        observer: 9,
        claim: claim(state),
    };
    Message {
        from: Sender {
            id: 0x1234,
            process: 7,
            incarnation: 1,
        },
        body,
        updates: vec![
            update(1, MemberState::Alive),
            update(2, MemberState::Suspect),
            update(3, MemberState::Dead),
            update(4, MemberState::Left),
        ],
    }
}

#[test]
fn the_encoding_of_datagrams_is_stable() {
    let ack = |target, names| Body::Ack {
        number: NUMBER,
        target,
        names,
    };
    let names = Names {
        name: "p-1".to_owned(),
        machine: "m-1".to_owned(),
    };
    let cases = [
        (
            Body::Ping {
                number: NUMBER,
                names: true,
            },
            "00ac0201",
        ),
        (ack(None, None), "01ac020000"),
        (ack(Some(5), Some(names)), "01ac0201050103702d31036d2d31"),
        (
            Body::PingRequest {
                number: NUMBER,
                target: 5,
            },
            "02ac0205",
        ),
        (Body::Nack { number: NUMBER }, "03ac02"),
        (Body::Leave, "04"),
    ];
    // Prefix and sender are followed by the body and the four claims.
    let claims = "0401098080040200020980800402010309808004020204098080040203";
    for (body, expected) in cases {
        let bytes = message(body.clone()).encode();
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(
            hex,
            format!("666c65657431b4240701{expected}{claims}"),
            "{body:?}"
        );
        assert_eq!(Message::decode(&bytes), Ok(message(body)));
    }
}
