//! Checks at the end of a run, and the comparison with stored traces.

use super::sim::Sim;

impl Sim {
    /// Fails unless every controller answers 200 to a poll of every submitted job.
    pub(crate) fn assert_all_jobs_known(&mut self) {
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            for controller in 0..self.controllers.len() {
                let slot = self.poll(controller, &id);
                self.run(300);
                let code = self.answer(slot).map(|reply| reply.code);
                let trace = self.trace_text();
                assert_eq!(code, Some(200), "{id} on c{controller}\n{trace}");
            }
        }
    }

    /// Whether every job is done or cancelled.
    pub(crate) fn all_done(&self) -> bool {
        let mut jobs = self.jobs.iter();
        jobs.all(|(id, job)| job.is_done() || self.is_cancelled(id))
    }

    /// Fails unless all jobs are done or cancelled, and all job records are closed, within
    /// `max_ms`.
    pub(crate) fn finish(&mut self, max_ms: u64) {
        assert!(
            self.run_until(max_ms, |sim| sim.all_done() && sim.all_records_closed()),
            "jobs not done, or records open, after {max_ms} ms:\n{}",
            self.trace_text()
        );
    }

    /// [`Sim::finish`], and checks that no rule of the protocol was broken and that every
    /// controller knows every job.
    pub(crate) fn finish_and_check(&mut self, max_ms: u64) {
        self.finish(max_ms);
        self.assert_no_violations();
        self.assert_all_jobs_known();
    }

    /// Whether every job record is closed.
    pub(crate) fn all_records_closed(&self) -> bool {
        !self.store.keys.keys().any(|key| key.starts_with("g/j/"))
    }

    /// Fails if a rule of the protocol was broken.
    pub(crate) fn assert_no_violations(&self) {
        assert!(
            self.log.violations.is_empty(),
            "{:?}\n{}",
            self.log.violations,
            self.trace_text()
        );
    }
}

/// Compares a trace with the stored one; `UPDATE_TRACES=1` overwrites the stored trace.
pub(crate) fn assert_kept_trace(name: &str, trace: &[String]) {
    let path = format!("{}/tests/traces/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = trace.join("\n") + "\n";
    if std::env::var_os("UPDATE_TRACES").is_some() {
        std::fs::write(&path, &text).expect("the trace can be written");
    }
    let stored = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(stored, text, "the trace differs from {path}");
}
