//! Calls to a group whose leader is reached over a slow link.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use clem_types::Version;
use clem_wire::{
    Client, FleetSecret, LeaderClient, LeaderReply, codec,
    fleet::{GetRules, PutRules, RulesDocument},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time between two pieces that arrive.
const PIECE_TIME: Duration = Duration::from_millis(100);
/// Pieces of a message.
const PIECES: usize = 16;
/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A member that counts the calls that it gets.
struct Member {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

/// Starts a member that reads the `length` bytes of a call's body and writes its reply in pieces.
async fn start_member(length: usize, reply: Vec<u8>) -> Member {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("a bound port");
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    tokio::spawn(async move {
        while let Ok((stream, _)) = socket.accept().await {
            counted.fetch_add(1, Ordering::Relaxed);
            let reply = reply.clone();
            tokio::spawn(async move {
                // The client may give up; the test then fails by the number of calls.
                let _ = serve(stream, length, &reply).await;
            });
        }
    });
    Member { address, calls }
}

async fn serve(mut stream: TcpStream, length: usize, reply: &[u8]) -> std::io::Result<()> {
    let mut piece = vec![0; (length / PIECES).max(4096)];
    let mut read = 0;
    while read < length {
        read += stream.read(&mut piece).await?;
        if length > piece.len() {
            tokio::time::sleep(PIECE_TIME).await;
        }
    }
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", reply.len());
    stream.write_all(head.as_bytes()).await?;
    for piece in reply.chunks((reply.len() / PIECES).max(16)) {
        stream.write_all(piece).await?;
        tokio::time::sleep(PIECE_TIME).await;
    }
    Ok(())
}

fn client(first: &Member, second: &Member) -> LeaderClient {
    let secret = FleetSecret::new("a-secret-for-these-tests").expect("long enough");
    LeaderClient::new(Client::new(secret), vec![first.address, second.address])
}

fn rules(size: usize) -> RulesDocument {
    RulesDocument {
        version: Version(3),
        document: Bytes::from(vec![b'x'; size]),
    }
}

#[tokio::test]
async fn a_reply_that_keeps_arriving_is_not_begun_anew() {
    let reply = codec::encode(&LeaderReply::Done(rules(4096))).expect("it is encoded");
    let (leader, other) = (
        start_member(1, reply.clone()).await,
        start_member(1, reply).await,
    );
    let got = client(&leader, &other).call(&GetRules {}, TIMEOUT).await;
    assert_eq!(got.expect("a reply"), rules(4096));
    assert_eq!(leader.calls.load(Ordering::Relaxed), 1);
    assert_eq!(other.calls.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_long_call_that_keeps_leaving_is_not_begun_anew() {
    let call = PutRules {
        rules: rules(4_000_000),
    };
    let reply = codec::encode(&LeaderReply::Done(Version(3))).expect("it is encoded");
    let (leader, other) = (
        start_member(4_000_000, reply.clone()).await,
        start_member(4_000_000, reply).await,
    );
    let got = client(&leader, &other).call(&call, TIMEOUT).await;
    assert_eq!(got.expect("a reply"), Version(3));
    assert_eq!(leader.calls.load(Ordering::Relaxed), 1);
    assert_eq!(other.calls.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_member_that_stops_in_the_middle_of_its_reply_is_left() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = silent.local_addr().expect("a bound port");
    tokio::spawn(async move {
        let (mut stream, _) = silent.accept().await.expect("a connection");
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc";
        stream.write_all(head).await.expect("it is sent");
        std::future::pending::<()>().await;
    });
    let reply = codec::encode(&LeaderReply::Done(rules(10))).expect("it is encoded");
    let other = start_member(1, reply).await;
    let secret = FleetSecret::new("a-secret-for-these-tests").expect("long enough");
    let group = LeaderClient::new(Client::new(secret), vec![address, other.address]);
    let got = group.call(&GetRules {}, TIMEOUT).await;
    assert_eq!(got.expect("a reply"), rules(10));
}

#[tokio::test]
async fn a_member_that_takes_a_call_and_says_nothing_is_left_after_one_wait() {
    const STALL: Duration = Duration::from_millis(700);
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("a bound port");
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = socket.accept().await {
            open.push(stream);
        }
    });
    let client = Client::new(FleetSecret::new("a-secret-for-these-tests").expect("long enough"));
    let begun = std::time::Instant::now();
    let call = GetRules {};
    let reply = client.call_unless_stalled(address, &call, STALL, TIMEOUT);
    assert!(reply.await.is_err());
    assert!(begun.elapsed() < STALL * 3 / 2, "{:?}", begun.elapsed());
}
