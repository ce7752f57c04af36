//! Authentication of frames by a hash keyed with a shared secret.

use std::sync::Arc;

use quick_error::quick_error;

/// Length of an authentication tag, in bytes.
pub const TAG_BYTES: usize = 16;

quick_error! {
    /// Reasons to refuse a frame.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The frame ends within its envelope.
        Truncated {
            display("frame is truncated within its envelope; check that only balancers send to the peer address")
        }
        /// The frame is signed with a key that the process does not hold.
        UnknownKey(id: u8) {
            display("frame is signed with unknown key {}; add the key to `secrets`", id)
        }
        /// The authentication tag does not match the content.
        TagMismatch {
            display("authentication tag of the frame does not match; check that all balancers hold the same `secrets`")
        }
        /// The frame cannot be decoded.
        Malformed {
            display("frame cannot be decoded; check that all balancers run compatible versions")
        }
    }
}

/// Secret shared by the fleet.
#[derive(Clone)]
pub struct Secret {
    /// Identifier of the secret, sent in each envelope.
    pub id: u8,
    /// Key of the authentication hash.
    pub key: [u8; 32],
}

/// Secrets of a process: the first one signs, all of them verify.
#[derive(Clone)]
pub struct Keyring(Arc<[Secret]>);

impl Keyring {
    /// Creates a keyring; sealing needs at least one secret.
    pub fn new(secrets: impl Into<Arc<[Secret]>>) -> Self {
        Self(secrets.into())
    }

    /// Wraps `content` in an envelope of `sender`, signed with the first secret.
    ///
    /// # Panics
    ///
    /// Panics when the keyring is empty, which the validation of settings excludes, or when `sender`
    /// has more than 255 bytes.
    pub fn seal(&self, sender: &str, content: &[u8]) -> Vec<u8> {
        let secret = self.0.first().expect("validated settings hold a secret");
        let mut sealed = Vec::with_capacity(2 + TAG_BYTES + sender.len() + content.len());
        sealed.push(secret.id);
        sealed.extend_from_slice(&[0; TAG_BYTES]);
        sealed.push(u8::try_from(sender.len()).expect("validated names are at most 63 bytes"));
        sealed.extend_from_slice(sender.as_bytes());
        sealed.extend_from_slice(content);
        let tag = compute_tag(secret, &sealed[1 + TAG_BYTES..]);
        sealed[1..=TAG_BYTES].copy_from_slice(&tag);
        sealed
    }

    /// Verifies an envelope and returns the sender's name and the content.
    ///
    /// # Errors
    ///
    /// Fails when the envelope is truncated or malformed, its key is unknown or its tag does not
    /// match.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<(&'a str, &'a [u8]), Error> {
        let (&id, rest) = sealed.split_first().ok_or(Error::Truncated)?;
        let (received, body) = rest.split_at_checked(TAG_BYTES).ok_or(Error::Truncated)?;
        let secret = self.0.iter().find(|secret| secret.id == id);
        let expected = compute_tag(secret.ok_or(Error::UnknownKey(id))?, body);
        let expected = blake3::Hash::from_bytes(zero_extend(&expected));
        let received: [u8; TAG_BYTES] = received.try_into().map_err(|_| Error::Truncated)?;
        // `Hash` compares in constant time.
        if expected != blake3::Hash::from_bytes(zero_extend(&received)) {
            return Err(Error::TagMismatch);
        }
        let (&length, rest) = body.split_first().ok_or(Error::Truncated)?;
        let (sender, content) = rest
            .split_at_checked(usize::from(length))
            .ok_or(Error::Truncated)?;
        let sender = std::str::from_utf8(sender).map_err(|_| Error::Malformed)?;
        Ok((sender, content))
    }
}

fn compute_tag(secret: &Secret, body: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(&secret.key, body);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}

fn zero_extend(tag: &[u8; TAG_BYTES]) -> [u8; 32] {
    let mut extended = [0; 32];
    extended[..TAG_BYTES].copy_from_slice(tag);
    extended
}
