//! `shallothill status` shows on which nodes and keepers the configuration is in force.

use clap::ArgMatches;
use shallothill_wire::operator::StatusReply;

use crate::client::{Call, Keepers};
use crate::errors;
use crate::exit::Exit;
use crate::output::Output;
use crate::table;

/// `BEHIND_MAX_SHOWN` bounds the nodes that a line names; the JSON output names all.
const BEHIND_MAX_SHOWN: usize = 8;

/// `run` prints one line per data centre and one per keeper.
pub(crate) async fn run(matches: &ArgMatches, out: &Output) -> errors::Result<Exit> {
    let reply: StatusReply = Keepers::try_new(matches)?
        .call(&Call::get("/status"))
        .await?;
    out.result(&reply, &format_status(&reply));
    Ok(Exit::Ok)
}

fn format_status(reply: &StatusReply) -> String {
    let quorum = match reply.quorum {
        true => "the keepers have a quorum",
        false => "no quorum: changes cannot be accepted, requests are served",
    };
    let mut data_centres = vec![table::row(["DATA CENTRE", "NODES", "IN FORCE", "BEHIND"])];
    for data_centre in &reply.data_centres {
        let behind = data_centre
            .behind
            .iter()
            .take(BEHIND_MAX_SHOWN)
            .map(ToString::to_string);
        let mut behind = behind.collect::<Vec<_>>().join(" ");
        if data_centre.behind.len() > BEHIND_MAX_SHOWN {
            behind.push_str(&format!(
                " and {} more",
                data_centre.behind.len() - BEHIND_MAX_SHOWN
            ));
        }
        data_centres.push(vec![
            data_centre.zone.to_string(),
            data_centre.nodes.to_string(),
            data_centre.in_force.to_string(),
            behind,
        ]);
    }
    let mut keepers = vec![table::row(["KEEPER", "VERSION", "STATE"])];
    for keeper in &reply.keepers {
        let state = match (keeper.heard, keeper.primary) {
            (false, _) => "no contact",
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
    let (data_centres, keepers) = (table::align(&data_centres), table::align(&keepers));
    format!("version {version}; {quorum}\n\n{data_centres}\n{keepers}")
}
