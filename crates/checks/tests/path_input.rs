//! Invalid input from callers, and from operators who start programs.

use std::{net::TcpListener, process::Command};

use clem_checks::{Fleet, Options, Result, binary, chat, chat_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The programs of a fleet, each with the required flags that the others don't have.
const MEMBERS: [(&str, &[&str]); 3] = [
    ("clem-entry", &[]),
    ("clem-control", &["--data-dir"]),
    ("clem-agent", &["--target"]),
];

/// Starts a program that must reject its settings and returns its error output.
fn refused(program: &str, args: &[&str]) -> Result<String> {
    let output = Command::new(binary(program)?)
        .args(args)
        .env_clear()
        .output()?;
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{program} {args:?}: {text}");
    Ok(text)
}

#[test]
fn all_findings_in_the_settings_are_reported_at_once() -> Result<()> {
    for (program, own) in MEMBERS {
        // Without any flag every required flag is reported.
        let text = refused(program, &[])?;
        let common = [
            "--listen",
            "--data-centre",
            "--control",
            "--fleet-secret-file",
        ];
        for flag in common.iter().chain(own) {
            assert!(
                text.contains(flag),
                "{program} doesn't report {flag}: {text}"
            );
        }
        // An unknown flag, a host name, an invalid port, a missing file and a flag without a value.
        let args = [
            "--colour",
            "red",
            "--listen",
            "localhost:80",
            "--control",
            "127.0.0.1:99999",
            "--fleet-secret-file",
            "no-such-file",
            "--data-centre",
        ];
        let text = refused(program, &args)?;
        for flag in [
            "--colour",
            "--listen",
            "--control",
            "--fleet-secret-file",
            "--data-centre",
        ] {
            assert!(
                text.contains(flag),
                "{program} doesn't report {flag}: {text}"
            );
        }
    }
    Ok(())
}

#[test]
fn a_busy_port_is_reported() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let secret = folder.path().join("secret");
    std::fs::write(&secret, "a-secret-for-tests-only")?;
    let secret = secret.display().to_string();
    let data = folder.path().display().to_string();
    let busy = TcpListener::bind("127.0.0.1:0")?;
    let busy = busy.local_addr()?.to_string();
    for (program, own) in MEMBERS {
        let mut args = vec![
            "--listen",
            &busy,
            "--control",
            "127.0.0.1:1",
            "--data-centre",
            "tamaki-a",
            "--fleet-secret-file",
            &secret,
        ];
        for flag in own {
            args.push(flag);
            args.push(if *flag == "--target" {
                "127.0.0.1:2"
            } else {
                &data
            });
        }
        let text = refused(program, &args)?;
        assert!(text.contains(&busy), "{program}: {text}");
    }
    Ok(())
}

/// Sends a request on an open connection and returns the head and the body of the response.
async fn exchange(stream: &mut TcpStream, request: &str) -> Result<(String, String)> {
    stream.write_all(request.as_bytes()).await?;
    let mut text = Vec::new();
    loop {
        let mut piece = [0; 4096];
        let length = stream.read(&mut piece).await?;
        eyre::ensure!(length > 0, "the connection was closed");
        text.extend_from_slice(&piece[..length]);
        let so_far = String::from_utf8_lossy(&text).to_lowercase();
        let Some((head, body)) = so_far.split_once("\r\n\r\n") else {
            continue;
        };
        let field = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        let wanted: usize = field.unwrap_or("0").parse()?;
        if body.len() >= wanted {
            return Ok((head.to_owned(), body.to_owned()));
        }
    }
}

fn post(bearer: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{bearer}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[tokio::test]
async fn bad_requests_are_refused_as_not_run_and_the_connection_stays_usable() -> Result<()> {
    let options = Options {
        entry_args: vec!["--max-body".to_owned(), "10000".to_owned()],
        ..Options::default()
    };
    let fleet = Fleet::start(options).await?;
    let bearer = format!("authorization: {}\r\n", fleet.bearer("totara")?);
    let good = chat_body("hello", 2, false);
    let long = chat_body(&"x".repeat(20_000), 2, false);
    let cases = [
        ("no key", post("", &good), "401"),
        (
            "a wrong key",
            post("authorization: Bearer nobody\r\n", &good),
            "401",
        ),
        ("invalid JSON", post(&bearer, "{\"model\""), "400"),
        ("not an object", post(&bearer, "[1]"), "400"),
        ("no model", post(&bearer, "{\"messages\":[]}"), "400"),
        (
            "an unknown model",
            post(&bearer, &good.replace("assistant", "nothing")),
            "404",
        ),
        ("too large", post(&bearer, &long), "413"),
    ];
    let mut stream = TcpStream::connect(fleet.entry_address(0)).await?;
    for (what, request, status) in cases {
        let (head, body) = exchange(&mut stream, &request).await?;
        assert!(
            head.starts_with(&format!("http/1.1 {status}")),
            "{what}: {head}"
        );
        assert!(head.contains("x-clem-ran: no"), "{what}: {head}");
        let json: serde_json::Value = serde_json::from_str(&body)?;
        assert_eq!(json["error"]["ran"], "no", "{what}: {body}");
        assert!(json["error"]["code"].is_string(), "{what}: {body}");
    }
    let (head, _) = exchange(&mut stream, &post(&bearer, &good)).await?;
    assert!(head.starts_with("http/1.1 200"), "{head}");
    assert_eq!(fleet.requests()?.len(), 1, "only the valid request may run");
    assert!(
        chat(&fleet, 1, "totara", "hello", 1)
            .await?
            .status
            .is_success()
    );
    Ok(())
}
