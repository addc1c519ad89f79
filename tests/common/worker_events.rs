//! What workers do, and what they must not be told to do.

use gaugesill::wire::{self, Command, CommandBatch};
use prost::Message;
use std::collections::{BTreeMap, HashMap};

use super::messages::*;
use super::sim::*;
use super::worker::*;

impl Sim {
    pub(super) fn worker_answer(
        &mut self,
        machine: &str,
        serial: u64,
        from: usize,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        if self.hung.contains_key(machine) {
            return;
        }
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        let Some((s, sent)) = w.waiting else { return };
        if s != serial {
            return;
        }
        w.waiting = None;
        match status {
            200 => {
                let o: CommandBatch = wire::decode(body).expect("orders");
                if o.epoch < w.epoch {
                    return;
                }
                w.acked = sent;
                self.commands(machine, o);
            }
            421 => {
                let e: Option<wire::Redirect> = wire::decode(body);
                let to = e.and_then(|e| e.reports_to);
                match to.and_then(|t| t[1..].parse::<usize>().ok()) {
                    Some(t) if t != from => {
                        w.to = t;
                        w.next = now + 100;
                    }
                    _ => {
                        w.to = (from + 1) % 3;
                        w.next = now + 1000;
                    }
                }
            }
            _ => {
                w.to = (from + 1) % 3;
                w.next = now + 1000;
            }
        }
    }

