//! What the processes of a group said to a call, as log lines and errors tell it.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use clem_wire::{
    Answer, Asked, CallError, Client, FleetSecret, GroupBrief, LeaderClient, LeaderReply, answer,
    codec, fleet::Ping,
};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait, conn::Acceptor,
};
use serde::{Deserialize, Serialize};
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::mpsc::{UnboundedSender, unbounded_channel},
};

/// Timeout of a call that reaches no leader; longer than a silent process is waited for.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Where a collector of logs may cut lines off, in bytes.
const LINE_BYTES: usize = 200;

fn address(ip: [u8; 4]) -> SocketAddr {
    SocketAddr::from((ip, 7220))
}

fn brief(text: &str) -> Option<GroupBrief> {
    Some(GroupBrief::from(text.to_owned()))
}

/// The line on a call, as far as it reaches us: keys are in alphabetical order.
fn cut_line(asked: &Asked) -> String {
    let line = format!(
        "{{\"asked\":\"{asked}\",\"call\":\"/internal/jobs/submit\",\
         \"event\":\"call to the leader retried\",\"level\":\"info\""
    );
    line.chars().take(LINE_BYTES).collect()
}

// ---------------------------------------------------------------------------------------------
// The text

#[test]
fn a_line_that_is_cut_off_tells_what_each_process_said() {
    let [voter, outside, refused, silent, stuck] =
        [203, 31, 147, 121, 63].map(|last| address([10, 1, 0, last]));
    let mut asked = Asked::default();
    for _ in 0..40 {
        asked.note_follower(voter, None, brief("V1/2/2Z25AgEgT12P48211c2"));
        asked.note_follower(outside, None, brief("-"));
        asked.note(refused, Answer::RefusedConnection);
        asked.note_follower(stuck, Some(stuck), brief("V2/2/3D25T12P48211a300"));
    }
    asked.note(silent, Answer::Silent);
    let line = cut_line(&asked);
    for part in [
        "\"203=n40V1/2/2Z25AgEgT12P48211c2 ",
        " 31=n40- ",
        " 147=x40 ",
        " 63=i40V2/2/3D25T12P48211a300 ",
        " 121=s1\"",
    ] {
        assert!(line.contains(part), "{part} in {line}");
    }
}

#[test]
fn three_processes_with_all_their_facts_fit_into_a_line_that_is_cut_off() {
    let mut asked = Asked::default();
    let longest = "V1/2/3Z125D124S118AgoErnT1234P1234567c1234a12345F12";
    for last in [203, 147, 121] {
        for _ in 0..150 {
            asked.note_follower(address([10, 1, 0, last]), None, brief(longest));
        }
    }
    let line = cut_line(&asked);
    assert_eq!(line.matches(longest).count(), 3, "{line}");
}

#[test]
fn the_last_answer_of_a_process_comes_first_and_the_others_are_counted() {
    let [one, two] = [1, 2].map(|last| address([10, 1, 0, last]));
    let mut asked = Asked::default();
    asked.note_follower(one, Some(two), brief("V3/2/3T7P9"));
    asked.note(two, Answer::Broken);
    asked.note(one, Answer::RefusedConnection);
    asked.note(one, Answer::RefusedConnection);
    asked.note_follower(one, Some(two), None);
    asked.note(two, Answer::Unknown);
    asked.note(two, Answer::Leads);
    assert_eq!(asked.to_string(), "1=o2>2x2V3/2/3T7P9 2=a1u1r1");
}

#[test]
fn silence_at_the_end_of_a_call_says_nothing_of_a_process_that_has_answered() {
    let [one, two] = [1, 2].map(|last| address([10, 1, 0, last]));
    let mut asked = Asked::default();
    asked.note(one, Answer::NoLeader);
    asked.note_last(one, Answer::Silent);
    asked.note_last(two, Answer::Silent);
    assert_eq!(asked.to_string(), "1=n1 2=s1");
    asked.note_last(one, Answer::RefusedConnection);
    assert_eq!(asked.to_string(), "1=x1n1 2=s1");
}

