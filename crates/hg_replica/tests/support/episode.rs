//! Stories in which leaders follow each other closely: what single random steps meet too rarely.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use hg_replica::{Body, Message};

use super::world::World;

/// How finely time passes within a story.
const TICK: Duration = Duration::from_millis(10);
/// Most messages that are held back to arrive after everything else.
const HELD_MAX: usize = 40;

impl World {
    /// Plays one story that the fuzzer chooses.
    pub fn episode(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.steps += 1;
        match u.int_in_range(0..=4_u8)? {
            0 => self.depose_leader(u)?,
            1 => self.storm_of_votes(u)?,
            2 => self.lose_disk_beside_a_change(u)?,
            3 => self.restart_in_turn(u)?,
            _ => self.step(u)?,
        }
        self.check();
        Ok(())
    }

    /// Lets time pass while messages arrive at once, but for some that are held back.
    fn settle(
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

    /// A leader that some hear and some don't, with proposals on the way, beside its successor.
    fn depose_leader(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut held = Vec::new();
        let warm_up = u.int_in_range(20..=160)?;
        self.settle(u, warm_up, &mut held)?;
        let Some(leader) = self.deciding_host() else { return Ok(()) };
        let confidant = u.choose_index(self.len())?;
        for other in (0..self.len()).filter(|other| *other != leader) {
            let hears = other == confidant && u.arbitrary()?;
            if !hears {
                self.cuts.insert((leader, other));
            }
            if u.arbitrary()? {
                self.cuts.insert((other, leader));
            }
        }
        for _ in 0..u.int_in_range(0..=3_u8)? {
            self.propose(leader);
        }
        let apart = u.int_in_range(10..=220)?;
        self.settle(u, apart, &mut held)?;
        if u.arbitrary()? {
            self.kill(leader, 64);
            self.start(leader);
        }
        self.propose_somewhere(u)?;
        self.cuts.clear();
        self.messages.append(&mut held);
        let together = u.int_in_range(0..=60)?;
        self.settle(u, together, &mut held)?;
        self.propose_somewhere(u)?;
        self.messages.append(&mut held);
        Ok(())
    }

    /// Candidates at the same time, voters that restart right after they answered, votes that come late.
    fn storm_of_votes(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut held = Vec::new();
        if let Some(leader) = self.deciding_host() {
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
                let voter = self.place_of(&message.to);
                self.hand_in(message);
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
                let late = held.swap_remove(index);
                self.hand_in(late);
            }
            self.check();
        }
        for n in 0..self.len() {
            self.start(n);
        }
        self.messages.append(&mut held);
        Ok(())
    }

    /// A host comes back without its disk while the lead changes.
    fn lose_disk_beside_a_change(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut held = Vec::new();
        let victim = u.choose_index(self.len())?;
        for _ in 0..u.int_in_range(0..=4_u8)? {
            self.propose_somewhere(u)?;
        }
        self.lose_disk(victim);
        self.start(victim);
        let early = u.int_in_range(1..=120)?;
        self.settle(u, early, &mut held)?;
        if let Some(leader) = self.deciding_host() {
            // The new incarnation hears the leader; the others may not.
            for other in (0..self.len()).filter(|other| *other != leader && *other != victim) {
                if u.arbitrary()? {
                    self.cuts.insert((leader, other));
                }
            }
        }
        self.propose_somewhere(u)?;
        let apart = u.int_in_range(5..=200)?;
        self.settle(u, apart, &mut held)?;
        self.cuts.clear();
        self.messages.append(&mut held);
        Ok(())
    }

    /// Each host goes down and comes back shortly after the other, with what it had not synced lost.
    fn restart_in_turn(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut held = Vec::new();
        for n in 0..self.len() {
            self.propose_somewhere(u)?;
            self.kill(n, 0);
            let down = u.int_in_range(0..=30)?;
            self.settle(u, down, &mut held)?;
            self.start(n);
            let up = u.int_in_range(0..=90)?;
            self.settle(u, up, &mut held)?;
        }
        self.messages.append(&mut held);
        Ok(())
    }

    fn propose_somewhere(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let n = match self.deciding_host() {
            Some(leader) => leader,
            None => u.choose_index(self.len())?,
        };
        self.propose(n);
        Ok(())
    }
}
