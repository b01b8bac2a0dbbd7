//! End-to-end path: rules are checked and applied while traffic runs.

use clem_checks::{Fleet, Options, Result, chat, chat_body};

#[tokio::test]
async fn rules_change_while_traffic_runs() -> Result<()> {
    let mut options = Options::default();
    options.customers[1] = ("botez", "1000/s", 2000);
    let mut fleet = Fleet::start(options).await?;
    assert!(
        chat(&fleet, 0, "totara", "before", 2)
            .await?
            .status
            .is_success()
    );

    // Traffic of another customer, which the changes must not disturb.
    let (client, url) = (
        fleet.client.clone(),
        fleet.entry_url(1, "/v1/chat/completions"),
    );
    let bearer = fleet.bearer("botez")?;
    let (stop, mut stopped) = tokio::sync::watch::channel(false);
    let traffic = tokio::spawn(async move {
        let mut count = 0;
        while !*stopped.borrow_and_update() {
            let headers = [("authorization", bearer.as_str())];
            let reply = client
                .post(&url, &headers, chat_body("traffic", 2, false))
                .await?;
            assert!(
                reply.status.is_success(),
                "{}: {}",
                reply.status,
                reply.text()
            );
            count += 1;
        }
        Ok::<u32, eyre::Report>(count)
    });

    // For an invalid file all findings are reported with their lines, and nothing is applied.
    let good = fleet.rules.clone();
    fleet
        .rules
        .push("customer.totara = { rate = \"1/s\", burst = 1 }  # asked by Mere".to_owned());
    fleet
        .rules
        .push("route.lost = { service = \"desk\", colour = 3 }".to_owned());
    let file = fleet.write_rules()?;
    let output = fleet
        .ctl(&["apply", &file, "--expect", "1", "--id", "bad"])
        .await?;
    let text = String::from_utf8_lossy(&output.stderr).into_owned()
        + &String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(4), "{text}");
    for line in [good.len() + 1, good.len() + 2] {
        assert!(
            text.contains(&format!("{line}:")),
            "no finding at line {line}: {text}"
        );
    }

    // A withdrawn key is refused at every entry as soon as `apply` returns.
    fleet.rules = good;
    fleet.rules.retain(|rule| !rule.starts_with("key.totara-1"));
    fleet.apply().await?;
    for entry in 0..2 {
        let reply = chat(&fleet, entry, "totara", "after", 2).await?;
        assert_eq!(
            (reply.status.as_u16(), reply.header("x-clem-ran")),
            (401, "no")
        );
    }

    // A change that expects an old version conflicts.
    let file = fleet.write_rules()?;
    let output = fleet
        .ctl(&["apply", &file, "--expect", "1", "--id", "late"])
        .await?;
    assert_eq!(output.status.code(), Some(3));

    stop.send(true)?;
    assert!(traffic.await?? > 0, "no traffic ran");
    let requests = fleet.requests()?;
    assert!(
        !requests
            .iter()
            .any(|request| request.body.contains("after"))
    );
    Ok(())
}
