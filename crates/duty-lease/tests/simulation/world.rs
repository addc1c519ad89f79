//! Controllers, the store and the provider on one simulated clock.

use std::collections::BTreeMap;

use duty_lease::{
    Duty, DutyLease, Intent, LeaseEvent, LeaseRequest, LeaseResponse, LeaseTiming, LeaseView,
    Order, OrderBook, OrderId, OrderOutcome, OrderRequest, OrderResult, RecordOutcome,
    ScalingRequest, Token, WriteGuard,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::checker::{Event, History};
use crate::provider::{Fence, Provider};
use crate::store::{Store, Transaction, TransactionOutcome, Value, Write};

pub const TTL_MS: u64 = 3000;
const STEP_MS: u64 = 20;
const READ_MS: u64 = 200;
const MACHINES_WANTED: usize = 4;
/// The duty whose holder plans: it places tasks and decides what is rented and returned.
const PLANNER: Duty = Duty::ReclaimIdle;
const DUTIES: [Duty; 3] = [Duty::Rent, Duty::Return, PLANNER];

/// A steady clock that may be wrong.
#[derive(Debug, Clone, Copy)]
struct Clock {
    offset: i64,
    /// Runs fast or slow by so many parts in a million.
    drift_ppm: i64,
    stands_at: Option<u64>,
}

impl Clock {
    fn read(&self, now: u64) -> u64 {
        let drift = now as i64 * self.drift_ppm / 1_000_000;
        let reading = (now as i64 + self.offset + drift).max(0) as u64;
        self.stands_at.unwrap_or(reading)
    }
}

#[derive(Debug, Clone, Default)]
struct Snapshot {
    leases: BTreeMap<Duty, LeaseView>,
    machines: BTreeMap<String, u64>,
    tasks: BTreeMap<String, u64>,
    returning: Vec<String>,
    requests: Vec<ScalingRequest>,
    intents: Vec<Intent>,
}

struct Controller {
    process: u64,
    alive: bool,
    paused_until: u64,
    clock: Clock,
    leases: BTreeMap<Duty, DutyLease>,
    books: BTreeMap<Duty, OrderBook>,
    view: Snapshot,
    next_read_at: u64,
    requests_written: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Reply {
    Lease(Duty, u64),
    View,
    Recorded(OrderId),
    Completed(OrderId),
    Nothing,
}

#[derive(Debug, Clone)]
enum StoreOperation {
    Lease(Duty, LeaseRequest),
    Read,
    Commit(Transaction),
}

#[derive(Debug, Clone)]
enum StoreResult {
    Lease(LeaseResponse),
    Snapshot(Box<Snapshot>),
    Committed(TransactionOutcome),
    Refused,
}

#[derive(Debug, Clone)]
enum Message {
    ToStore {
        from: usize,
        process: u64,
        reply: Reply,
        operation: StoreOperation,
        /// Carried out late: nobody gets an answer.
        late: bool,
    },
    FromStore {
        to: usize,
        process: u64,
        reply: Reply,
        result: StoreResult,
    },
    ToProvider {
        from: usize,
        process: u64,
        id: OrderId,
        order: Order,
        token: Token,
    },
    FromProvider {
        to: usize,
        process: u64,
        id: OrderId,
        outcome: OrderOutcome,
    },
}

/// Troubles that hold for the moment.
#[derive(Debug, Default)]
pub struct Troubles {
    pub is_store_out: bool,
    pub store_refuses: Option<usize>,
    /// Parts in a hundred of the requests to the store that get no answer, half of
    /// them carried out late.
    pub lost_percent: u32,
    /// The same for the provider.
    pub provider_lost_percent: u32,
    /// Added to each way to the store.
    pub store_delay_ms: u64,
}

pub struct World {
    pub now: u64,
    pub rng: StdRng,
    pub store: Store,
    pub provider: Provider,
    pub history: History,
    pub troubles: Troubles,
    pub clocks_sound: bool,
    /// The planner asks for machines and returns them.
    pub planning: bool,
    /// Requests for leases to the store.
    pub lease_requests: u64,
    controllers: Vec<Controller>,
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
}

fn key(kind: &str, duty: Duty) -> String {
    format!("{kind}/{}", duty.name())
}

impl World {
    pub fn new(seed: u64, fence: Fence) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let controllers = (0..3)
            .map(|_| {
                // All clocks keep within the drift that is allowed.
                let clock = Clock {
                    offset: rng.random_range(0..100_000),
                    drift_ppm: rng.random_range(-240..=240),
                    stands_at: None,
                };
                Controller {
                    process: 0,
                    alive: false,
                    paused_until: 0,
                    clock,
                    leases: BTreeMap::new(),
                    books: BTreeMap::new(),
                    view: Snapshot::default(),
                    next_read_at: 0,
                    requests_written: 0,
                }
            })
            .collect();
        let mut world = World {
            now: 1,
            rng,
            store: Store::default(),
            provider: Provider::new(fence),
            history: History::default(),
            troubles: Troubles::default(),
            clocks_sound: true,
            planning: true,
            lease_requests: 0,
            controllers,
            messages: BTreeMap::new(),
            sent: 0,
        };
        (0..3).for_each(|i| world.start(i));
        world
    }

    pub fn start(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        controller.process += 1;
        controller.alive = true;
        controller.view = Snapshot::default();
        controller.next_read_at = 0;
        let name = format!("c{index}");
        let timing = LeaseTiming::new(TTL_MS);
        let lease = |duty| (duty, DutyLease::new(&name, timing));
        controller.leases = DUTIES.into_iter().map(lease).collect();
        let book = |duty| (duty, OrderBook::new(duty, timing));
        controller.books = [Duty::Rent, Duty::Return].into_iter().map(book).collect();
    }

    pub fn is_alive(&self, index: usize) -> bool {
        self.controllers[index].alive
    }

    pub fn crash(&mut self, index: usize) {
        self.controllers[index].alive = false;
    }

    /// Stops a process for a while. What it has sent may be held up as long.
    pub fn pause(&mut self, index: usize, for_ms: u64, holds_messages: bool) {
        let until = self.now + for_ms;
        self.controllers[index].paused_until = until;
        if !holds_messages {
            return;
        }
        let is_own = |message: &Message| matches!(message, Message::ToProvider { from, .. } | Message::ToStore { from, .. } if *from == index);
        let held = self.messages.iter().filter(|(_, m)| is_own(m));
        let held: Vec<(u64, u64)> = held.map(|(at, _)| *at).collect();
        for at in held {
            if let Some(message) = self.messages.remove(&at) {
                self.messages.insert((at.0.max(until), at.1), message);
            }
        }
    }

    /// The steady clock of a controller leaps, forward or back.
    pub fn leap_clock(&mut self, index: usize, by_ms: i64) {
        self.clocks_sound = false;
        self.controllers[index].clock.offset += by_ms;
    }

    /// The steady clock of a controller stands still, or goes on from there.
    pub fn stop_clock(&mut self, index: usize, stands: bool) {
        let clock = &mut self.controllers[index].clock;
        self.clocks_sound &= !stands;
        if stands {
            clock.stands_at = Some(clock.read(self.now));
        } else if let Some(at) = clock.stands_at.take() {
            let gone_on = clock.read(self.now);
            clock.offset -= gone_on as i64 - at as i64;
        }
    }

    /// A controller stands for a duty, or releases it.
    pub fn set_candidate(&mut self, index: usize, duty: Duty, wanted: bool) {
        if let Some(lease) = self.controllers[index].leases.get_mut(&duty) {
            lease.set_candidate(wanted);
        }
    }

    /// Who holds a duty by its own account.
    pub fn holder(&self, duty: Duty) -> Option<usize> {
        (0..3).find(|i| {
            let controller = &self.controllers[*i];
            controller.alive && controller.leases[&duty].token().is_some()
        })
    }

    /// Who could give an order now.
    pub fn effective_holders(&mut self, duty: Duty) -> Vec<usize> {
        let now = self.now;
        let may_send_orders = |index: &usize| {
            let controller = &mut self.controllers[*index];
            if !controller.alive || now < controller.paused_until {
                return false;
            }
            let local = controller.clock.read(now);
            let lease = controller.leases.get_mut(&duty);
            lease.is_some_and(|lease| lease.order_token(local).is_some())
        };
        (0..3).filter(may_send_orders).collect()
    }

    pub fn effective_holder(&mut self, duty: Duty) -> Option<usize> {
        self.effective_holders(duty).first().copied()
    }

    /// What is open at the end, and machines that nobody owns.
    pub fn loose_ends(&self) -> Vec<String> {
        let open = |prefix: &str| {
            let keys = self.store.under(prefix).map(|(key, ..)| key.clone());
            keys.collect::<Vec<String>>()
        };
        let mut loose = open("need/");
        loose.extend(open("intent/"));
        let owned = |machine: &&String| self.store.version(&format!("machine/{machine}")) > 0;
        let unowned = self.provider.machines.iter().filter(|m| !owned(m));
        loose.extend(unowned.map(|machine| format!("{machine} is paid for without owner")));
        loose
    }

    fn send(&mut self, after_ms: u64, message: Message) {
        self.sent += 1;
        self.messages
            .insert((self.now + after_ms, self.sent), message);
    }

    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now += STEP_MS;
            if !self.troubles.is_store_out {
                self.store.expire(self.now);
            }
            while let Some(entry) = self.messages.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let message = entry.remove();
                self.deliver(message);
            }
            for index in 0..3 {
                self.step(index);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        if !controller.alive || self.now < controller.paused_until {
            return;
        }
        let local = controller.clock.read(self.now);
        let process = controller.process;
        let mut requests = Vec::new();
        for (duty, lease) in &mut controller.leases {
            if let Some((id, request)) = lease.tick(local) {
                self.lease_requests += 1;
                let operation = StoreOperation::Lease(*duty, request);
                requests.push((Reply::Lease(*duty, id), operation));
            }
        }
        if self.now >= controller.next_read_at {
            controller.next_read_at = self.now + READ_MS;
            requests.push((Reply::View, StoreOperation::Read));
        }
        for (reply, operation) in requests {
            self.ask_store(index, process, reply, operation);
        }
        self.handle_lease_events(index);
        self.send_orders(index, local);
        self.plan(index, local);
    }

    fn handle_lease_events(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        for (duty, lease) in &mut controller.leases {
            let Some(book) = controller.books.get_mut(duty) else {
                lease.take_events();
                continue;
            };
            for event in lease.take_events() {
                match event {
                    LeaseEvent::Gained(token) => {
                        let holder_version = lease.holder_version().unwrap_or(0);
                        book.on_gained(token, WriteGuard { holder_version });
                    }
                    LeaseEvent::Lost(..) | LeaseEvent::Released(_) => book.on_lost(),
                    LeaseEvent::Suspended(..) | LeaseEvent::Resumed(_) => {}
                }
            }
        }
    }

    fn send_orders(&mut self, index: usize, local: u64) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        let process = controller.process;
        let mut requests = Vec::new();
        for (duty, lease) in &mut controller.leases {
            let token = lease.order_token(local);
            if let Some(token) = token {
                let event = Event::MayOrder {
                    duty: *duty,
                    controller: index,
                    token,
                };
                self.history.add(now, event);
            }
            if let Some(book) = controller.books.get_mut(duty) {
                requests.extend(book.tick(token, local));
            }
        }
        for request in requests {
            self.carry_out(index, process, request);
        }
    }

    fn carry_out(&mut self, index: usize, process: u64, request: OrderRequest) {
        let (reply, transaction) = match request {
            OrderRequest::Send { id, order, token } => {
                let message = Message::ToProvider {
                    from: index,
                    process,
                    id,
                    order,
                    token,
                };
                let delay_ms = self.rng.random_range(5..60);
                return self.send(delay_ms, message);
            }
            OrderRequest::Record {
                intent,
                request,
                guard,
            } => {
                let id = intent.id;
                let request_key = format!("need/{}", request.id);
                let transaction = Transaction {
                    conditions: vec![
                        (key("lease", id.duty), guard.holder_version),
                        (request_key.clone(), request.version),
                        (format!("intent/{id}"), 0),
                    ],
                    writes: vec![
                        Write::Set(format!("intent/{id}"), Value::Intent(intent), None),
                        Write::Delete(request_key),
                    ],
                };
                (Reply::Recorded(id), transaction)
            }
            OrderRequest::Complete {
                intent,
                result,
                guard,
            } => {
                let id = intent.id;
                let mut writes = vec![Write::Delete(format!("intent/{id}"))];
                writes.extend(result_writes(&intent.order, &result));
                let transaction = Transaction {
                    conditions: vec![
                        (key("lease", id.duty), guard.holder_version),
                        (format!("intent/{id}"), intent.version),
                    ],
                    writes,
                };
                (Reply::Completed(id), transaction)
            }
        };
        let operation = StoreOperation::Commit(transaction);
        self.ask_store(index, process, reply, operation);
    }

    fn ask_store(&mut self, from: usize, process: u64, reply: Reply, operation: StoreOperation) {
        let delay_ms = self.rng.random_range(1..30) + self.troubles.store_delay_ms;
        let lost = self.rng.random_range(0..100) < self.troubles.lost_percent;
        let late = lost && self.rng.random_bool(0.5);
        let after_ms = if late {
            delay_ms + self.rng.random_range(TTL_MS / 4..2 * TTL_MS)
        } else {
            delay_ms
        };
        let message = Message::ToStore {
            from,
            process,
            reply,
            operation,
            late: lost,
        };
        self.send(after_ms, message);
    }

    /// The planning leader: its writes hold only while its lease does.
    fn plan(&mut self, index: usize, local: u64) {
        let controller = &mut self.controllers[index];
        let Some(lease) = controller.leases.get_mut(&PLANNER) else {
            return;
        };
        let (Some(token), Some(version)) = (lease.order_token(local), lease.holder_version())
        else {
            return;
        };
        let view = &controller.view;
        let lease = view.leases.get(&PLANNER);
        let is_current = lease.is_some_and(|lease| lease.holder_version == version);
        if !is_current || !self.rng.random_bool(0.1) {
            return;
        }
        let guard = (key("lease", PLANNER), version);
        controller.requests_written += 1;
        let request_id = format!("{token}-{}", controller.requests_written);
        let unknown = self
            .provider
            .machines
            .iter()
            .find(|machine| !view.machines.contains_key(*machine));
        let transaction = match unknown {
            Some(machine) => Some(adopt(machine)),
            None => decide(view, &request_id, self.planning, &mut self.rng),
        };
        let Some(mut transaction) = transaction else {
            return;
        };
        transaction.conditions.push(guard);
        let process = controller.process;
        let operation = StoreOperation::Commit(transaction);
        self.ask_store(index, process, Reply::Nothing, operation);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToStore {
                from,
                process,
                reply,
                operation,
                late,
            } => {
                let refuses = self.troubles.store_refuses == Some(from);
                let result = if self.troubles.is_store_out || refuses {
                    StoreResult::Refused
                } else {
                    self.execute(operation)
                };
                if !late {
                    let delay_ms = self.rng.random_range(1..30) + self.troubles.store_delay_ms;
                    let answer = Message::FromStore {
                        to: from,
                        process,
                        reply,
                        result,
                    };
                    self.send(delay_ms, answer);
                }
            }
            Message::ToProvider {
                from,
                process,
                id,
                order,
                token,
            } => self.deliver_order(from, process, id, order, token),
            Message::FromStore {
                to,
                process,
                reply,
                result,
            } => {
                if self.is_running(to, process) {
                    self.on_store_result(to, reply, result);
                }
            }
            Message::FromProvider {
                to,
                process,
                id,
                outcome,
            } => {
                if self.is_running(to, process) {
                    self.on_order_outcome(to, id, outcome);
                }
            }
        }
    }

    /// A process that is paused gets its messages when it goes on; in this world they are
    /// lost, which it has to bear as well.
    fn is_running(&self, index: usize, process: u64) -> bool {
        let controller = &self.controllers[index];
        controller.alive && controller.process == process && self.now >= controller.paused_until
    }

    fn deliver_order(
        &mut self,
        from: usize,
        process: u64,
        id: OrderId,
        order: Order,
        token: Token,
    ) {
        let lost = self.rng.random_range(0..100) < self.troubles.provider_lost_percent;
        if lost {
            // No answer; half of them are carried out, up to several lives later.
            let outcome = OrderOutcome::Unknown;
            let answer = Message::FromProvider {
                to: from,
                process,
                id,
                outcome,
            };
            self.send(TTL_MS / 4, answer);
            if self.rng.random_bool(0.5) {
                let copy = Message::ToProvider {
                    from,
                    process: 0,
                    id,
                    order,
                    token,
                };
                let delay_ms = self.rng.random_range(TTL_MS / 2..4 * TTL_MS);
                self.send(delay_ms, copy);
            }
            return;
        }
        let outcome = self
            .provider
            .execute(id, &order, token, self.now, &mut self.history);
        let answer = Message::FromProvider {
            to: from,
            process,
            id,
            outcome,
        };
        self.send(20, answer);
    }

    fn execute(&mut self, operation: StoreOperation) -> StoreResult {
        match operation {
            StoreOperation::Read => StoreResult::Snapshot(Box::new(self.snapshot())),
            StoreOperation::Commit(transaction) => {
                let outcome = self.commit(&transaction);
                StoreResult::Committed(outcome)
            }
            StoreOperation::Lease(duty, request) => {
                StoreResult::Lease(self.lease_request(duty, request))
            }
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.store.commit(transaction);
        if matches!(outcome, TransactionOutcome::Written(_)) {
            for write in &transaction.writes {
                let event = match write {
                    Write::Set(key, ..) => {
                        let machine = key.strip_prefix("task/");
                        machine.map(|m| Event::TaskPlaced(m.to_string()))
                    }
                    Write::Delete(key) => {
                        let machine = key.strip_prefix("task/");
                        machine.map(|m| Event::TaskEnded(m.to_string()))
                    }
                };
                if let Some(event) = event {
                    self.history.add(self.now, event);
                }
            }
        }
        outcome
    }

    fn lease_request(&mut self, duty: Duty, request: LeaseRequest) -> LeaseResponse {
        let (lease_key, token_key) = (key("lease", duty), key("token", duty));
        match request {
            LeaseRequest::Read => LeaseResponse::View(self.lease_view(duty)),
            LeaseRequest::CreateGrant { ttl_ms } => {
                LeaseResponse::Granted(self.store.create_grant(ttl_ms, self.now))
            }
            LeaseRequest::Renew { grant } => match self.store.renew(grant, self.now) {
                true => LeaseResponse::Renewed,
                false => LeaseResponse::GrantEnded,
            },
            LeaseRequest::Release { grant } => match self.store.end_grant(grant) {
                true => LeaseResponse::Released,
                false => LeaseResponse::GrantEnded,
            },
            LeaseRequest::Acquire {
                grant,
                holder,
                holder_version,
                token_version,
            } => {
                let token = holder.token;
                let transaction = Transaction {
                    conditions: vec![
                        (lease_key.clone(), holder_version),
                        (token_key.clone(), token_version),
                    ],
                    writes: vec![
                        Write::Set(lease_key, Value::Holder(holder), Some(grant)),
                        Write::Set(token_key, Value::Number(token), None),
                    ],
                };
                match self.store.commit(&transaction) {
                    TransactionOutcome::Written(version) => LeaseResponse::Acquired { version },
                    TransactionOutcome::Conflict => LeaseResponse::Conflict,
                    TransactionOutcome::NoSuchGrant => LeaseResponse::Refused,
                }
            }
        }
    }

    fn lease_view(&self, duty: Duty) -> LeaseView {
        let (lease_key, token_key) = (key("lease", duty), key("token", duty));
        let holder = match self.store.keys.get(&lease_key) {
            Some((Value::Holder(holder), ..)) => Some(holder.clone()),
            _ => None,
        };
        let token = match self.store.keys.get(&token_key) {
            Some((Value::Number(token), ..)) => *token,
            _ => 0,
        };
        LeaseView {
            holder,
            holder_version: self.store.version(&lease_key),
            token,
            token_version: self.store.version(&token_key),
        }
    }

    fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        for duty in DUTIES {
            snapshot.leases.insert(duty, self.lease_view(duty));
        }
        for (key, value, version) in self.store.under("") {
            match value {
                Value::ScalingRequest(request) => snapshot.requests.push(ScalingRequest {
                    version,
                    ..request.clone()
                }),
                Value::Intent(intent) => snapshot.intents.push(Intent {
                    version,
                    ..intent.clone()
                }),
                _ => {}
            }
            if let Some(machine) = key.strip_prefix("machine/") {
                snapshot.machines.insert(machine.to_string(), version);
            } else if let Some(machine) = key.strip_prefix("task/") {
                snapshot.tasks.insert(machine.to_string(), version);
            } else if let Some(machine) = key.strip_prefix("return/") {
                snapshot.returning.push(machine.to_string());
            }
        }
        snapshot
    }

    fn on_store_result(&mut self, index: usize, reply: Reply, result: StoreResult) {
        let controller = &mut self.controllers[index];
        let local = controller.clock.read(self.now);
        match (reply, result) {
            (Reply::Lease(duty, id), result) => {
                let response = match result {
                    StoreResult::Lease(response) => response,
                    _ => LeaseResponse::Refused,
                };
                if let Some(lease) = controller.leases.get_mut(&duty) {
                    lease.on_response(id, response, local);
                }
                self.handle_lease_events(index);
            }
            (Reply::View, StoreResult::Snapshot(snapshot)) => {
                for (duty, lease) in &mut controller.leases {
                    lease.on_view(&snapshot.leases[duty], local);
                }
                controller.view = *snapshot;
                self.handle_lease_events(index);
                self.pass_view(index);
            }
            (Reply::Recorded(id), result) => {
                if let Some(book) = controller.books.get_mut(&id.duty) {
                    book.on_recorded(id, record_outcome(&result), local);
                }
            }
            (Reply::Completed(id), result) => {
                if let Some(book) = controller.books.get_mut(&id.duty) {
                    book.on_completed(id, record_outcome(&result), local);
                }
            }
            _ => {}
        }
    }

    fn pass_view(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        for (duty, book) in &mut controller.books {
            let is_ours = |order: &Order| match order {
                Order::Rent { .. } => *duty == Duty::Rent,
                Order::Delete { .. } => *duty == Duty::Return,
            };
            let intents = controller.view.intents.iter();
            let intents: Vec<Intent> = intents.filter(|i| i.id.duty == *duty).cloned().collect();
            let requests = controller.view.requests.iter();
            let requests: Vec<ScalingRequest> =
                requests.filter(|n| is_ours(&n.order)).cloned().collect();
            book.on_view(&intents, &requests);
        }
    }

    fn on_order_outcome(&mut self, index: usize, id: OrderId, outcome: OrderOutcome) {
        let controller = &mut self.controllers[index];
        let local = controller.clock.read(self.now);
        let Some(book) = controller.books.get_mut(&id.duty) else {
            return;
        };
        if book.on_sent(id, outcome, local) {
            if let Some(lease) = controller.leases.get_mut(&id.duty) {
                lease.on_fenced(local);
            }
            self.handle_lease_events(index);
        }
    }
}

