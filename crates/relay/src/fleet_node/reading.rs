//! When a balancer reads the store: its inputs to the election of the readers.

use rand::RngExt;
use weirhinge_fleet::Millis;
use weirhinge_fleet::reader::{self, ReadReason, RetryWait};

use super::FleetNode;

impl FleetNode {
    /// Returns why this balancer should make the next call to the store; none if it should not.
    pub fn read_reason(&self, now: Millis) -> Option<ReadReason> {
        let inputs = reader::ReaderInputs {
            uptime_ms: now,
            age_ms: self.replica.age(now),
            confirmation_delay_ms: self.confirmation_delay_ms(),
            rank: self.peers.rank(),
            reading: self.reading,
            has_lower_reader: self
                .peers
                .has_lower_reader(now, self.timing.reader_report_lifetime_ms),
            yields: self.reading && self.another_keeps_reading() && self.draw_yield(),
            verification_due: self.is_verification_due(now),
        };
        reader::read_reason(&inputs, &self.timing)
    }

    fn confirmation_delay_ms(&self) -> Millis {
        if self.replica.position().is_start() {
            return 0;
        }
        reader::confirmation_delay(self.balancer_count(), self.confirmation_fraction)
    }

    /// Returns how long to wait before listing the whole store because the changes after the known
    /// position are unavailable.
    pub fn listing_delay(&self, reason: ReadReason) -> Millis {
        reader::listing_delay(reason, self.peers.rank())
    }

    /// Records that a peer sent newer state than this daemon knew.
    pub(super) fn note_concurrent_read(&self) {
        let mut reads = self.concurrent_reads.get();
        reads.note_newer_state();
        self.concurrent_reads.set(reads);
    }

    /// Whether another balancer keeps reading the store; to be called once before each read.
    fn another_keeps_reading(&self) -> bool {
        let mut reads = self.concurrent_reads.get();
        let is_repeated = reads.is_repeated();
        self.concurrent_reads.set(reads);
        is_repeated
    }

    fn draw_yield(&self) -> bool {
        let fraction = self.random.borrow_mut().random();
        reader::yields(self.peers.rank(), fraction)
    }

    /// Returns the wait after a number of consecutive failed calls to the store.
    pub fn retry_wait(&self, failures: u32) -> RetryWait {
        let fraction = self.random.borrow_mut().random();
        reader::retry_wait(failures, self.peers.rank(), self.balancer_count(), fraction)
    }

    fn is_verification_due(&self, now: Millis) -> bool {
        let balancers = self.balancer_count();
        let fraction = self.random.borrow_mut().random();
        let mut schedule = self.verification.get();
        let is_due = schedule.is_due(now, balancers, fraction);
        self.verification.set(schedule);
        is_due
    }
}
