//! End-to-end path: calls to plain services under `/svc`.

use clem_checks::{Fleet, Options, Result};

#[tokio::test]
async fn services_are_called_and_side_effects_happen_once() -> Result<()> {
    let fleet = Fleet::start(Options::default()).await?;
    let client = &fleet.client;

    // An open route needs no key.
    let url = fleet.entry_url(0, "/svc/hours/today?x=1");
    let reply = client.get(&url, &[]).await?.success()?;
    assert!(
        reply.json()?["path"]
            .as_str()
            .is_some_and(|path| path.contains("today"))
    );

    // A closed route needs one.
    let url = fleet.entry_url(0, "/svc/waitlist/confirm");
    let reply = client.post(&url, &[], "family 7").await?;
    assert_eq!(
        (reply.status.as_u16(), reply.header("x-clem-ran")),
        (401, "no")
    );

    // A resend through the other entry returns the first result.
    let bearer = fleet.bearer("totara")?;
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "confirm-7"),
    ];
    let first = client.post(&url, &headers, "family 7").await?.success()?;
    let url = fleet.entry_url(1, "/svc/waitlist/confirm");
    let second = client.post(&url, &headers, "family 7").await?.success()?;
    assert_eq!(first.body, second.body);

    let requests = fleet.requests()?;
    let confirms = requests.iter().filter(|r| r.path.contains("confirm"));
    assert_eq!(confirms.count(), 1, "must run once: {requests:?}");
    Ok(())
}
