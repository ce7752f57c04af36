//! Tests of the platform client and of register snapshots from peers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_net::{
    platform,
    snapshot, //
};
use mulberrynotch_policy::control;
use mulberrynotch_register::model;
use mulberrynotch_wire::envelope;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener, //
};

/// Responds to each connection with the next of `responses`.
async fn serve(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for response in responses {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = [0; 1_024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Guards against a response that is classified wrongly, such as an error as an unchanged register,
/// and against calls that are not counted.
#[tokio::test]
async fn responses_are_classified_and_counted() {
    let register = r#"{ "revision": 4, "zones": [{ "name": "a" }], "services": [] }"#;
    let vms = r#"[{ "name": "b", "zone": "a", "peer": "127.0.0.1:9", "state": "leaving" }]"#;
    let address = serve(vec![
        response("200 OK", register),
        response("304 Not Modified\r\nregister-revision: 3", ""),
        response("304 Not Modified", ""),
        response("200 OK", r#"{ "revision": 5, "surplus": 1 }"#),
        response("200 OK", "not JSON"),
        response("500 Internal Server Error", register),
        "HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{".to_owned(),
        "nonsense\r\n\r\n".to_owned(),
        response("200 OK", vms),
    ])
    .await;
    let client = platform::Client::new(address, Arc::new(|| Duration::ZERO));
    let first = client.register().await;
    assert!(matches!(first, control::Response::Register(it) if it.revision == 4));
    for published in [Some(3), None] {
        let unchanged = control::Response::Unchanged { published };
        assert_eq!(client.watch(4).await, unchanged);
    }
    let invalid = client.watch(4).await;
    assert!(matches!(
        invalid,
        control::Response::Invalid { revision: 5, .. }
    ));
    let invalid = client.register().await;
    assert!(matches!(
        invalid,
        control::Response::Invalid { revision: 0, .. }
    ));
    for _ in 0..3 {
        assert_eq!(client.register().await, control::Response::RegisterFailed);
    }
    let control::Response::Members(members) = client.members().await else {
        panic!("no members");
    };
    assert_eq!(
        members[0].state,
        mulberrynotch_wire::control::State::Leaving
    );
    assert_eq!(client.calls(), 9);
}

/// Guards against accepting a register from a sender without the shared secret, a truncated
/// register, or one that does not validate.
#[tokio::test]
async fn a_forged_truncated_or_invalid_snapshot_is_refused() {
    let keyring = |byte| {
        let key = [byte; 32];
        envelope::Keyring::new(vec![envelope::Secret { id: 1, key }])
    };
    let register = model::Register {
        revision: 1,
        ..model::Register::empty()
    };
    let content = postcard::to_stdvec(&register).unwrap();
    let sealed = keyring(1).seal("other", &content);
    let read = snapshot::read(&mut &sealed[..], &keyring(1)).await;
    assert_eq!(read.unwrap(), register);
    let invalid = postcard::to_stdvec(&model::Register::empty()).unwrap();
    let invalid = keyring(1).seal("other", &invalid);
    assert!(
        snapshot::read(&mut &invalid[..], &keyring(1))
            .await
            .is_err()
    );
    let truncated = &sealed[..sealed.len() - 1];
    assert!(
        snapshot::read(&mut &truncated[..], &keyring(1))
            .await
            .is_err()
    );
    assert!(snapshot::read(&mut &sealed[..], &keyring(2)).await.is_err());
}
