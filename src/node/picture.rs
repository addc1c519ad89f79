//! Reading the state service: first in whole, then by a watch, and at once
//! when somebody waits for it.

use super::*;

/// Between two reads of a sort on a whole core, at the least; on a part of one
/// accordingly longer.
const READ_CORE_MS: f64 = 6.0;

impl Node {
    pub(super) fn load_tick(&mut self) {
        let now = self.now.steady;
        if self.picture.loaded || self.load.is_some() || now < self.load_next {
            return;
        }
        self.load_next = now + 500;
        self.load = Some(vec![]);
        self.picture.restart();
        self.state(
            Call::LoadLead,
            "GET",
            format!("/kv?under={LEAD}&most=100"),
            vec![],
            STATE_MS,
        );
    }

    pub(super) fn load_jobs(&mut self, from: Option<&str>) {
        let from = from.map(|f| format!("&from={f}")).unwrap_or_default();
        self.state(
            Call::LoadJobs,
            "GET",
            format!("/kv?under={JOBS}{from}&most=500"),
            vec![],
            STATE_MS * 2,
        );
    }

    pub(super) fn loaded_page(&mut self, first: bool, outcome: &Outcome) {
        let page = match outcome {
            Outcome::Answer { status: 200, body } => wire::decode::<wire::Page>(body),
            _ => None,
        };
        let Some(page) = page else {
            self.load = None;
            self.load_next = self.now.steady + 300;
            return;
        };
        self.picture.page(&page);
        if first {
            // Changes since then are told by the watch, those in later pages
            // a second time.
            self.picture.rev = page.rev;
            self.load_jobs(None);
        } else if page.truncated {
            let last = page.pairs.last().map(|p| p.key.clone());
            self.load_jobs(last.as_deref());
        } else {
            self.load = None;
            self.picture.loaded = true;
            info!(
                "picture loaded at revision {}: {} jobs",
                self.picture.rev,
                self.picture.jobs.len()
            );
            if self.outdated() {
                self.format_changed();
            }
            self.lead_tick();
        }
    }

    pub(super) fn watch_path(&self, hold: u64) -> String {
        format!(
            "/watch?under={ROOT}&from={}&holdMs={hold}",
            self.picture.rev
        )
    }

    /// Between two reads of a sort that may have this share of the
    /// controller's requests.
    fn read_gap_ms(&self, share: f64) -> u64 {
        let n = (self.set.known.len() + 1) as f64;
        let c = &self.set.cluster;
        let gap = 1000.0 * n / (c.state.rps * share);
        gap.max(READ_CORE_MS / c.limits.cpu_share) as u64
    }

    pub(super) fn watch_tick(&mut self) {
        let now = self.now.steady;
        if !self.picture.loaded {
            return;
        }
        // While reads for users follow one another, they tell all that a watch
        // would, and a second copy of it is read for nothing.
        let told = now < self.barrier_next + self.read_gap_ms(USER_READS) / 2;
        if !self.watching && !told && now >= self.watch_next && self.requests.take(now, 1.0, 0.2) {
            self.watching = true;
            // Never more than so many a second, however much changes.
            self.watch_next = now + self.read_gap_ms(WATCH_READS);
            let from = self.picture.rev;
            let path = self.watch_path(WATCH_MS);
            self.state(
                Call::Watch {
                    from,
                    asked: self.asked(),
                },
                "GET",
                path,
                vec![],
                WATCH_MS + STATE_MS,
            );
        }
        if !self.barrier && now >= self.barrier_next && self.barrier_wanted() {
            if !self.requests.take(now, 1.0, 0.1) {
                return;
            }
            self.barrier = true;
            self.barrier_next = now + self.read_gap_ms(USER_READS);
            let from = self.picture.rev;
            let path = self.watch_path(0);
            let asked = self.asked();
            self.state(Call::Barrier { from, asked }, "GET", path, vec![], 1000);
        }
    }

    pub(super) fn barrier_wanted(&self) -> bool {
        self.seat.is_some()
            || self.users.values().any(|u| {
                matches!(u.stage, Stage::Fresh { after, rev }
                if self.fresh.is_none_or(|f| f.turn < after) || self.picture.rev < rev)
            })
    }

    pub(super) fn news(&mut self, outcome: &Outcome, from: u64, asked: Asked, barrier: bool) {
        let now = self.now.steady;
        match outcome {
            Outcome::Answer { status: 200, body } => {
                let Some(n) = wire::decode::<wire::News>(body) else {
                    warn!("a watch's answer can't be read");
                    return;
                };
                let format = self.format();
                let seen = self.picture.news(n.rev, from, &n.news);
                let newer = self.fresh.is_none_or(|f| f.turn < asked.turn);
                if newer && self.picture.rev >= n.rev {
                    self.fresh = Some(asked);
                }
                for s in seen {
                    match s {
                        Seen::Job(id) => {
                            if let (Some(c), Some(l)) =
                                (&mut self.control, self.picture.jobs.get(&id))
                            {
                                let deps = &self.picture.deps;
                                c.job_shown(&id, l, deps, l.record.at, now);
                            }
                        }
                        Seen::Gone(id) => {
                            if let Some(c) = &mut self.control {
                                c.job_gone(&id);
                            }
                        }
                        Seen::Leader => {
                            if self.lead.seen(&self.picture) {
                                self.step_down("the leader key is not ours any more");
                            }
                            self.lead_tick();
                        }
                    }
                }
                self.digest();
                if self.picture.format > format {
                    self.format_changed();
                }
                self.take_seat();
                self.users_fresh();
            }
            Outcome::Answer { status: 410, .. } => {
                warn!("the watch fell too far behind: reading everything again");
                self.picture.loaded = false;
                self.load_next = 0;
                if self.lead.epoch().is_some() {
                    self.resign("the picture has to be read again", 0);
                }
            }
            _ => {
                if barrier {
                    self.users_unserved();
                }
                self.watch_next = now + 200;
                self.barrier_next = now + 200;
            }
        }
    }
}
