//! Union of all datagrams between balancers.

use crate::{
    control,
    data,
    flow,
    key, //
};

mulberrynotch_macros::message! {
    /// Content of a datagram between two balancers.
    pub enum Frame {
        /// Membership and configuration message.
        Control(control::Message),
        /// Message on the ownership of targets and on redirected flows.
        Flow(flow::Message),
        /// Message that transfers idempotency key records.
        Key(key::Message),
        /// Forwarded datagram of a caller; its payload follows the encoded frame.
        Data(data::Header),
    }
}
