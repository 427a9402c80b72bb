//! Prints results as text or as JSON.

use std::io;
use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::errors;

/// `Output` prints results to standard output, and errors and hints to standard error.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    /// `new` selects JSON if `json` is set, as with `--json`, and text otherwise.
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// `result` prints `text`, or `value` as JSON.
    pub(crate) fn result<T: Serialize>(&self, value: &T, text: &str) {
        if self.json {
            let json = serde_json::to_string_pretty(value).unwrap_or_default();
            write(&mut io::stdout(), &json);
        } else {
            write(&mut io::stdout(), text);
        }
    }

    /// `hint` prints a line that is not part of the result; with JSON it is left out.
    pub(crate) fn hint(&self, text: &str) {
        if !self.json {
            write(&mut io::stderr(), text);
        }
    }

    /// `error` prints an error to standard error, and with JSON also as the result.
    pub(crate) fn error(&self, e: &errors::Error) {
        let text = e.to_string();
        if self.json {
            self.result(&json!({ "error": text }), "");
        }
        write(&mut io::stderr(), &format!("shallothill: {text}"));
    }
}

/// `write` ends the text with one line break. It ignores write errors, because a closed pipe, such
/// as with `| head`, is not a failure of the command.
fn write(out: &mut impl Write, text: &str) {
    let end = if text.is_empty() || text.ends_with('\n') {
        ""
    } else {
        "\n"
    };
    let _ = write!(out, "{text}{end}").and_then(|()| out.flush());
}
