//! Two operators submit changes of the same version concurrently.

use crate::fleet::Fleet;
use crate::operator::Submission;
use crate::text::text;

/// Guards against two changes of the same base version that are both accepted, and against a resent
/// submission that is answered differently from the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn holds_one_of_two_operators_wins() {
    let fleet = Fleet::start().await;
    for round in 0..10_u32 {
        let base = u64::from(round) + 1;
        let texts = [text(2 * round + 1), text(2 * round + 2)];
        let ids = [format!("left-{round}"), format!("right-{round}")];
        let at = |side: usize, keeper: u32| Submission {
            keeper: fleet.admin(keeper as usize % 3),
            base,
            change_id: &ids[side],
            text: &texts[side],
        };

        let (left, right) = (at(0, round), at(1, round + 1));
        let (left, right) = tokio::join!(
            left.run(fleet.dir_path(), false),
            right.run(fleet.dir_path(), false)
        );

        let winner = usize::from(right.code == Some(0));
        let results = [left, right];
        assert_eq!(results[winner].code, Some(0), "round {round}: {results:?}");
        let refused = &results[1 - winner];
        assert_eq!(refused.code, Some(1), "round {round}: {results:?}");
        let diff = format!("from version {} to your text", base + 1);
        assert!(refused.output.contains(&diff), "round {round}: {refused:?}");
        assert!(
            refused.output.contains("slots"),
            "round {round}: {refused:?}"
        );
        let resent_version = at(winner, round + 2).run_accepted(fleet.dir_path()).await;
        assert_eq!(
            resent_version,
            base + 1,
            "round {round}: the resend got another answer"
        );
    }
    let before = fleet.versions().await;
    fleet.wait_converged(11, before).await;
}
