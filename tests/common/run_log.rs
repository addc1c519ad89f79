//! The log of a run: a readable trace of its events, and the violations.

/// A readable trace of a run and the violations of the protocol in it.
#[derive(Default)]
pub(crate) struct RunLog {
    /// One line for each event, starting with the time in seconds.
    pub trace: Vec<String>,
    /// Descriptions of the rules that were broken.
    pub violations: Vec<String>,
}

impl RunLog {
    pub(super) fn trace_event(&mut self, now_ms: u64, text: &str) {
        let line = format!("{:7.2} {text}", now_ms as f64 / 1000.0);
        self.trace.push(line);
    }

    pub(super) fn violation(&mut self, text: impl Into<String>) {
        self.violations.push(text.into());
    }
}
