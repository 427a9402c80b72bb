//! Parses single values: numbers, texts, durations, names and enumerations. An error is the message
//! of the fault, with its remedy.

use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::config::{BodyMode, Disposition, OncePer, RequestRate};

use crate::limits;
use crate::node::Value;

/// `text` parses a string; numbers and booleans have to be quoted.
pub(crate) fn text(value: &Value) -> Result<&str, String> {
    match value {
        Value::Text(text) => Ok(text),
        Value::Bool(_) | Value::Integer(_) | Value::Float(_) => {
            let kind = value.kind();
            Err(format!("expected text, found {kind}; put it in quotes"))
        }
        other => Err(format!(
            "expected text, found {}; write a name",
            other.kind()
        )),
    }
}

/// `boolean` parses `true` or `false`.
pub(crate) fn boolean(value: &Value) -> Result<bool, String> {
    match value {
        Value::Bool(b) => Ok(*b),
        other => {
            let kind = other.kind();
            Err(format!(
                "expected true or false, found {kind}; write `true` or `false`"
            ))
        }
    }
}

/// `number` parses a whole number in `min..=max`.
pub(crate) fn number<T>(min: T, max: T) -> impl Fn(&Value) -> Result<T, String>
where
    T: Copy + Into<u64> + TryFrom<i128>,
{
    let (low, high): (u64, u64) = (min.into(), max.into());
    move |value| {
        let remedy = || format!("write a whole number from {low} to {high}");
        let Value::Integer(n) = value else {
            let kind = value.kind();
            return Err(format!(
                "expected a whole number, found {kind}; {}",
                remedy()
            ));
        };
        if !(i128::from(low)..=i128::from(high)).contains(n) {
            return Err(format!("{n} is out of range; {}", remedy()));
        }
        T::try_from(*n).map_err(|_| format!("{n} is out of range; {}", remedy()))
    }
}

/// `duration` parses a whole number with the unit `ms`, `s` or `m`, from 1 ms to
/// [`limits::DURATION_MAX_S`].
pub(crate) fn duration(value: &Value) -> Result<Duration, String> {
    const FORM: &str = "write a whole number with a unit, such as `250ms`, `10s` or `2m`";
    let Value::Text(text) = value else {
        let kind = value.kind();
        return Err(format!("expected a duration, found {kind}; {FORM}"));
    };
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let (number, unit) = text.split_at(digits);
    let factor: u64 = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return Err(format!("`{text}` is not a duration; {FORM}")),
    };
    if number.is_empty() {
        return Err(format!("`{text}` is not a duration; {FORM}"));
    }
    let number = number.parse::<u64>().ok();
    let ms = number.and_then(|n| n.checked_mul(factor));
    match ms {
        Some(ms) if (1..=limits::DURATION_MAX_S * 1_000).contains(&ms) => {
            Ok(Duration::from_millis(ms))
        }
        _ => Err(format!(
            "`{text}` is out of range; write a duration from 1ms to 60m"
        )),
    }
}

/// `class` parses the name of a request class.
pub(crate) fn class(value: &Value) -> Result<Class, String> {
    let name = text(value)?;
    name.parse()
        .map_err(|e: shallothill_core::Error| e.to_string())
}

/// `once_per` parses the scope in which a request runs at most once: `key` or `attempt`.
pub(crate) fn once_per(value: &Value) -> Result<OncePer, String> {
    match text(value)? {
        "key" => Ok(OncePer::Key),
        "attempt" => Ok(OncePer::Attempt),
        other => Err(format!("`{other}` is not known; write `key` or `attempt`")),
    }
}

/// `body_mode` parses how request bodies are passed on: `buffered` or `streamed`.
pub(crate) fn body_mode(value: &Value) -> Result<BodyMode, String> {
    match text(value)? {
        "buffered" => Ok(BodyMode::Buffered),
        "streamed" => Ok(BodyMode::Streamed),
        other => Err(format!(
            "`{other}` is not known; write `buffered` or `streamed`"
        )),
    }
}

/// `disposition` parses `quick`, `cautious` or a number from 0 to 1.
pub(crate) fn disposition(value: &Value) -> Result<Disposition, String> {
    const FORM: &str =
        "write `quick`, `cautious` or a number from 0.0 to 1.0 with up to three decimals";
    let weight = match value {
        Value::Text(name) if name == "quick" => return Ok(Disposition::QUICK),
        Value::Text(name) if name == "cautious" => return Ok(Disposition::CAUTIOUS),
        Value::Text(name) => return Err(format!("`{name}` is no disposition; {FORM}")),
        Value::Integer(n @ (0 | 1)) => *n as f64,
        Value::Integer(n) => return Err(format!("{n} is out of range; {FORM}")),
        Value::Float(x) => *x,
        other => {
            return Err(format!(
                "expected a disposition, found {}; {FORM}",
                other.kind()
            ));
        }
    };
    Disposition::from_fraction(weight).ok_or_else(|| format!("{weight} cannot be kept; {FORM}"))
}

/// `request_rate` parses requests per second, with up to three decimals.
pub(crate) fn request_rate(value: &Value) -> Result<RequestRate, String> {
    const FORM: &str = "write requests per second, such as `50` or `0.125`, up to 4 million with up to three decimals";
    let rate = match value {
        Value::Integer(n) => *n as f64,
        Value::Float(x) => *x,
        other => return Err(format!("expected a number, found {}; {FORM}", other.kind())),
    };
    RequestRate::from_per_second(rate).ok_or_else(|| format!("{rate} cannot be kept; {FORM}"))
}

/// `name` parses a name with `try_new`, the checked constructor of its type.
pub(crate) fn name<T>(
    try_new: impl Fn(&str) -> shallothill_core::Result<T>,
) -> impl Fn(&Value) -> Result<T, String> {
    move |value| try_new(text(value)?).map_err(|e| e.to_string())
}

/// `health_path` parses a path that starts with `/` and contains only printable ASCII.
pub(crate) fn health_path(value: &Value) -> Result<String, String> {
    let path = text(value)?;
    let printable = path.chars().all(|c| c.is_ascii_graphic());
    if !path.starts_with('/') || !printable || path.len() > limits::PATH_MAX_BYTES {
        return Err(format!(
            "`{path}` is no path; start it with `/` and write it percent-encoded"
        ));
    }
    Ok(path.to_owned())
}
