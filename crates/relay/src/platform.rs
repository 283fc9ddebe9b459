//! The seam towards the platform: how packets are laid out, and how the store is
//! asked and answers. An implementation translates and decides nothing.

use weirhinge_fleet::{
    Millis, Position, Update, VersionedConfiguration, VersionedTarget, ZoneChange, ZoneNews,
};
use weirhinge_steering::{AnswerStatus, FlowKey, MalformedPacket, PacketHeader};

/// What is wrong with an item of the store, for counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its bytes are no document of the stated form.
    Form,
    /// A number, an address or a name is outside of what any writer means.
    Range,
    /// Its key looks like one of those that are read, and is none.
    Key,
}

impl RejectReason {
    /// Label for logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            RejectReason::Form => "form",
            RejectReason::Range => "range",
            RejectReason::Key => "key",
        }
    }
}

/// An item of the store that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: field {field}: found {found}, expected {expected}")]
pub struct RejectedItem {
    /// What kind of fault it is.
    pub reason: RejectReason,
    /// The item's key, or the call for an answer that cannot be used at all.
    pub key: String,
    /// Path of the field.
    pub field: String,
    /// The value found, shortened.
    pub found: String,
    /// What would have been accepted.
    pub expected: String,
}

/// One page of a listing of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPage {
    /// The store's position when it answered.
    pub at: Position,
    /// The key after which the next page begins; none on the last page.
    pub next_after: Option<String>,
    /// The configuration, if it is on this page.
    pub configuration: Option<VersionedConfiguration>,
    /// The targets on this page.
    pub targets: Vec<VersionedTarget>,
    /// Targets whose records on this page cannot be used: whatever they said before does not
    /// count any more.
    pub removed: Vec<VersionedTarget>,
    /// The names of the evacuated zones on this page.
    pub evacuated: Vec<String>,
    /// Items that cannot be used; each is left out whole.
    pub rejected: Vec<RejectedItem>,
}

/// What changed in the store after a position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchPage {
    /// The position to continue from.
    pub at: Position,
    /// The configuration, if it changed.
    pub configuration: Option<VersionedConfiguration>,
    /// Targets that changed, in the store's order; one whose record cannot be used any more
    /// counts as removed.
    pub targets: Vec<VersionedTarget>,
    /// Evacuations that began or ended, in the store's order.
    pub zones: Vec<ZoneChange>,
    /// Items that cannot be used; each is left out whole.
    pub rejected: Vec<RejectedItem>,
}

/// An answer that was made from an older state than the reader has seen already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer as of position {at}, known is {after}")]
pub struct AnswerBehind {
    /// The position that the answer states.
    pub at: Position,
    /// The position that was known.
    pub after: Position,
}

impl WatchPage {
    /// What the answer to a watch for changes after `after` says, `elapsed_ms` after the
    /// watch began. The store answers a watch without changes once `wait_ms` are over;
    /// what the answer took longer it spent on its way. When an answer with changes was
    /// made is not known; it is taken for new, which the limit on a call bounds.
    ///
    /// # Errors
    /// When the answer does not prove that the store's state is the one known.
    pub fn into_update(
        self,
        after: Position,
        wait_ms: Millis,
        elapsed_ms: Millis,
    ) -> Result<Update, AnswerBehind> {
        if self.at < after {
            return Err(AnswerBehind { at: self.at, after });
        }
        let is_unchanged = self.at == after;
        Ok(Update {
            after,
            through: self.at,
            complete: false,
            skips: false,
            age_ms: if is_unchanged { elapsed_ms.saturating_sub(wait_ms) } else { 0 },
            configuration: self.configuration,
            targets: self.targets,
            zones: ZoneNews::Changes(self.zones),
        })
    }
}

/// How the platform speaks.
pub trait Platform: Clone + 'static {
    /// Reads a packet's head.
    ///
    /// # Errors
    /// Says what is wrong with the bytes.
    fn decode(&self, packet: &[u8]) -> Result<PacketHeader, MalformedPacket>;

    /// Writes the label that comes back if a target bounces the packet.
    fn write_echo(&self, packet: &mut [u8], echo: u32);

    /// Makes a bounced packet what its sender wrote.
    fn restore_bounced(&self, packet: &mut [u8]);

    /// Builds a reset from a flow's service to its client.
    fn build_reset(&self, flow: &FlowKey, sequence: u32) -> Vec<u8>;

    /// The identifier of the request that begins in this packet, if one does.
    fn request_id<'a>(&self, packet: &'a [u8]) -> Option<&'a str>;

    /// How a target answers a request, if its answer begins in this packet.
    fn answer_status(&self, packet: &[u8]) -> Option<AnswerStatus>;

    /// Which life of the store made an answer with these headers; 0 from a store that does
    /// not tell.
    ///
    /// # Errors
    /// When the headers tell it in a form that cannot be read.
    fn store_era(&self, headers: &http::HeaderMap) -> Result<u64, RejectedItem>;

    /// Path and query that list the store's items after a key.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Path and query that wait for changes after a revision of the store's present era.
    fn watch_path(&self, after: u64, wait_ms: Millis) -> String;

    /// Reads a listing that the store made in this era.
    ///
    /// # Errors
    /// When the answer as a whole cannot be used.
    fn read_list(&self, era: u64, body: &[u8]) -> Result<ListPage, RejectedItem>;

    /// Reads an answer to a watch that the store made in this era.
    ///
    /// # Errors
    /// When the answer as a whole cannot be used.
    fn read_watch(&self, era: u64, body: &[u8]) -> Result<WatchPage, RejectedItem>;

    /// Path at which the platform asks whether a daemon is ready.
    fn readiness_path(&self) -> &'static str;
}
