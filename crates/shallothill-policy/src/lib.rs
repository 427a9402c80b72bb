//! Pure decisions on requests: pick, admit, detect, eject, retry, quarantine and drain.
