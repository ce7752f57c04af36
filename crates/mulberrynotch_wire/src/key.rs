//! Messages that replicate idempotency key records from the home of a key to its backup.

use mulberrynotch_register::id;

mulberrynotch_macros::message! {
    /// Digest of a service and of an idempotency key of that service.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct Key(pub [u8; 16]);

    /// Execution state of a request with an idempotency key.
    #[derive(Copy)]
    pub enum State {
        /// The request was sent to a target, or is about to be.
        Running,
        /// The request is known not to have run.
        NotRun,
        /// The request ran; the home may still hold the answer.
        Done {
            /// HTTP status of the answer.
            status: u16,
        },
        /// The request was sent, and no answer shows whether it ran.
        Unknown,
    }

    /// Replicated state of one idempotency key.
    #[derive(Copy)]
    pub struct Record {
        /// Key that identifies the record.
        pub key: Key,
        /// First target of the preference list of the key.
        pub home: id::Target,
        /// Digest of method, path and body; a different request under the same key is refused.
        pub request: u64,
        /// Whether the request has run.
        pub state: State,
        /// Time since the record was created, in milliseconds.
        pub age_ms: u32,
    }

    /// Messages that transfer idempotency key records.
    pub enum Message {
        /// Stores records at the backup or at a new home.
        Put {
            /// Echoed in the answer.
            sequence: u32,
            /// True when the sender runs the request only after the receiver has acknowledged the
            /// record.
            fresh: bool,
            /// Records to store.
            records: Vec<Record>,
        },
        /// Acknowledges `Put` or `Synced`.
        PutAck {
            /// Sequence number of the acknowledged message.
            sequence: u32,
        },
        /// Requests the records of `home`, after the sender became home of some or all of its keys.
        Pull {
            /// First target of the preference lists of the keys.
            home: id::Target,
            /// Last key that the sender has received, in key order; `None` starts at the first.
            after: Option<Key>,
            /// Revision of the sender's register.
            revision: u64,
            /// True when the sender owns `home`, so that the receiver stops accepting its keys; false
            /// when a revision moved some of its keys to a target of the sender.
            claim: bool,
        },
        /// Answers `Pull`.
        Records {
            /// First target of the preference lists of the keys.
            home: id::Target,
            /// Echoed from the `Pull`.
            after: Option<Key>,
            /// True for the last part.
            last: bool,
            /// True when the sender holds all records of the target and accepts no further ones. The
            /// transfer is complete only if every part says so.
            complete: bool,
            /// Records of this part, in key order.
            records: Vec<Record>,
        },
        /// States that the backup holds all records of `home`; answered with `PutAck`.
        Synced {
            /// Echoed in the answer.
            sequence: u32,
            /// First target of the preference lists of the keys.
            home: id::Target,
            /// Revision of the sender's register.
            revision: u64,
        },
    }
}