    pub(super) fn commands(&mut self, machine: &str, o: CommandBatch) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(machine) {
            if o.epoch > w.epoch {
                w.epoch = o.epoch;
                w.changed = true;
            }
        }
        for Command {
            verb,
            task,
            attempt,
            ..
        } in o.commands
        {
            match verb.as_str() {
                "start" => self.start(machine, &task, attempt),
                "stop" => {
                    let Some(w) = self.workers.get_mut(machine) else {
                        continue;
                    };
                    for t in w.tasks.iter_mut() {
                        if t.name == task && t.attempt == attempt && t.state != "ended" {
                            t.state = "ended";
                            t.cause = Some("stopped");
                            w.changed = true;
                            self.trace.push(format!(
                                "{:7.2} {task} try {attempt} stopped on {machine}",
                                now as f64 / 1000.0
                            ));
                        }
                    }
                }
                _ => {
                    if let Some(w) = self.workers.get_mut(machine) {
                        w.tasks.retain(|t| {
                            t.name != task || t.attempt != attempt || t.state != "ended"
                        });
                    }
                }
            }
        }
    }

    pub(super) fn start(&mut self, machine: &str, task: &str, attempt: u64) {
        let now = self.now;
        if self.workers[machine]
            .tasks
            .iter()
            .any(|t| t.name == task && t.attempt == attempt)
        {
            return;
        }
        self.note(format!("{task} try {attempt} starts on {machine}"));
        for (h, w) in &self.workers {
            if w.tasks.iter().any(|t| t.name == task && t.state != "ended") {
                self.broken
                    .push(format!("ran_twice: {task} on {h} and {machine} at {now}"));
            }
        }
        let (id, _) = task.rsplit_once('/').expect("a task's name");
        let Some(j) = self.jobs.get(id) else {
            self.broken.push(format!("invented: {task}"));
            return;
        };
        if j.cancelled_at.is_some_and(|t| now > t + 60_000) {
            self.broken.push(format!("ran_cancelled: {task} started"));
        }
        let undone = |n: &&String| {
            self.jobs
                .get(*n)
                .is_none_or(|x| x.done.len() < x.tasks as usize)
        };
        if let Some(n) = j.dependencies.iter().find(undone) {
            self.broken.push(format!("too_early: {task} before {n}"));
        }
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for (h, w) in &self.workers {
            let of_job =
                |t: &&OnWorker| t.state != "ended" && t.name.starts_with(&format!("{id}/"));
            let n = w.tasks.iter().filter(of_job).count() + usize::from(h == machine);
            if let Some(m) = self.cloud.machines.get(h).filter(|_| n > 0) {
                *zones.entry(&m.zone).or_insert(0) += n as u32;
            }
        }
        let most = zones.values().max().copied().unwrap_or(0);
        if (j.single_zone && zones.len() > 1) || (j.spread && most > j.tasks.div_ceil(2)) {
            self.broken
                .push(format!("wrong_place: {task} in {zones:?}"));
        }
        if let Some(j) = self.jobs.get_mut(id) {
            j.begun.get_or_insert(now);
        }
        let pull = self.slow_pull.get(machine).copied().unwrap_or(1000);
        if let Some(w) = self.workers.get_mut(machine) {
            w.tasks.push(OnWorker {
                name: task.into(),
                attempt,
                state: "pulling",
                cause: None,
                until: now + pull,
            });
            w.changed = true;
        }
        let cpus = |w: &Worker| -> f64 {
            w.tasks
                .iter()
                .filter(|t| t.state != "ended")
                .filter_map(|t| self.jobs.get(t.name.rsplit_once('/')?.0))
                .map(|j| j.cpus)
                .sum()
        };
        let all: f64 = self.workers.values().map(cpus).sum();
        if cpus(&self.workers[machine]) > 8.0 {
            self.broken.push(format!("too much on {machine}"));
        }
        if self.team_cores > 0.0 && all > self.team_cores {
            self.broken.push(format!("quota: {all} cores"));
        }
    }

    pub(super) fn tick_workers(&mut self) {
        let now = self.now;
        for (name, m) in &self.cloud.machines {
            if now >= m.up_at && !self.workers.contains_key(name) {
                self.workers.insert(
                    name.clone(),
                    Worker {
                        machine: name.clone(),
                        session: 1,
                        serial: 0,
                        epoch: 0,
                        tasks: vec![],
                        to: 0,
                        waiting: None,
                        acked: now,
                        next: now,
                        changed: false,
                        killed: 0,
                    },
                );
            }
        }
        let machines = &self.cloud.machines;
        self.workers.retain(|n, _| machines.contains_key(n));
        // Gangs begin once all of them wait under one attempt.
        let mut waiting: HashMap<(String, u64), u32> = HashMap::new();
        for w in self.workers.values() {
            for t in w.tasks.iter().filter(|t| t.state == "gathering") {
                let id = t.name.rsplit_once('/').expect("name").0.to_string();
                *waiting.entry((id, t.attempt)).or_insert(0) += 1;
            }
        }
        // A running gang that lost a task notices within `gang_peer_s`.
        let mut running: HashMap<(String, u64), u32> = HashMap::new();
        for w in self.workers.values() {
            for t in w.tasks.iter().filter(|t| t.state == "running") {
                let id = t.name.rsplit_once('/').expect("name").0.to_string();
                *running.entry((id, t.attempt)).or_insert(0) += 1;
            }
        }
        running.retain(|(id, _), n| self.jobs.get(id).is_some_and(|j| j.gang && *n < j.tasks));
        self.torn.retain(|k, _| running.contains_key(k));
        for k in running.into_keys() {
            self.torn.entry(k).or_insert(now);
        }
        let mut out = Vec::new();
        for w in self.workers.values_mut() {
            if self.hung.contains_key(&w.machine) {
                // Its tasks stand still, too, and count as there.
                for t in w.tasks.iter_mut().filter(|t| t.state != "ended") {
                    t.until += 10;
                    let (id, _) = t.name.rsplit_once('/').expect("name");
                    let cancelled = self.jobs.get(id).and_then(|j| j.cancelled_at);
                    if cancelled.is_some_and(|c| now > c + 60_000) {
                        self.broken.push(format!("ran_cancelled: {}", t.name));
                    }
                }
                continue;
            }
            if now > w.acked + 36_000 {
                w.killed += w.tasks.iter().filter(|t| t.state != "ended").count() as u64;
                w.tasks.clear();
                w.session += 1;
                w.acked = now;
                w.changed = true;
                w.waiting = None;
            }
            for t in w.tasks.iter_mut() {
                let (id, n) = t.name.rsplit_once('/').expect("name");
                let Some(j) = self.jobs.get_mut(id) else {
                    continue;
                };
                if j.cancelled_at.is_some_and(|c| now > c + 60_000) && t.state != "ended" {
                    self.broken.push(format!("ran_cancelled: {}", t.name));
                }
                let torn = self.torn.get(&(id.to_string(), t.attempt));
                match t.state {
                    "running" if torn.is_some_and(|since| now >= since + 4000) => {
                        t.state = "ended";
                        t.cause = Some("mates_gone");
                        w.changed = true;
                    }
                    "pulling" if now >= t.until => {
                        t.state = if j.gang { "gathering" } else { "running" };
                        t.until = now + j.run_ms;
                        w.changed = true;
                    }
                    "gathering" if waiting.get(&(id.to_string(), t.attempt)) == Some(&j.tasks) => {
                        t.state = "running";
                        t.until = now + j.run_ms;
                        w.changed = true;
                    }
                    // `gang_wait_s` is 35.
                    "gathering" if now >= t.until - j.run_ms + 35_000 => {
                        t.state = "ended";
                        t.cause = Some("alone");
                        w.changed = true;
                    }
                    "running" if now >= t.until => {
                        t.state = "ended";
                        t.cause = Some("done");
                        if j.gang {
                            // They complete together.
                            j.done = (0..j.tasks).collect();
                        }
                        j.done.insert(n.parse().expect("a number"));
                        w.changed = true;
                    }
                    _ => {}
                }
            }
            if let Some((_, sent)) = w.waiting {
                if now > sent + 4000 {
                    w.waiting = None;
                    w.to = (w.to + 1) % 3;
                    w.next = now + 1000;
                }
            }
            let due = now >= w.next || (w.changed && now >= w.next.saturating_sub(2500));
            if w.waiting.is_none() && due {
                w.changed = false;
                w.next = now + 3000;
                let r = w.report(&machines[&w.machine]);
                w.waiting = Some((r.serial, now));
                out.push(Msg::Checkin {
                    machine: w.machine.clone(),
                    serial: r.serial,
                    to: w.to,
                    body: wire::encode(&r),
                    copy: false,
                });
            }
        }
        for m in out {
            self.send(1, m);
        }
    }
}
