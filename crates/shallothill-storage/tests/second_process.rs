//! The lock of a data folder against a second process.
//!
//! The test has its own file, and so its own process: until a child process calls exec, it holds
//! copies of its parent's locks, which would keep the folders of other tests locked.

use std::path::Path;
use std::process::Command;

use shallothill_storage::{DataFolder, FolderOptions, Log};

const SECOND_PROCESS: &str = "SHALLOTHILL_TEST_FOLDER";

/// Guards against two processes that write to the same folder.
#[test]
fn refuses_a_second_process() {
    if let Ok(path) = std::env::var(SECOND_PROCESS) {
        let error =
            DataFolder::try_open(Path::new(&path), FolderOptions::default()).expect_err("refused");
        println!("{error}");
        return;
    }
    let dir = tempfile::tempdir().expect("a folder");
    let open = DataFolder::try_open(dir.path(), FolderOptions::default()).expect("a folder");
    let (log, _) = Log::try_open(&open, "config").expect("a log");
    drop(open);

    let test = std::env::current_exe().expect("this test");
    let output = Command::new(test)
        .args(["--exact", "refuses_a_second_process", "--nocapture"])
        .env(SECOND_PROCESS, dir.path())
        .output()
        .expect("a second process");
    drop(log);

    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.contains("is locked by another keeper; stop it"),
        "{text}"
    );
    drop(DataFolder::try_open(dir.path(), FolderOptions::default()).expect("a folder"));
}
