//! From the leader's mind to the planner's snapshot, and from its decision to
//! placements and rentals.

use super::*;

/// Machines that one request may rent.
const RENT_MAX: u64 = 50;
/// For how many fetches of its image an array passes over machines without it.
const PATIENCE_FETCHES: f64 = 1.0;
/// A run's numbers and separators in a record, and all of a record that is
/// not runs.
const RUN_BYTES: f64 = 26.0;
const REST_BYTES: f64 = 2000.0;
/// The least that a packed run takes, the numbers and marks that it may take beside a
/// name, and what a record's counters may grow by.
const PACKED_RUN_BYTES: f64 = 4.0;
const LONGEST_RUN_BYTES: usize = 16;
const COUNTERS_BYTES: usize = 40;

impl Control {
    /// Whether new work may go to a machine. It must have been heard with our
    /// token: a report that shows an older one may be a late copy of a machine
    /// that is gone, or come from one that our answers don't reach.
    pub(super) fn placeable(&self, m: &Machine, now: u64) -> bool {
        let quiet = Self::ms(self.cl.workers.report_s * self.op.silent_reports);
        let came = m.checked_in.or(m.up_since).unwrap_or(0).max(self.since);
        m.stays()
            && !matches!(m.listed, Listed::Failed | Listed::Gone)
            && m.heard.is_some()
            && m.epoch >= self.epoch
            && m.unheeded == 0
            && !m.unproven
            && self.silent_ms(m, now) <= quiet
            && now.saturating_sub(came) <= quiet
    }

    /// Room on a machine, everything counted that may be on it.
    pub(super) fn free(&self, m: &Machine) -> Room {
        let Some(f) = self.flavor(&m.flavor) else {
            return Room::default();
        };
        let mut free = cloud::room(f);
        for o in &m.on {
            free.sub(o.room);
        }
        for t in m.strays() {
            match self.jobs.get(&t.job) {
                Some(j) => free.sub(Room::of(&j.spec)),
                // Its size is not known any more: nothing fits beside it.
                None => free = Room::default(),
            }
        }
        free
    }

    pub(super) fn teams(&self) -> HashMap<String, TeamView> {
        let mut out: HashMap<String, TeamView> = self
            .cl
            .teams
            .iter()
            .map(|t| {
                (
                    t.name.clone(),
                    TeamView {
                        cpus_max: t.cpus_max,
                        gpus_max: t.gpus_max,
                        cpus_own: t.cpus,
                        gpus_own: t.gpus,
                        ..TeamView::default()
                    },
                )
            })
            .collect();
        for j in self.jobs.values() {
            let Some(t) = out.get_mut(&j.spec.team) else {
                continue;
            };
            let n = j.placed.len() as f64;
            t.cpus += j.spec.cpus * n;
            t.gpus += j.spec.gpus * n;
            if j.waits {
                continue;
            }
            let left = (u64::from(j.spec.tasks) - j.done.len()) as f64;
            t.ask_cpus += j.spec.cpus * left;
            t.ask_gpus += j.spec.gpus * left;
        }
        for m in self.fleet.values() {
            for t in m.strays() {
                let Some(j) = self.jobs.get(&t.job) else {
                    continue;
                };
                if let Some(team) = out.get_mut(&j.spec.team) {
                    team.cpus += j.spec.cpus;
                    team.gpus += j.spec.gpus;
                }
            }
        }
        out
    }

    /// Zones of the tasks that no record puts where they are, by job.
    fn stray_zones(&self) -> HashMap<&str, Vec<Arc<str>>> {
        let mut out: HashMap<&str, Vec<Arc<str>>> = HashMap::new();
        for m in self.fleet.values() {
            for t in m.strays() {
                out.entry(t.job.as_str()).or_default().push(m.zone.clone());
            }
        }
        out
    }

    /// Where a job's tasks are, with those that no record knows of, if its
    /// places depend on that.
    /// Nothing while one may be on a machine of which a successor knows no more
    /// than its name: it could be in any zone.
    fn zones_of(&self, j: &Job, strays: &HashMap<&str, Vec<Arc<str>>>) -> Option<Zones> {
        let mut zones = Zones::new();
        if !(j.spec.one_zone || j.spec.spread) {
            return Some(zones);
        }
        for p in &j.placed {
            let m = self.fleet.get(&*p.host).filter(|m| !m.zone.is_empty())?;
            *zones.entry(m.zone.clone()).or_insert(0) += 1;
        }
        for z in strays.get(&*j.id).into_iter().flatten() {
            *zones.entry(z.clone()).or_insert(0) += 1;
        }
        Some(zones)
    }

