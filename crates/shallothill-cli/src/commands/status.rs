//! `shallothill status` tells where the configuration is in force.

use clap::ArgMatches;
use shallothill_wire::operator::StatusReply;

use crate::client::{Call, Keepers};
use crate::errors;
use crate::exit::Exit;
use crate::output::Output;
use crate::table;

/// `BEHIND_SHOWN` is the number of nodes that a line names; JSON names all.
const BEHIND_SHOWN: usize = 8;

/// `run` prints one line a data centre and one a keeper.
pub(crate) async fn run(matches: &ArgMatches, out: &Output) -> errors::Result<Exit> {
    let reply: StatusReply = Keepers::try_new(matches)?
        .ask(&Call::get("/status"))
        .await?;
    out.result(&reply, &text(&reply));
    Ok(Exit::Ok)
}

fn text(reply: &StatusReply) -> String {
    let quorum = match reply.quorum {
        true => "the keepers have a quorum",
        false => "no quorum: changes cannot be accepted, requests are served",
    };
    let mut sites = vec![table::row(["DATA CENTRE", "NODES", "IN FORCE", "BEHIND"])];
    for site in &reply.data_centres {
        let behind = site
            .behind
            .iter()
            .take(BEHIND_SHOWN)
            .map(ToString::to_string);
        let mut behind = behind.collect::<Vec<_>>().join(" ");
        if site.behind.len() > BEHIND_SHOWN {
            behind.push_str(&format!(" and {} more", site.behind.len() - BEHIND_SHOWN));
        }
        sites.push(vec![
            site.zone.to_string(),
            site.nodes.to_string(),
            site.in_force.to_string(),
            behind,
        ]);
    }
    let mut keepers = vec![table::row(["KEEPER", "VERSION", "STATE"])];
    for keeper in &reply.keepers {
        let state = match (keeper.heard, keeper.primary) {
            (false, _) => "not heard",
            (true, true) => "primary",
            (true, false) => "backup",
        };
        let version = match keeper.heard {
            true => keeper.config_version.to_string(),
            false => String::from("?"),
        };
        keepers.push(vec![keeper.keeper.to_string(), version, state.to_owned()]);
    }
    let version = reply.config_version;
    let (sites, keepers) = (table::align(&sites), table::align(&keepers));
    format!("version {version}; {quorum}\n\n{sites}\n{keepers}")
}
