//! Scenarios with leaders in close succession, which single random steps produce too rarely.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use hg_replica::{Body, Message};

use super::world::World;

/// The step in which virtual time advances within a scenario.
const TICK: Duration = Duration::from_millis(10);
/// The maximum number of messages held back for late delivery.
const HELD_MAX: usize = 40;

impl World {
    /// Runs a scenario that the fuzzer chooses.
    pub fn run_scenario(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.steps += 1;
        match u.int_in_range(0..=4_u8)? {
            0 => self.depose_leader(u)?,
            1 => self.contested_election(u)?,
            2 => self.lose_disk_during_leader_change(u)?,
            3 => self.rolling_restart(u)?,
            _ => self.step(u)?,
        }
        self.check();
        Ok(())
    }

    /// Advances time by `ticks` and delivers all messages at once, except some that it moves to
    /// `held`.
    fn run_ticks(
        &mut self,
        u: &mut Unstructured<'_>,
        ticks: u32,
        held: &mut Vec<Message>,
    ) -> Result<()> {
        for _ in 0..ticks {
            self.pass_time(TICK);
            let hold_one = held.len() < HELD_MAX && u.ratio(1, 20)?;
            if hold_one && let Some(message) = self.messages.pop() {
                held.push(message);
            }
            self.deliver_all();
            self.check();
        }
        Ok(())
    }

    /// A leader with pending proposals loses its links to some hosts while its successor is
    /// elected.
    fn depose_leader(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut held = Vec::new();
        let warm_up_ticks = u.int_in_range(20..=160)?;
        self.run_ticks(u, warm_up_ticks, &mut held)?;
        let Some(leader) = self.leader_host() else { return Ok(()) };
        let reachable = u.choose_index(self.len())?;
        for other in (0..self.len()).filter(|other| *other != leader) {
            let still_reachable = other == reachable && u.arbitrary()?;
            if !still_reachable {
                self.cut_links.insert((leader, other));
            }
            if u.arbitrary()? {
                self.cut_links.insert((other, leader));
            }
        }
        for _ in 0..u.int_in_range(0..=3_u8)? {
            self.propose(leader);
        }
        let partition_ticks = u.int_in_range(10..=220)?;
        self.run_ticks(u, partition_ticks, &mut held)?;
        if u.arbitrary()? {
            self.kill(leader, 64);
            self.start(leader);
        }
        self.propose_at_leader_or_any(u)?;
        self.cut_links.clear();
        self.messages.append(&mut held);
        let healed_ticks = u.int_in_range(0..=60)?;
        self.run_ticks(u, healed_ticks, &mut held)?;
        self.propose_at_leader_or_any(u)?;
        self.messages.append(&mut held);
        Ok(())
    }

    /// Concurrent candidates, voters that restart right after they reply, and delayed vote
    /// messages.
    fn contested_election(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut held = Vec::new();
        if let Some(leader) = self.leader_host() {
            self.kill(leader, 0);
        }
        for _ in 0..u.int_in_range(60..=250_u32)? {
            self.pass_time(TICK);
            for message in std::mem::take(&mut self.messages) {
                let is_vote = matches!(message.body, Body::Vote { .. } | Body::VoteReply { .. });
                if is_vote && held.len() < HELD_MAX && u.ratio(1, 3)? {
                    held.push(message);
                    continue;
                }
                let voter = self.host_of(&message.to);
                self.deliver_message(message);
                if is_vote
                    && u.ratio(1, 4)?
                    && let Some(voter) = voter
                {
                    self.kill(voter, 0);
                    self.start(voter);
                }
            }
            if !held.is_empty() && u.ratio(1, 12)? {
                let index = u.choose_index(held.len())?;
                let delayed = held.swap_remove(index);
                self.deliver_message(delayed);
            }
            self.check();
        }
        for n in 0..self.len() {
            self.start(n);
        }
        self.messages.append(&mut held);
        Ok(())
    }

    /// A host rejoins after it lost its disk while the leader changes.
    fn lose_disk_during_leader_change(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut held = Vec::new();
        let lost_host = u.choose_index(self.len())?;
        for _ in 0..u.int_in_range(0..=4_u8)? {
            self.propose_at_leader_or_any(u)?;
        }
        self.lose_disk(lost_host);
        self.start(lost_host);
        let early_ticks = u.int_in_range(1..=120)?;
        self.run_ticks(u, early_ticks, &mut held)?;
        if let Some(leader) = self.leader_host() {
            // The leader still reaches the new incarnation, but perhaps not the others.
            for other in (0..self.len()).filter(|other| *other != leader && *other != lost_host) {
                if u.arbitrary()? {
                    self.cut_links.insert((leader, other));
                }
            }
        }
        self.propose_at_leader_or_any(u)?;
        let partition_ticks = u.int_in_range(5..=200)?;
        self.run_ticks(u, partition_ticks, &mut held)?;
        self.cut_links.clear();
        self.messages.append(&mut held);
        Ok(())
    }

    /// Restarts one host shortly after the other; each loses its unsynced data.
    fn rolling_restart(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut held = Vec::new();
        for n in 0..self.len() {
            self.propose_at_leader_or_any(u)?;
            self.kill(n, 0);
            let down_ticks = u.int_in_range(0..=30)?;
            self.run_ticks(u, down_ticks, &mut held)?;
            self.start(n);
            let up_ticks = u.int_in_range(0..=90)?;
            self.run_ticks(u, up_ticks, &mut held)?;
        }
        self.messages.append(&mut held);
        Ok(())
    }

    fn propose_at_leader_or_any(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let n = match self.leader_host() {
            Some(leader) => leader,
            None => u.choose_index(self.len())?,
        };
        self.propose(n);
        Ok(())
    }
}
