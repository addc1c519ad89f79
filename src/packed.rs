//! Where a job's tasks are, in few characters: the form of a record's body once all
//! controllers know it (format 1).
//!
//! Three parts with `|` between them. First what is done: the lengths of open and
//! done stretches in turn, or the bits of all tasks in hexadecimal after `=`,
//! whichever is shorter. Then what all machines' names begin with. Then the runs, by
//! place in the row of tasks that are not done: a machine's name without that
//! beginning, with `*` and a count if there are several, after `^` and the attempt
//! where it changes, and after `>` and the place where the row has a gap. A task that
//! ends makes no run longer, since it leaves the row.

use crate::job::{Ranges, Run};

const MARKS: [char; 5] = [' ', '*', '>', '^', '|'];

/// The packed form, or nothing if a name or a run does not suit it.
pub fn pack(tasks: u32, done: &Ranges, runs: &[Run]) -> Option<String> {
    if runs.iter().any(|r| r.3.is_empty() || r.3.contains(MARKS)) {
        return None;
    }
    let start = common_start(runs);
    let mut out = format!("{}|{start}|", pack_done(tasks, done));
    let mut merged: Vec<(u32, u32, u64, &str)> = Vec::new();
    for Run(first, count, attempt, host) in runs {
        let rank = rank(done, *first)?;
        if *count == 0 || rank_after(done, *first, *count)? != rank + count {
            return None;
        }
        match merged.last_mut() {
            Some(m) if rank < m.0 + m.1 => return None,
            Some(m) if m.0 + m.1 == rank && m.2 == *attempt && m.3 == host => m.1 += count,
            _ => merged.push((rank, *count, *attempt, host)),
        }
    }
    let (mut next, mut last) = (0, 0);
    for (rank, count, attempt, host) in merged {
        if rank != next {
            out += &format!(">{rank} ");
        }
        if attempt != last {
            out += &format!("^{attempt} ");
        }
        out += &host[start.len()..];
        if count > 1 {
            out += &format!("*{count}");
        }
        out.push(' ');
        (next, last) = (rank + count, attempt);
    }
    Some(out.trim_end().to_string())
}

/// What `pack` packed.
pub fn unpack(tasks: u32, text: &str) -> Option<(Ranges, Vec<Run>)> {
    let mut parts = text.splitn(3, '|');
    let done = unpack_done(tasks, parts.next()?)?;
    let start = parts.next()?;
    let (mut next, mut attempt) = (0u32, 0u64);
    let mut row = Row::new(tasks, &done);
    let mut runs: Vec<Run> = Vec::new();
    for word in parts.next()?.split_whitespace() {
        if let Some(place) = word.strip_prefix('>') {
            let place: u32 = place.parse().ok()?;
            row.skip(place.checked_sub(next)?)?;
            next = place;
        } else if let Some(a) = word.strip_prefix('^') {
            attempt = a.parse().ok()?;
        } else {
            let (name, count) = match word.rsplit_once('*') {
                Some((n, c)) => (n, c.parse::<u32>().ok()?),
                None => (word, 1),
            };
            if count > tasks {
                return None;
            }
            let host = format!("{start}{name}");
            for stretch in row.take(count)? {
                runs.push(Run(stretch.0, stretch.1, attempt, host.clone()));
            }
            next += count;
        }
    }
    Some((done, runs))
}

/// The tasks that are not done, in stretches.
struct Row {
    open: Vec<(u32, u32)>,
    at: usize,
}

impl Row {
    fn new(tasks: u32, done: &Ranges) -> Row {
        let mut open = Vec::new();
        let mut from = 0;
        for (a, b) in &done.0 {
            if *a > from {
                open.push((from, a - from));
            }
            from = b + 1;
        }
        if tasks > from {
            open.push((from, tasks - from));
        }
        Row { open, at: 0 }
    }

    /// The next `count` of them.
    fn take(&mut self, mut count: u32) -> Option<Vec<(u32, u32)>> {
        let mut out = Vec::new();
        while count > 0 {
            let s = self.open.get_mut(self.at)?;
            let n = s.1.min(count);
            out.push((s.0, n));
            *s = (s.0 + n, s.1 - n);
            count -= n;
            if s.1 == 0 {
                self.at += 1;
            }
        }
        Some(out)
    }

    fn skip(&mut self, count: u32) -> Option<()> {
        self.take(count).map(|_| ())
    }
}

/// How many tasks before this one are not done; nothing if it is.
fn rank(done: &Ranges, task: u32) -> Option<u32> {
    let mut before = 0;
    for (a, b) in &done.0 {
        if *a > task {
            break;
        }
        if *b >= task {
            return None;
        }
        before += b - a + 1;
    }
    Some(task - before)
}

/// The place behind a run's last task.
fn rank_after(done: &Ranges, first: u32, count: u32) -> Option<u32> {
    Some(rank(done, first.checked_add(count)? - 1)? + 1)
}

fn common_start(runs: &[Run]) -> &str {
    let Some(Run(.., first)) = runs.first() else {
        return "";
    };
    let mut n = first.len() - 1;
    for Run(.., host) in runs {
        let same = first.bytes().zip(host.bytes());
        let same = same.take_while(|(a, b)| a == b).count();
        n = n.min(same).min(host.len() - 1);
    }
    while !first.is_char_boundary(n) {
        n -= 1;
    }
    &first[..n]
}

fn pack_done(tasks: u32, done: &Ranges) -> String {
    let mut lengths = Vec::new();
    let mut from = 0;
    for (a, b) in &done.0 {
        lengths.push((a - from).to_string());
        lengths.push((b - a + 1).to_string());
        from = b + 1;
    }
    let lengths = lengths.join(" ");
    if lengths.len() <= 1 + tasks.div_ceil(4) as usize {
        return lengths;
    }
    let digit = |d: u32| {
        let bits = (0..4).filter(|i| done.contains(4 * d + i));
        char::from_digit(bits.map(|i| 1 << i).sum(), 16).unwrap_or('0')
    };
    let bits: String = (0..tasks.div_ceil(4)).map(digit).collect();
    format!("={}", bits.trim_end_matches('0'))
}

fn unpack_done(tasks: u32, text: &str) -> Option<Ranges> {
    let mut done = Ranges::default();
    if let Some(bits) = text.strip_prefix('=') {
        for (d, c) in (0u32..).zip(bits.chars()) {
            let v = c.to_digit(16)?;
            for i in (0..4).filter(|i| v & (1 << i) != 0) {
                done.insert(4 * d + i);
            }
        }
    } else {
        let mut from = 0u32;
        let mut words = text.split_whitespace();
        while let Some(open) = words.next() {
            let a = from.checked_add(open.parse().ok()?)?;
            let n: u32 = words.next()?.parse().ok()?;
            let b = a.checked_add(n)?.checked_sub(1)?;
            done.0.push((a, b));
            from = b + 1;
        }
    }
    let fits = done.0.last().is_none_or(|r| r.1 < tasks);
    fits.then_some(done)
}
