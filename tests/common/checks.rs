//! What must hold at the end of a run, and kept traces.

use super::sim::Sim;

impl Sim {
    /// Fails unless every accepted job is known on every controller.
    pub(crate) fn assert_known(&mut self) {
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

    /// Fails unless all jobs are done, and all job records closed, within this time.
    pub(crate) fn finish(&mut self, most_ms: u64) {
        assert!(
            self.until(most_ms, |sim| sim.all_done() && sim.settled()),
            "not done in {most_ms} ms:\n{}",
            self.trace_text()
        );
    }

    /// [`Sim::finish`], and nothing went wrong on the way: no rule was broken, and every job
    /// is known everywhere.
    pub(crate) fn finish_and_check(&mut self, most_ms: u64) {
        self.finish(most_ms);
        self.assert_sound();
        self.assert_known();
    }

    /// Whether every job record is closed.
    pub(crate) fn settled(&self) -> bool {
        !self.store.keys.keys().any(|key| key.starts_with("g/j/"))
    }

    /// Fails if a rule of the protocol was broken.
    pub(crate) fn assert_sound(&self) {
        assert!(
            self.log.violations.is_empty(),
            "{:?}\n{}",
            self.log.violations,
            self.trace_text()
        );
    }
}

/// Compares with a kept trace; `UPDATE_TRACES=1` writes it anew.
pub(crate) fn assert_kept_trace(name: &str, trace: &[String]) {
    let path = format!("{}/tests/traces/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = trace.join("\n") + "\n";
    if std::env::var_os("UPDATE_TRACES").is_some() {
        std::fs::write(&path, &text).expect("the trace can be written");
    }
    let kept = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(kept, text, "the trace differs from {path}");
}