    /// Whether the planner may run: the picture is rebuilt as far as needed.
    /// Machines that were heard may have work without the cloud's list, so if
    /// that can't be had, the planner waits for a round of reports only; what is
    /// to be rented or given up waits for the list.
    pub fn ready(&self, now: u64) -> bool {
        let heard = now > self.since + Self::ms(self.cl.workers.report_s);
        !self.flavors.is_empty() && (self.listed_once || heard)
    }

    /// How many runs a record may hold: a run in JSON takes the name of its
    /// machine, three numbers and what is between them. Packed ones are as short as
    /// they happen to be; what fits is measured when it is placed.
    pub(super) fn runs_max(&self) -> usize {
        if self.format >= PACKED {
            return (self.cl.state.value_kb * 1024.0 / PACKED_RUN_BYTES) as usize;
        }
        let name = self.fleet.keys().map(String::len).max().unwrap_or(16);
        let run = name as f64 + RUN_BYTES;
        ((self.cl.state.value_kb * 1024.0 - REST_BYTES) / run).max(4.0) as usize
    }

    /// Jobs for spot machines that are worth an ordinary one: at the rate at
    /// which the machines that are there or on their way work off the queue,
    /// they would wait very long. With each, how many of its tasks: all
    /// together as many places as shorten the wait to what is bearable.
    pub(super) fn dear(&self, wall: u64) -> HashMap<Arc<str>, u32> {
        let mut tasks = 0.0;
        let mut work = 0.0;
        let mut need = Room::default();
        let mut queue = Vec::new();
        let jobs = self.jobs.values();
        for j in jobs.filter(|j| j.spec.spot && !j.cancelled && !j.waits) {
            let open = j.open() as f64;
            let n = open + j.placed.len() as f64;
            tasks += n;
            work += n * j.spec.expected_s;
            need.add(Room::of(&j.spec).scaled(n));
            if open > 0.0 {
                let left = j
                    .spec
                    .due_s
                    .map_or(f64::INFINITY, |d| d + (j.at as f64 - wall as f64) / 1000.0);
                queue.push((left - j.spec.expected_s, open, &j.id));
            }
        }
        if queue.is_empty() {
            return HashMap::new();
        }
        // How many tasks of the usual size the spot machines hold, with those
        // on their way, and what ordinary ones do meanwhile.
        let need = need.scaled(1.0 / tasks);
        let holds = |flavor: &str| {
            self.flavor(flavor)
                .map_or(0.0, |f| f64::from(cloud::room(f).times(need)))
        };
        let mut elsewhere = 0;
        let mut kinds: Vec<(&str, u32)> = Vec::new();
        for m in self.fleet.values() {
            if !m.spot {
                elsewhere += m.on.iter().filter(|o| o.spot).count();
            } else if m.leaving.is_none() && !matches!(m.listed, Listed::Failed | Listed::Gone) {
                match kinds.iter_mut().find(|k| *k.0 == *m.flavor) {
                    Some(k) => k.1 += 1,
                    None => kinds.push((&m.flavor, 1)),
                }
            }
        }
        let slots = elsewhere as f64
            + kinds
                .iter()
                .map(|(k, n)| holds(k) * f64::from(*n))
                .sum::<f64>()
            + self
                .bookings
                .iter()
                .filter(|b| b.kind.spot)
                .map(|b| holds(&b.kind.flavor) * b.count as f64)
                .sum::<f64>();
        let mean_s = work / tasks;
        let longest = self.op.dear_wait_boots * self.boot_s();
        queue.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut ahead = 0.0;
        let mut out = HashMap::new();
        let stuck = slots == 0.0 && self.spot_is_out();
        let all: f64 = queue.iter().map(|q| q.1).sum();
        let mut lack = (all * mean_s / longest - slots).ceil();
        for (_, open, id) in queue {
            ahead += open;
            if lack > 0.0 && (stuck || (slots > 0.0 && ahead / slots * mean_s > longest)) {
                let n = open.min(lack);
                lack -= n;
                out.insert(id.clone(), n as u32);
            }
        }
        out
    }

