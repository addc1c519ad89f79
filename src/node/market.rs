//! The cloud's kinds and machines.

use super::*;

/// Most machines that a page of the list holds.
const LIST_MAX: u64 = 500;

impl Node {
    pub(super) fn flavors_tick(&mut self) {
        let now = self.now.steady;
        if now < self.flavors_next {
            return;
        }
        self.flavors_next = now + 2000;
        if self.cloud.take(now, 1.0, 0.2) {
            let to = self.set.endpoints.cloud;
            self.call(Call::Flavors, to, "GET", "/flavors".into(), vec![], 4000);
        }
    }

    pub(super) fn list_tick(&mut self) {
        let now = self.now.steady;
        if self.control.is_none() || self.listing.is_some() || now < self.list_next {
            return;
        }
        let lag = (self.set.cluster.cloud.list_lag_s * 1000.0) as u64;
        // A long list costs calls and time, and tells little that reports
        // don't: the longer, the rarer.
        let pages = self.list_pages.max(1);
        self.list_next = now + (lag / 2).max(2000) * pages;
        if self.cloud.take(now, 1.0, 0.3) {
            self.list_started = now;
            self.listing = Some(vec![]);
            self.list_ask(None);
        }
    }

    pub(super) fn list_ask(&mut self, from: Option<&str>) {
        let epoch = self.control.as_ref().map_or(0, |c| c.epoch);
        let from = from.map(|f| format!("from={f}&")).unwrap_or_default();
        let to = self.set.endpoints.cloud;
        let sent = self.list_started;
        self.call(
            Call::List { sent, epoch },
            to,
            "GET",
            format!("/machines?{from}most={LIST_MAX}"),
            vec![],
            4000,
        );
    }

    pub(super) fn list_page(&mut self, sent: u64, epoch: u64, outcome: &Outcome) {
        let now = self.now.steady;
        let Some(c) = self.control.as_mut().filter(|c| c.epoch == epoch) else {
            self.listing = None;
            return;
        };
        let page = match outcome {
            Outcome::Answer { status: 200, body } => wire::decode::<wire::Listing>(body),
            _ => None,
        };
        let Some(page) = page else {
            self.listing = None;
            self.list_next = now + 1000;
            return;
        };
        let mut all = self.listing.take().unwrap_or_default();
        all.extend(page.hosts);
        if page.truncated {
            let last = all.last().map(|l| l.name.clone());
            self.listing = Some(all);
            self.list_ask(last.as_deref());
        } else {
            self.list_pages = 1 + all.len() as u64 / LIST_MAX;
            c.listed(&all, sent, now);
        }
    }
}
