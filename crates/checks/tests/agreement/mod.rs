//! A control group of three real processes, without entries and targets.

// Each test program uses only a part of this module.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use clem_checks::{Fleet, Options, Result, eventually_value};
use clem_wire::{
    Call, Client, FleetSecret, LeaderClient, LeaderReply,
    admin::{Apply, ApplyReply, MemberRole, ReadRules, ReadStatus, StatusView},
};
use eyre::{OptionExt, bail};

/// The timeout of a call to the group, including the search for the leader.
const GROUP_TIMEOUT: Duration = Duration::from_secs(30);
/// The timeout of a call to a single process.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(5);

/// A control group under test.
pub(crate) struct Group {
    pub(crate) fleet: Fleet,
    /// The version of the rules that were acknowledged last.
    pub(crate) version: u64,
    /// The text of the rules that were acknowledged last.
    pub(crate) text: String,
    client: LeaderClient,
    direct: Client,
}

impl Group {
    pub(crate) async fn start() -> Result<Self> {
        let options = Options {
            entries: 0,
            targets: Vec::new(),
            rules: Vec::new(),
            ..Options::default()
        };
        let fleet = Fleet::start(options).await?;
        let secret = FleetSecret::read(&fleet.folder().join("secret"))?;
        let direct = Client::new(secret);
        let addresses = (0..3).map(|index| fleet.control_address(index)).collect();
        let mut group = Self {
            client: LeaderClient::new(direct.clone(), addresses),
            fleet,
            version: 1,
            text: String::new(),
            direct,
        };
        group.change().await?;
        Ok(group)
    }

    fn next_text(&self) -> String {
        let burst = self.version + 1;
        format!(
            "customer.totara = {{ rate = \"20/s\", burst = {burst}, weight = 1 }}  # asked by Mere\n"
        )
    }

    /// Applies the next version of the rules, resending it with the same command id until it is
    /// answered.
    pub(crate) async fn change(&mut self) -> Result<()> {
        let text = self.next_text();
        self.change_to(text).await
    }

    /// Applies a rules text, resending it with the same command id until it is answered.
    pub(crate) async fn change_to(&mut self, text: String) -> Result<()> {
        let apply = Apply {
            command: format!("change-{}", self.version + 1).parse()?,
            expect: clem_types::Version(self.version),
            text: text.clone(),
        };
        match self.client.call(&apply, GROUP_TIMEOUT).await? {
            ApplyReply::Accepted { version, .. } => {
                assert_eq!(version.0, self.version + 1);
                self.version = version.0;
                self.text = text;
                Ok(())
            }
            other => bail!("not accepted: {other:?}"),
        }
    }

    /// Sends the next version of the rules to a single process; returns whether it acknowledged
    /// them.
    pub(crate) async fn change_at(&self, index: usize) -> Result<bool> {
        let apply = Apply {
            command: "change-alone".parse()?,
            expect: clem_types::Version(self.version),
            text: self.next_text(),
        };
        let reply = self.call_one(index, &apply).await;
        Ok(matches!(reply, Some(ApplyReply::Accepted { .. })))
    }

    /// Reads the rules from the group and checks that they are those acknowledged last.
    pub(crate) async fn check_rules(&self) -> Result<()> {
        let rules = self.client.call(&ReadRules {}, GROUP_TIMEOUT).await?;
        assert_eq!(
            (rules.version.0, rules.text),
            (self.version, self.text.clone())
        );
        Ok(())
    }

    /// Sends a call to the leader, which the client searches for.
    pub(crate) async fn call<C: Call>(&self, call: &C) -> Result<C::Reply>
    where
        LeaderReply<C::Reply>: serde::de::DeserializeOwned,
    {
        Ok(self.client.call(call, GROUP_TIMEOUT).await?)
    }

    pub(crate) async fn status(&self) -> Result<StatusView> {
        Ok(self.client.call(&ReadStatus {}, GROUP_TIMEOUT).await?)
    }

    /// The index of the leader.
    pub(crate) async fn leader(&self) -> Result<usize> {
        let status = self.status().await?;
        let leader = status.members.iter().find(|m| m.role == MemberRole::Leader);
        let leader = leader.ok_or_eyre("no leader among the members")?;
        let index = (0..3).find(|index| self.fleet.control_address(*index) == leader.address);
        index.ok_or_eyre("the leader is not a process of the fleet")
    }

    /// The identity of the member at an index.
    pub(crate) async fn identity(&self, index: usize) -> Result<String> {
        let address = self.fleet.control_address(index);
        let status = self.status().await?;
        let member = status.members.iter().find(|m| m.address == address);
        Ok(member.ok_or_eyre("not a member")?.identity.clone())
    }

    /// Sends a call to a single process; `None` if it doesn't reply as the leader.
    pub(crate) async fn call_one<C: Call>(&self, index: usize, call: &C) -> Option<C::Reply>
    where
        LeaderReply<C::Reply>: serde::de::DeserializeOwned,
    {
        let body = clem_wire::codec::encode(call).ok()?;
        let address = self.fleet.control_address(index);
        let reply = self
            .direct
            .post(address, C::PATH, body.into(), PROCESS_TIMEOUT);
        let reply = clem_wire::codec::decode(&reply.await.ok()?).ok()?;
        match reply {
            LeaderReply::Done(reply) => Some(reply),
            LeaderReply::NotLeader { .. } | LeaderReply::Unknown | LeaderReply::NoRoom => None,
        }
    }

    /// Waits until the group has three voters with the complete log, none of them with this
    /// identity.
    pub(crate) async fn wait_repaired(&self, identity: &str) -> Result<()> {
        eventually_value(
            "three voters without the identity of the lost disk",
            async || {
                let status = self.status().await.ok()?;
                let last = status.members.iter().map(|m| m.matched).max()?;
                let repaired = status.members.len() == 3
                    && status.members.iter().all(|m| {
                        m.role != MemberRole::Learner && m.identity != identity && m.matched == last
                    });
                repaired.then_some(())
            },
        )
        .await
    }

    /// Kills a process, deletes its data folder and restarts it.
    pub(crate) fn lose_disk(&mut self, index: usize) -> Result<()> {
        self.fleet.control[index].kill()?;
        let data = self.fleet.data_dir(index);
        std::fs::remove_dir_all(&data)?;
        std::fs::create_dir_all(&data)?;
        self.fleet.control[index].restart()
    }
}

/// Prints how long something took, for information only.
pub(crate) fn print_elapsed(what: &str, start: Instant) {
    println!("MEASURED {what}: {} ms", start.elapsed().as_millis());
}
