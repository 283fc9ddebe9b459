//! The interface to the platform: the packet format and the store's requests and responses.
//! Implementations translate formats and make no decisions.

use weirhinge_fleet::{
    Millis, Position, Update, VersionedConfiguration, VersionedTarget, ZoneChange, ZoneUpdate,
};
use weirhinge_steering::{AnswerStatus, FlowKey, MalformedPacket, PacketHeader};

/// Why an item of the store was rejected, for logs and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its bytes cannot be parsed as the expected document.
    Form,
    /// A number, an address or a name is outside its valid range.
    Range,
    /// Its key has the prefix of a known kind of item, but no valid name after it.
    Key,
}

impl RejectReason {
    /// Returns the label for logs and counters.
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
    /// Why the item was rejected.
    pub reason: RejectReason,
    /// The item's key, or the request if its response as a whole cannot be used.
    pub key: String,
    /// Path of the invalid field.
    pub field: String,
    /// The value found, truncated.
    pub found: String,
    /// The values that would have been accepted.
    pub expected: String,
}

/// One page of a listing of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPage {
    /// The store's position when it created the response.
    pub at: Position,
    /// The key after which the next page begins; `None` on the last page.
    pub next_after: Option<String>,
    /// The configuration, if it is on this page.
    pub configuration: Option<VersionedConfiguration>,
    /// The targets on this page.
    pub targets: Vec<VersionedTarget>,
    /// Targets whose records on this page cannot be used; their earlier records no longer count.
    pub removed: Vec<VersionedTarget>,
    /// The names of the evacuated zones on this page.
    pub evacuated: Vec<String>,
    /// Items that cannot be used; none of their fields are applied.
    pub rejected: Vec<RejectedItem>,
}

/// The changes of the store after a position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchPage {
    /// The position to continue from.
    pub at: Position,
    /// The configuration, if it changed.
    pub configuration: Option<VersionedConfiguration>,
    /// Targets that changed, in the store's order; a target whose new record cannot be used
    /// counts as removed.
    pub targets: Vec<VersionedTarget>,
    /// Evacuations that began or ended, in the store's order.
    pub zones: Vec<ZoneChange>,
    /// Items that cannot be used; none of their fields are applied.
    pub rejected: Vec<RejectedItem>,
}

/// A response that reflects an older state than the one already known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response as of position {at}, older than the known position {known}")]
pub struct StaleResponse {
    /// The position of the response.
    pub at: Position,
    /// The position already known.
    pub known: Position,
}

impl WatchPage {
    /// Converts the response to a watch for changes after `after` into an update. The response
    /// arrived `elapsed_ms` after the watch began.
    ///
    /// Without changes, the store responds after `wait_ms`; the time beyond that was spent in
    /// transit and becomes the age of the update. With changes, the time of the response is
    /// unknown. Its age is assumed to be 0; the timeout of the call bounds the error.
    ///
    /// # Errors
    /// Returns [`StaleResponse`] if the response reflects a state older than `after`.
    pub fn into_update(
        self,
        after: Position,
        wait_ms: Millis,
        elapsed_ms: Millis,
    ) -> Result<Update, StaleResponse> {
        if self.at < after {
            return Err(StaleResponse { at: self.at, known: after });
        }
        let is_unchanged = self.at == after;
        Ok(Update {
            after,
            through: self.at,
            age_ms: if is_unchanged { elapsed_ms.saturating_sub(wait_ms) } else { 0 },
            configuration: self.configuration,
            targets: self.targets,
            zones: ZoneUpdate::Changes(self.zones),
            ..Update::default()
        })
    }
}

/// How current the store's answer to a read has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadConsistency {
    /// It reflects all writes that were acknowledged before.
    Linearizable,
    /// It may be some seconds old. Such a read costs the store far less.
    Stale,
}

/// Translates between the platform's formats and the types of the relay.
pub trait Platform: Clone + 'static {
    /// Decodes the header of a packet.
    ///
    /// # Errors
    /// Returns why the packet is malformed.
    fn decode(&self, packet: &[u8]) -> Result<PacketHeader, MalformedPacket>;

    /// Writes the echo label, which the packet carries back if a target bounces it.
    fn write_echo(&self, packet: &mut [u8], echo: u32);

    /// Restores a bounced packet to the bytes that its sender wrote.
    fn restore_bounced(&self, packet: &mut [u8]);

    /// Builds a reset packet from a flow's service to its client.
    fn build_reset(&self, flow: &FlowKey, sequence: u32) -> Vec<u8>;

    /// Returns the ID of the request that begins in this packet, if any.
    fn request_id<'a>(&self, packet: &'a [u8]) -> Option<&'a str>;

    /// Returns the status of a target's answer to a request, if the answer begins in this packet.
    fn answer_status(&self, packet: &[u8]) -> Option<AnswerStatus>;

    /// Returns the store's era according to the headers of a response; 0 if the store sends
    /// none.
    ///
    /// # Errors
    /// When the era in the headers cannot be parsed.
    fn store_era(&self, headers: &http::HeaderMap) -> Result<u64, RejectedItem>;

    /// Returns the path and query of a request that lists the store's items after a key.
    fn list_path(&self, after: Option<&str>, consistency: ReadConsistency) -> String;

    /// Returns the path and query of a request that waits up to `wait_ms` for changes after a
    /// revision of the store's current era.
    fn watch_path(&self, after: u64, wait_ms: Millis) -> String;

    /// Parses a page of a listing from this era of the store.
    ///
    /// # Errors
    /// When the response as a whole cannot be used.
    fn read_list(&self, era: u64, body: &[u8]) -> Result<ListPage, RejectedItem>;

    /// Parses the response to a watch from this era of the store.
    ///
    /// # Errors
    /// When the response as a whole cannot be used.
    fn read_watch(&self, era: u64, body: &[u8]) -> Result<WatchPage, RejectedItem>;

    /// Returns the path at which the platform queries a daemon's readiness.
    fn readiness_path(&self) -> &'static str;
}