    /// Every kind of spot machine was refused lately.
    pub(super) fn spot_is_out(&self) -> bool {
        self.flavors.iter().all(|f| {
            f.halls.iter().all(|h| {
                self.blocked.contains_key(&Kind {
                    flavor: f.sku.clone(),
                    zone: h.clone(),
                    spot: true,
                })
            })
        })
    }

    /// Ordinary machines to hold ready for work that spot machines must not
    /// take, by how often such work came lately; and what of that is missing.
    pub(super) fn kept(&self, now: u64) -> (HashSet<Arc<str>>, Vec<Need>) {
        let mut kept = HashSet::new();
        let mut missing = Vec::new();
        let boot = self.boot_s();
        for c in self.arrivals.values() {
            let rate = c.rate(now, boot);
            let want = (rate * boot * self.op.reserve_boots).round() as usize;
            let need = Room::of(&c.spec);
            if want == 0 {
                continue;
            }
            let holds = |m: &Machine| {
                let f = self.flavor(&m.flavor);
                f.map_or(0, |f| cloud::room(f).times(need) as usize)
            };
            let mut able: Vec<(usize, &Machine)> = self
                .fleet
                .values()
                .filter(|m| {
                    !m.spot
                        && m.leaving.is_none()
                        && m.on.iter().all(|o| o.spot)
                        && plan::allowed(&c.spec, &m.flavor, &m.zone, false)
                        && holds(m) > 0
                        && !kept.contains(&m.name)
                })
                .map(|m| (m.images.len(), m))
                .collect();
            // The more images are there already, the sooner work begins.
            able.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.name.cmp(&b.1.name)));
            let mut there = 0;
            for (_, m) in able {
                if there >= want {
                    break;
                }
                there += holds(m);
                kept.insert(m.name.clone());
            }
            if want > there {
                missing.push(Need {
                    spec: c.spec.clone(),
                    count: (want - there) as u32,
                    zones: Zones::new(),
                    dear: 0.0,
                });
            }
        }
        (kept, missing)
    }

    pub(super) fn boot_s(&self) -> f64 {
        self.flavors.iter().map(|f| f.boot_s).fold(1.0, f64::max)
    }

    /// When a job should start to meet the next of the aims that the settings
    /// state for its class. Estimates are rough: half a run time late is not
    /// yet lost.
    pub(super) fn start_by(&self, j: &Job, now_s: f64) -> Option<f64> {
        let at = j.at as f64 / 1000.0;
        let ready = j.ready_at as f64 / 1000.0;
        let run = j.spec.expected_s;
        let mut aims: Vec<(f64, f64)> = Vec::new();
        if let Some(d) = j.spec.due_s {
            aims.push((at + d - run, run / 2.0));
        }
        if let Some(d) = j.due_at {
            aims.push((d - run, run / 2.0));
        }
        for o in &self.cl.objectives {
            if o.class.as_ref().is_some_and(|c| *c != j.spec.class) {
                continue;
            }
            match (o.kind.as_str(), o.within_s, j.spec.due_s) {
                ("wait", Some(w), _) => aims.push((ready + w, 0.0)),
                ("finished", Some(w), _) => aims.push((ready + w - run, run / 2.0)),
                ("deadline", _, Some(d)) => {
                    aims.push((at + d * o.times.unwrap_or(1.0) - run, run / 2.0));
                }
                _ => {}
            }
        }
        if aims.is_empty() {
            // No aim is stated: first come, first served among the others.
            return Some(ready + self.boot_s());
        }
        aims.into_iter()
            .filter(|a| a.0 + a.1 >= now_s)
            .map(|a| a.0)
            .min_by(f64::total_cmp)
    }

    /// One copy of a name that many machines have.
    fn shared(&self, name: &Arc<str>) -> Arc<str> {
        let known = self.names.iter().find(|n| *n == name);
        known.unwrap_or(name).clone()
    }

    /// What the planner sees of a machine.
    fn view(&self, m: &Machine, f: &Flavor, ago: impl Fn(u64) -> f64) -> MachineView {
        let tasks: Vec<TaskView> =
            m.on.iter()
                .filter_map(|o| {
                    let (j, p) = self.behind(o)?;
                    let saves = j.spec.checkpoint_s > 0.0;
                    Some(TaskView {
                        job: o.job.clone(),
                        task: o.task,
                        room: o.room,
                        urgency: j.spec.urgency,
                        team: j.spec.team.as_str().into(),
                        stoppable: p.stop.is_none(),
                        cost_s: if saves { j.spec.save_s } else { 1.0 },
                        since_s: p.running_since.filter(|_| !saves).map(&ago),
                    })
                })
                .collect();
        // What is being fetched for one task serves the next, too.
        let mut images: Vec<Arc<str>> = m.images.iter().map(|i| i.0.clone()).collect();
        for o in &m.on {
            if let Some(j) = self.jobs.get(&*o.job) {
                if !images.iter().any(|i| **i == *j.spec.image) {
                    images.push(j.spec.image.as_str().into());
                }
            }
        }
        MachineView {
            name: m.name.clone(),
            flavor: self.shared(&m.flavor),
            zone: self.shared(&m.zone),
            spot: m.spot,
            total: cloud::room(f),
            free: self.free(m),
            images,
            fetch: f.fetch,
            lowest: plan::lowest(&tasks),
            tasks,
            held: m.held.clone(),
        }
    }

    /// A gang that has lost a member, or is being stopped, takes no part until
    /// all its places are proven empty. What it will lack then is looked for
    /// now, and the room that its others leave is not given back meanwhile: one
    /// machine that falls silent would else empty all the others of its gang,
    /// just to rent them anew.
    fn broken(&self, j: &Job, leaving: &HashSet<&str>, now: u64, now_s: f64) -> Option<JobView> {
        // Silence alone says nothing: it may be ours.
        let sound = |p: &&Placed| p.stop.is_none() && !leaving.contains(&*p.host);
        let whole = j.placed.len() == j.spec.tasks as usize;
        if j.cancelled || (whole && j.placed.iter().all(|p| sound(&p))) {
            return None;
        }
        let mut zones = Zones::new();
        let mut there = HashSet::new();
        for p in j.placed.iter().filter(sound) {
            if let Some(m) = self.fleet.get(&*p.host) {
                *zones.entry(m.zone.clone()).or_insert(0) += 1;
                there.insert(p.task);
            }
        }
        let want: Vec<u32> = (0..j.spec.tasks).filter(|t| !there.contains(t)).collect();
        (!want.is_empty()).then(|| JobView {
            broken: true,
            ..self.job_view(j, want, zones, now, now_s)
        })
    }

    /// What the planner sees of a job that has nothing special about it.
    fn job_view(&self, j: &Job, want: Vec<u32>, zones: Zones, now: u64, now_s: f64) -> JobView {
        JobView {
            id: j.id.clone(),
            spec: j.spec.clone(),
            want,
            at_s: j.ready_at as f64 / 1000.0,
            start_by: self.start_by(j, now_s),
            zones,
            shun: self.shunned(j, now),
            resting: false,
            broken: false,
            overdue: false,
            patient: false,
        }
    }

    /// Machines that a job is not tried on again, as it failed there. The faulty
    /// ones are given back meanwhile, and for its own fault it rests: after that
    /// it must not wait beside machines with room.
    fn shunned(&self, j: &Job, now: u64) -> HashSet<Arc<str>> {
        if now > j.rest_until + Self::ms(self.cl.workers.lease_s) {
            return HashSet::new();
        }
        j.shun.clone()
    }

    /// How long an array waits for machines that have its image.
    fn patience_ms(&self, j: &Job) -> u64 {
        let rates = self.flavors.iter().map(|f| f.fetch);
        let slowest = rates.fold(f64::INFINITY, f64::min).max(0.01);
        Self::ms(PATIENCE_FETCHES * j.spec.image_gb / slowest)
    }

    /// `wall` is the time of day in milliseconds, as job records hold it.
    pub fn snapshot(&mut self, now: u64, wall: u64) -> Snapshot {
        self.dirty = false;
        if std::mem::take(&mut self.woken) {
            for j in self.jobs.values_mut() {
                j.miss_until = 0;
            }
        }
        let now_s = wall as f64 / 1000.0;
        let ago = |t: u64| now_s - now.saturating_sub(t) as f64 / 1000.0;
        let mut machines = Vec::with_capacity(self.fleet.len());
        let mut fresh = Vec::new();
        for m in self.fleet.values_mut() {
            m.look_for_strays();
        }
        // Machines that no gang may count on: few.
        let mut leaving: HashSet<&str> = HashSet::new();
        for (n, m) in &self.fleet {
            if !m.stays() {
                leaving.insert(n);
            }
            if !self.placeable(m, now) {
                continue;
            }
            if let Some(v) = &m.view {
                machines.push(v.clone());
            } else if let Some(f) = self.flavor(&m.flavor) {
                let v = Arc::new(self.view(m, f, ago));
                fresh.push((n.clone(), v.clone()));
                machines.push(v);
            }
        }
        let runs_max = self.runs_max();
        let strays = self.stray_zones();
        let mut jobs = Vec::new();
        for j in self.jobs.values() {
            let gang = j.spec.shape == Shape::Gang;
            if gang && !j.placed.is_empty() {
                // Still there in part: the whole of it goes, then starts anew.
                jobs.extend(self.broken(j, &leaving, now, now_s));
                continue;
            }
            let mut want = j.want(if gang {
                j.spec.tasks as usize
            } else {
                WANT_MAX.min(runs_max.saturating_sub(j.placed.len() + j.done.0.len() / 2))
            });
            if want.is_empty() {
                continue;
            }
            let overdue = j.placed.is_empty()
                && j.done.is_empty()
                && now_s
                    > j.ready_at as f64 / 1000.0
                        + (OVERTAKEN_BOOTS * self.boot_s()).min(OVERTAKEN_MAX_S);
            if overdue && !gang {
                // Its turn is to begin, not to push all others aside.
                want.truncate(j.spec.tasks.div_ceil(TURN_PART) as usize);
            }
            let Some(zones) = self.zones_of(j, &strays) else {
                continue;
            };
            jobs.push(JobView {
                resting: now < j.rest_until.max(j.miss_until),
                overdue,
                patient: !overdue && j.passed_at.is_none_or(|t| now <= t + self.patience_ms(j)),
                ..self.job_view(j, want, zones, now, now_s)
            });
        }
        self.waiting = !jobs.is_empty();
        for (n, v) in fresh {
            if let Some(m) = self.fleet.get_mut(&n) {
                m.view = Some(v);
            }
        }
        Snapshot {
            machines,
            jobs,
            teams: self.teams(),
            now_s,
            spot_worth_s: self.cl.workers.lease_s,
        }
    }

    /// Carries out what was planned, as far as it still holds.
    /// `calls`: how many rentals may be asked for now.
    pub fn apply(&mut self, d: Decision, calls: usize, now: u64, wall: u64) {
        let mut teams = self.teams();
        for p in d.places {
            self.place(&p, &mut teams, now);
        }
        for s in &d.stops {
            info!("{}/{} makes room for {}", s.job, s.task, s.by);
            self.stop_saving(&s.job, s.task, now);
        }
        for h in d.holds {
            let Some(j) = self.jobs.get_mut(&*h.job) else {
                continue;
            };
            if let Some(m) = self.fleet.get_mut(&*h.host) {
                m.held.push(HeldView {
                    job: h.job,
                    room: h.room,
                    urgency: j.spec.urgency,
                });
                m.idle_since = None;
                m.view = None;
                j.holds.insert(h.host);
                j.held_at = now;
            }
        }
        for id in &d.failed {
            let max = self.op.backoff_max_s;
            if let Some(j) = self.jobs.get_mut(&**id) {
                // The KEP's standard backoff: from a second on it doubles up
                // to a cap.
                j.misses = (j.misses + 1).min(8);
                let wait = f64::from(1u32 << (j.misses - 1)).min(max);
                j.miss_until = now + Self::ms(wait);
            }
        }
        for id in &d.passed {
            if let Some(j) = self.jobs.get_mut(&**id) {
                j.passed_at.get_or_insert(now);
            }
        }
        for h in d.unmet.iter().flat_map(|u| &u.hosts) {
            if let Some(m) = self.fleet.get_mut(&**h) {
                m.wanted = now;
            }
        }
        self.buy(&d.unmet, calls, now, wall);
    }

    /// Whether a job's record has room for these places, too, whatever of it ends
    /// first. Nothing is measured where there is room for the worst beside the longest
    /// lists that a submission may have, or the form of records allows for it in advance
    /// (`runs_max`).
    fn fits_record(&self, j: &Job, more: &[(u32, Arc<str>)]) -> bool {
        // Before the limits fall, too: a record stored by then has to be written again, if
        // only because its job is cancelled.
        let most = (self.cl.state.lowered().value_kb * 1024.0) as usize;
        let names = more.iter().map(|x| x.1.len()).max().unwrap_or(0);
        let placed = j.placed.len() + more.len();
        let falls = self.format >= PACKED || self.cl.state.next.is_some();
        if !falls || (placed + 40) * (names + LONGEST_RUN_BYTES) < most / 4 {
            return true;
        }
        let mut record = j.record(self.epoch);
        let mut more: Vec<&(u32, Arc<str>)> = more.iter().collect();
        more.sort_unstable();
        for (task, host) in more {
            let run = Run(*task, 1, j.next, host.to_string());
            record.runs.push(run);
        }
        record.runs.sort_by_key(|r| r.0);
        // Ends scattered over the row, and counters that grow.
        let ends = (j.spec.tasks as usize / 4).min(LONGEST_RUN_BYTES * placed);
        json_len(&record.to_value(PACKED)) + ends + COUNTERS_BYTES <= most
    }

    pub(super) fn place(
        &mut self,
        p: &plan::Place,
        teams: &mut HashMap<String, TeamView>,
        now: u64,
    ) {
        let Some(j) = self.jobs.get(&*p.job) else {
            return;
        };
        let gang = j.spec.shape == Shape::Gang;
        if j.cancelled || j.waits || (gang && !j.placed.is_empty()) {
            return;
        }
        let need = Room::of(&j.spec);
        let mut left: HashMap<&str, Room> = HashMap::new();
        let before = teams.get(&j.spec.team).cloned().unwrap_or_default();
        let mut team = before.clone();
        let mut ok: Vec<(u32, Arc<str>)> = Vec::new();
        for (task, host) in &p.tasks {
            let fits = self.fleet.get(&**host).is_some_and(|m| {
                self.placeable(m, now) && plan::allowed(&j.spec, &m.flavor, &m.zone, m.spot) && {
                    let free = left.entry(host).or_insert_with(|| self.free(m));
                    let f = free.fits(need);
                    if f {
                        free.sub(need);
                    }
                    f
                }
            });
            let new = !j.done.contains(*task) && !j.placed.iter().any(|x| x.task == *task);
            let room = team.room_for(need);
            if fits && new && room {
                team.grow(need);
                ok.push((*task, host.clone()));
            } else if gang {
                return;
            }
        }
        // As many as its record holds.
        while !ok.is_empty() && !self.fits_record(j, &ok) {
            if gang {
                return;
            }
            ok.truncate(ok.len() * 3 / 4);
            team = before.clone();
            ok.iter().for_each(|_| team.grow(need));
        }
        if ok.is_empty() {
            return;
        }
        teams.insert(j.spec.team.clone(), team);
        self.drop_holds(&p.job);
        let Some(j) = self.jobs.get_mut(&*p.job) else {
            return;
        };
        j.misses = 0;
        j.placed_at = now;
        j.passed_at = None;
        let attempt = j.next;
        j.next += 1;
        let ver = j.touch(now);
        j.prompt = ver;
        debug!("placing {} attempt {attempt}: {ok:?}", p.job);
        for (task, host) in ok {
            self.put_on(&p.job, Placed::new(task, attempt, host, ver, now), now);
        }
    }

    /// Rents what is missing. What the calls don't suffice for is not kept:
    /// the next plan knows better what is missing then.
    pub(super) fn buy(&mut self, unmet: &[plan::Unmet], calls: usize, now: u64, wall: u64) {
        // What an earlier leader rented last is not on the list yet, and would
        // be rented again.
        let settled = self.epoch <= 1 || now >= self.since + Self::ms(self.cl.cloud.list_lag_s);
        if calls == 0 || !settled || !self.listed_once {
            return;
        }
        let mut needs = Vec::new();
        let dear = self.dear(wall);
        for u in unmet {
            let Some(j) = self.jobs.get(&*u.job) else {
                continue;
            };
            if j.cancelled {
                continue;
            }
            let dear_count = dear.get(&u.job).map_or(0, |n| u.count.min(*n));
            let parts = [
                (dear_count, self.op.dear_times),
                (u.count - dear_count, 0.0),
            ];
            for (count, dear) in parts.into_iter().filter(|p| p.0 > 0) {
                needs.push(Need {
                    spec: j.spec.clone(),
                    count,
                    zones: u.zones.clone(),
                    dear,
                });
            }
        }
        needs.extend(self.kept(now).1);
        // What can't go on spot machines is hard to place, and first. Then what
        // ordinary ones are rented for, or those on their way for it would
        // count for others and be rented again by the next plan.
        needs.sort_by_key(|n| (n.spec.spot, n.dear == 0.0));
        if needs.is_empty() {
            return;
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            let mut sums: BTreeMap<(&str, bool), u32> = BTreeMap::new();
            for n in &needs {
                *sums.entry((&n.spec.class, n.dear > 0.0)).or_default() += n.count;
            }
            debug!("tasks to find machines for, by class and whether dear: {sums:?}");
        }
        let mut coming: HashMap<Kind, u64> = HashMap::new();
        for m in self.fleet.values() {
            if m.heard.is_some() && m.epoch >= self.epoch {
                continue;
            }
            // One that takes far longer than usual may never come up: another
            // is rented in its stead, and the one that comes late given back.
            let late = self
                .flavor(&m.flavor)
                .is_some_and(|f| now > m.known_since + Self::ms(LATE_BOOTS * f.boot_s));
            // One that was heard but does not have our token yet comes, too.
            let fresh = m.on.is_empty() && m.reclaim_at.is_none();
            let starting = m.leaving.is_none()
                && if m.heard.is_none() {
                    !late
                } else {
                    fresh && m.unheeded == 0
                }
                && !matches!(m.listed, Listed::Failed | Listed::Gone);
            if starting {
                let kind = Kind {
                    flavor: m.flavor.to_string(),
                    zone: m.zone.to_string(),
                    spot: m.spot,
                };
                *coming.entry(kind).or_insert(0) += 1;
            }
        }
        for b in &self.bookings {
            *coming.entry(b.kind.clone()).or_insert(0) += b.count;
        }
        let mut coming: Vec<Coming> = coming
            .into_iter()
            .map(|(kind, count)| Coming { kind, count })
            .collect();
        coming.sort_by(|a, b| {
            let key = |c: &Coming| (!c.kind.spot, c.kind.flavor.clone(), c.kind.zone.clone());
            key(a).cmp(&key(b))
        });
        let blocked = |k: &Kind| self.blocked.get(k).is_some_and(|t| now < *t);
        // As many as the calls of a second may bring.
        let most = RENT_MAX * (self.cl.cloud.rps as u64).max(1);
        let list = cloud::shop(&needs, coming, &self.flavors, &blocked, most);
        let mut left = calls;
        for (kind, mut count) in list {
            while count > 0 && left > 0 {
                left -= 1;
                let part = count.min(RENT_MAX);
                count -= part;
                let name = format!("{}-{}-{}", self.me, self.epoch, self.next_booking);
                self.next_booking += 1;
                self.bookings.push(Booking {
                    name,
                    kind: kind.clone(),
                    count: part,
                    next_try: now,
                    flying: false,
                    tries: 0,
                });
            }
        }
        self.book(now);
    }

    /// Everything that a report might be about, for the log.
    pub fn summary(&self) -> String {
        let placed: usize = self.jobs.values().map(|j| j.placed.len()).sum();
        let up = self.fleet.values().filter(|m| m.heard.is_some()).count();
        format!(
            "epoch {}: {} jobs, {} tasks placed, {} machines ({} up)",
            self.epoch,
            self.jobs.len(),
            placed,
            self.fleet.len(),
            up
        )
    }
}