#[test]
fn processes_are_named_by_as_much_of_their_addresses_as_tells_them_apart() {
    let name = |addresses: &[SocketAddr]| {
        let mut asked = Asked::default();
        for address in addresses {
            asked.note(*address, Answer::Silent);
        }
        asked.to_string()
    };
    let [one, two, far] = [[10, 1, 0, 5], [10, 1, 0, 6], [10, 2, 0, 5]].map(address);
    assert_eq!(name(&[]), "none");
    assert_eq!(name(&[one, two]), "5=s1 6=s1");
    assert_eq!(name(&[one, far]), "1.0.5=s1 2.0.5=s1");
    let same = SocketAddr::from(([10, 1, 0, 5], 7221));
    assert_eq!(name(&[one, same]), "10.1.0.5:7220=s1 10.1.0.5:7221=s1");
    let long: SocketAddr = "[fe80::1]:7220".parse().expect("an address");
    assert_eq!(name(&[one, long]), "10.1.0.5:7220=s1 [fe80::1]:7220=s1");

    let mut asked = Asked::default();
    asked.note(one, Answer::Names(far));
    assert_eq!(asked.to_string(), "1.0.5=o1>2.0.5");
}

#[test]
fn the_text_is_bounded() {
    let mut asked = Asked::default();
    for last in 0..=255 {
        let long = "V".repeat(10_000);
        asked.note_follower(address([10, 1, 0, last]), None, brief(&long));
    }
    let text = asked.to_string();
    assert!(text.ends_with(" +248"), "{text}");
    assert!(text.len() < 1000, "{} bytes", text.len());
}

// ---------------------------------------------------------------------------------------------
// Releases

/// The reply as processes of the release before the brief know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum EarlierReply<T> {
    Done(T),
    NotLeader { leader: Option<SocketAddr> },
    Unknown,
    NoRoom,
}

#[test]
fn a_process_of_the_release_before_the_brief_understands_a_reply_with_one() {
    for leader in [None, Some(address([10, 1, 0, 1]))] {
        for brief in [None, brief("V1/2/3Z25T12P48211")] {
            let reply = LeaderReply::<u64>::NotLeader { leader, brief };
            let bytes = codec::encode(&reply).expect("it is encoded");
            let read: EarlierReply<u64> = codec::decode(&bytes).expect("it is understood");
            assert_eq!(read, EarlierReply::NotLeader { leader });
        }
    }
}

#[test]
fn a_reply_of_the_release_before_the_brief_is_understood() {
    for leader in [None, Some(address([10, 1, 0, 1]))] {
        let reply = EarlierReply::<u64>::NotLeader { leader };
        let bytes = codec::encode(&reply).expect("it is encoded");
        let read: LeaderReply<u64> = codec::decode(&bytes).expect("it is understood");
        let brief = None;
        assert_eq!(read, LeaderReply::NotLeader { leader, brief });
    }
    for (earlier, now) in [
        (EarlierReply::Done(7_u64), LeaderReply::Done(7)),
        (EarlierReply::Unknown, LeaderReply::Unknown),
        (EarlierReply::NoRoom, LeaderReply::NoRoom),
    ] {
        let bytes = codec::encode(&earlier).expect("it is encoded");
        let read: LeaderReply<u64> = codec::decode(&bytes).expect("it is understood");
        assert_eq!(read, now);
    }
}

#[test]
fn a_brief_is_bounded_on_the_wire_and_when_it_is_read() {
    let long = "V1/2/3".repeat(1000);
    let sent = GroupBrief::from(long.clone());
    let bytes = codec::encode(&sent).expect("it is encoded");
    assert!(bytes.len() <= 80, "{} bytes", bytes.len());
    let bytes = codec::encode(&long).expect("it is encoded");
    let read: GroupBrief = codec::decode(&bytes).expect("it is understood");
    assert_eq!(read, sent);
}

// ---------------------------------------------------------------------------------------------
// Calls

/// What a member answers to each call.
#[derive(Debug, Clone)]
struct Member(LeaderReply<()>);

#[async_trait]
impl Handler for Member {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let _ = req.payload().await;
        answer(res, &self.0);
    }
}

async fn bind(last: u8) -> TcpListener {
    let ip = Ipv4Addr::new(127, 0, 5, last);
    TcpListener::bind((ip, 0)).await.expect("a free port")
}

