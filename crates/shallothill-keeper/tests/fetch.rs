//! A keeper fetches a configuration that only a node has.

mod common;

use std::sync::Arc;

use bytes::Bytes;
use common::Group;
use http_body_util::Full;
use hyper::Response;
use shallothill_core::sections;
use shallothill_core::sections::{Section, SectionId};
use shallothill_core::version::ConfigVersion;
use shallothill_runtime::admin;
use shallothill_runtime::admin::{AdminHandler, AdminRequest};
use shallothill_wire::operator::SubmitReply;
use shallothill_wire::watch::{SectionsReply, SectionsRequest};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const VERSION: ConfigVersion = ConfigVersion(12);

/// Answers requests at a node's peer address.
struct FakeNode(Vec<Section>);

impl AdminHandler for FakeNode {
    async fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }

    async fn handle(&self, req: AdminRequest) -> Option<Response<Full<Bytes>>> {
        let body = match req.path.as_str() {
            "/peer/config/manifest" => rmp_serde::to_vec(&(VERSION, sections::manifest(&self.0))),
            "/peer/config/sections/12" => {
                let ids: Vec<SectionId> = rmp_serde::from_slice(&req.body).unwrap();
                let wanted = self.0.iter().filter(|s| ids.contains(&s.id()));
                rmp_serde::to_vec(&SectionsReply {
                    sections: Some(wanted.cloned().collect()),
                    config_version: VERSION,
                })
            }
            _ => return None,
        };
        Some(Response::new(Full::new(Bytes::from(body.unwrap()))))
    }
}

/// Guards against a keeper that stays behind although a node reported a newer version to it,
/// because no other keeper has that version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_a_configuration_spreads_from_a_node() {
    let group = Group::start(1).await;
    let config = common::config(&common::text(400, 3));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut report = common::report("n1", VERSION.0);
    report.report.peer_address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let node = Arc::new(FakeNode(sections::split(&config)));
    let server = tokio::spawn(admin::serve(listener, node, stop.clone()));

    let control = group.control(0);
    let call = control.call(common::DEADLINE, |c, cx| async move {
        c.report(cx, report).await
    });
    call.await.unwrap();

    let keeper = group.keeper(0);
    common::wait("version 12", || {
        keeper.published.load().version() == VERSION
    })
    .await;
    assert_eq!(**keeper.published.load().config(), config);
    stop.cancel();
    server.await.unwrap();
}

/// Guards against a node that starts right after an acceptance and serves the version before it,
/// because the keeper named only the version that it had published so far.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_a_starting_node_hears_of_the_accepted_version() {
    let group = Group::start(1).await;
    let probe = SectionsRequest {
        version: ConfigVersion(0),
        ids: Vec::new(),
    };

    for base in 0..50 {
        let text = common::text(2000, base as u32);
        let reply = group.submit(0, base, &format!("c{base}"), &text).await;
        let named = group.keeper(0).sections(&probe).config_version;

        let version = ConfigVersion(base + 1);
        assert_eq!(reply, SubmitReply::Accepted { version });
        assert!(
            named >= version,
            "named {named} after {version} was accepted"
        );
    }
}
