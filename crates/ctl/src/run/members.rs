//! `clemctl members`: prints and changes the members of the control group.

use clem_types::CommandId;
use clem_wire::{
    LeaderClient,
    admin::{ChangeMembers, ChangeMembersReply, MemberChange, MemberRole, MemberView, ReadStatus},
};

use crate::Exit;

use super::{Result, TIMEOUT};

/// Prints one line per member.
pub(super) async fn print(client: LeaderClient) -> Result {
    let status = client.call(&ReadStatus {}, TIMEOUT).await?;
    for member in &status.members {
        println!("{}", line(member));
    }
    Ok(Exit::Done)
}

/// Formats a member as one line of text.
pub(super) fn line(member: &MemberView) -> String {
    let role = match member.role {
        MemberRole::Leader => "leader",
        MemberRole::Follower => "follower",
        MemberRole::Learner => "learner",
    };
    format!(
        "{} {} {role}, log up to {}",
        member.address, member.identity, member.matched
    )
}

/// Requests a membership change. It completes in the background after it is accepted.
pub(super) async fn change(client: LeaderClient, id: CommandId, change: MemberChange) -> Result {
    eprintln!("clemctl: command id {id}");
    let call = ChangeMembers {
        command: id,
        change,
    };
    match client.call(&call, TIMEOUT).await? {
        ChangeMembersReply::Accepted => {
            println!("the change has started");
            Ok(Exit::Done)
        }
        ChangeMembersReply::Rejected { reason } => {
            eprintln!("clemctl: rejected, nothing was done: {reason}");
            Ok(Exit::Findings)
        }
    }
}