fn record_outcome(result: &StoreResult) -> RecordOutcome {
    match result {
        StoreResult::Committed(TransactionOutcome::Written(version)) => {
            RecordOutcome::Written { version: *version }
        }
        StoreResult::Committed(_) => RecordOutcome::Conflict,
        _ => RecordOutcome::Unknown,
    }
}

/// What a completed order changes.
fn result_writes(order: &Order, result: &OrderResult) -> Vec<Write> {
    match (order, result) {
        (_, OrderResult::Rented(machines)) => {
            let own = |m: &String| Write::Set(format!("machine/{m}"), Value::Mark, None);
            machines.iter().map(own).collect()
        }
        (Order::Delete { machines, .. }, OrderResult::Deleted) => {
            let forget = |m: &String| [format!("machine/{m}"), format!("return/{m}")];
            let keys = machines.iter().flat_map(forget);
            keys.map(Write::Delete).collect()
        }
        _ => vec![],
    }
}

/// Takes in a machine that the provider has and nobody owns.
fn adopt(machine: &str) -> Transaction {
    let key = format!("machine/{machine}");
    Transaction {
        conditions: vec![(key.clone(), 0)],
        writes: vec![Write::Set(key, Value::Mark, None)],
    }
}

/// What the planner does next: rent, place a task, end one, or return an idle machine.
fn decide(
    view: &Snapshot,
    request_id: &str,
    changes_fleet: bool,
    rng: &mut StdRng,
) -> Option<Transaction> {
    let is_provisioning = |order: &Order| matches!(order, Order::Rent { .. });
    let rentals = view
        .requests
        .iter()
        .filter(|n| is_provisioning(&n.order))
        .count()
        + view
            .intents
            .iter()
            .filter(|i| is_provisioning(&i.order))
            .count();
    if changes_fleet && view.machines.len() + rentals < MACHINES_WANTED {
        let request = ScalingRequest {
            id: format!("rent-{request_id}"),
            order: Order::Rent {
                machine_type: "k".into(),
                zone: "a".into(),
                spot: false,
                count: rng.random_range(1..3),
            },
            version: 0,
        };
        let key = format!("need/{}", request.id);
        return Some(Transaction {
            conditions: vec![(key.clone(), 0)],
            writes: vec![Write::Set(key, Value::ScalingRequest(request), None)],
        });
    }
    let usable = |m: &&String| !view.returning.contains(m);
    let machines: Vec<&String> = view.machines.keys().filter(usable).collect();
    if machines.is_empty() {
        return None;
    }
    let machine = machines[rng.random_range(0..machines.len())];
    let (task_key, return_key) = (format!("task/{machine}"), format!("return/{machine}"));
    if let Some(version) = view.tasks.get(machine) {
        return Some(Transaction {
            conditions: vec![(task_key.clone(), *version)],
            writes: vec![Write::Delete(task_key)],
        });
    }
    // Both on condition that neither is there: what is returned gets no work again.
    let conditions = vec![
        (format!("machine/{machine}"), view.machines[machine]),
        (task_key.clone(), 0),
        (return_key.clone(), 0),
    ];
    let returns = changes_fleet && rng.random_bool(0.3);
    let writes = if returns {
        let request = ScalingRequest {
            id: format!("return-{machine}"),
            order: Order::Delete {
                machines: vec![machine.clone()],
                if_empty: true,
            },
            version: 0,
        };
        let request_key = format!("need/{}", request.id);
        vec![
            Write::Set(return_key, Value::Mark, None),
            Write::Set(request_key, Value::ScalingRequest(request), None),
        ]
    } else {
        vec![Write::Set(task_key, Value::Mark, None)]
    };
    Some(Transaction { conditions, writes })
}
