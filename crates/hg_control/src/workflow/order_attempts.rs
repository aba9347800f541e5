//! The attempts of one order about a host.

/// How many attempts of an order a leader has sent, and how many of them have no answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct OrderAttempts {
    sent: u32,
    without_answer: u32,
}

/// Queries.
impl OrderAttempts {
    /// How many were sent.
    pub(crate) const fn sent(self) -> u32 {
        self.sent
    }

    /// How many have no answer: they are in flight, or were given up, and may have been carried out.
    pub(crate) const fn without_answer(self) -> u32 {
        self.without_answer
    }
}

/// Commands.
impl OrderAttempts {
    /// Records that an attempt is sent.
    pub(crate) const fn record_sent(&mut self) {
        self.sent += 1;
        self.without_answer += 1;
    }

    /// Records that an attempt was answered.
    pub(crate) const fn record_answer(&mut self) {
        self.without_answer = self.without_answer.saturating_sub(1);
    }
}