async fn start_member(last: u8, reply: impl FnOnce(SocketAddr) -> LeaderReply<()>) -> SocketAddr {
    let socket = bind(last).await;
    let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(socket).expect("an acceptor");
    let address = acceptor.holdings()[0].local_addr.clone().into_std();
    let address = address.expect("an address of this machine");
    let router = Router::with_path("{**}").post(Member(reply(address)));
    tokio::spawn(Server::new(acceptor).serve(router));
    address
}

async fn start_follower(last: u8, text: &str) -> SocketAddr {
    let brief = brief(text);
    start_member(last, |_| LeaderReply::NotLeader {
        leader: None,
        brief,
    })
    .await
}

/// A process that is gone: its address refuses connections.
async fn refused(last: u8) -> SocketAddr {
    let socket = bind(last).await;
    socket.local_addr().expect("a bound port")
}

/// Starts a process that reads a call and passes its connection on.
async fn start_mute(last: u8, connections: UnboundedSender<TcpStream>) -> SocketAddr {
    let socket = bind(last).await;
    let address = socket.local_addr().expect("a bound port");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = socket.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            // A receiver that is gone drops the connection.
            let _ = connections.send(stream);
        }
    });
    address
}

fn client(members: Vec<SocketAddr>) -> LeaderClient {
    let secret = FleetSecret::new("a-secret-for-these-tests").expect("long enough");
    LeaderClient::new(Client::new(secret), members)
}

/// What the error of a call tells of a process: the text after its name.
fn said(error: &CallError, last: u8) -> String {
    let text = error.asked().expect("no leader").to_string();
    let name = format!("{last}=");
    let mut words = text.split(' ');
    let word = words.find_map(|word| word.strip_prefix(&name));
    word.unwrap_or_else(|| panic!("{last} in {text}"))
        .to_owned()
}

#[tokio::test]
async fn the_error_of_a_call_tells_what_each_process_said() {
    let (held, _connections) = unbounded_channel();
    let (dropped, gone) = unbounded_channel();
    drop(gone);
    let members = vec![
        start_follower(1, "V1/2/3Z25T12P48211").await,
        start_follower(2, "-").await,
        refused(3).await,
        start_mute(4, dropped).await,
        start_member(5, |own| LeaderReply::NotLeader {
            leader: Some(own),
            brief: brief("V2/2/3D25T12P48211a300"),
        })
        .await,
        start_mute(6, held).await,
    ];
    let error = client(members).call(&Ping {}, TIMEOUT).await;
    let error = error.expect_err("none of them leads");
    for (last, start, end) in [
        (1, "n", "V1/2/3Z25T12P48211"),
        (2, "n", "-"),
        (3, "x", ""),
        (4, "r", ""),
        (5, "i", "V2/2/3D25T12P48211a300"),
        (6, "s", ""),
    ] {
        let said = said(&error, last);
        let count = said.strip_prefix(start).and_then(|s| s.strip_suffix(end));
        let count = count.and_then(|count| count.parse::<u32>().ok());
        assert!(count.is_some_and(|count| count > 0), "{last}: {said}");
    }
    // One of them has taken the call and not answered.
    assert!(!error.is_not_run());
    let text = "sent, but not answered: no control process answered in time";
    assert_eq!(error.to_string(), text);
}

#[tokio::test]
async fn a_call_that_reached_no_leader_and_was_not_taken_says_so_as_before() {
    let members = vec![start_follower(11, "V1/2/3").await, refused(12).await];
    let error = client(members).call(&Ping {}, TIMEOUT).await;
    let error = error.expect_err("none of them leads");
    assert!(error.is_not_run());
    let text = "not sent: no control leader was reached in time";
    assert_eq!(error.to_string(), text);
    let error = client(Vec::new()).call(&Ping {}, TIMEOUT).await;
    let error = error.expect_err("nobody is asked");
    assert_eq!(error.to_string(), text);
    assert_eq!(error.asked().expect("nobody").to_string(), "none");
}

#[tokio::test]
async fn a_leader_that_is_asked_once_says_what_it_knows() {
    let members = vec![start_follower(21, "V1/2/3Z4").await];
    let error = client(members).ask_leader(&Ping {}, TIMEOUT).await;
    let error = error.expect_err("it doesn't lead");
    assert_eq!(said(&error, 21), "n3V1/2/3Z4");
}
