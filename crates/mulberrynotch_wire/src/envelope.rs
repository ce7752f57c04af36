//! Authentication of frames by a keyed hash of a shared secret.

use std::sync::Arc;

use quick_error::quick_error;

/// Length of an authentication tag, in bytes.
pub const TAG_BYTES: usize = 16;

quick_error! {
    /// Why a frame was refused.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// Shorter than an envelope.
        Truncated {
            display("frame is shorter than its envelope; check that only balancers send to the peer address")
        }
        /// Signed with a key that the process does not hold.
        UnknownKey(id: u8) {
            display("frame is signed with unknown key {}; add the key to `secrets`", id)
        }
        /// The tag does not match.
        TagMismatch {
            display("frame has a wrong tag; check that all balancers hold the same `secrets`")
        }
        /// The content does not decode.
        Malformed {
            display("frame does not decode; check that all balancers run compatible versions")
        }
    }
}

/// A secret shared by the fleet.
#[derive(Clone)]
pub struct Secret {
    /// Identifier that frames carry.
    pub id: u8,
    /// Key of the hash.
    pub key: [u8; 32],
}

/// Secrets of a process: the first signs, all of them verify.
#[derive(Clone)]
pub struct Keyring(Arc<[Secret]>);

impl Keyring {
    /// Holds `secrets`; at least one is needed to sign.
    pub fn new(secrets: impl Into<Arc<[Secret]>>) -> Self {
        Self(secrets.into())
    }

    /// Puts `content` into an envelope from `sender`.
    ///
    /// # Panics
    ///
    /// Panics when the keyring is empty; settings without a secret are refused before.
    pub fn seal(&self, sender: &str, content: &[u8]) -> Vec<u8> {
        let secret = self.0.first().expect("checked settings hold a secret");
        let mut sealed = Vec::with_capacity(2 + TAG_BYTES + sender.len() + content.len());
        sealed.push(secret.id);
        sealed.extend_from_slice(&[0; TAG_BYTES]);
        sealed.push(u8::try_from(sender.len()).expect("checked names are short"));
        sealed.extend_from_slice(sender.as_bytes());
        sealed.extend_from_slice(content);
        let tag = tag(secret, &sealed[1 + TAG_BYTES..]);
        sealed[1..=TAG_BYTES].copy_from_slice(&tag);
        sealed
    }

    /// Opens an envelope and returns the sender's name and the content.
    ///
    /// # Errors
    ///
    /// Fails when the envelope is short, its key unknown or its tag wrong.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<(&'a str, &'a [u8]), Error> {
        let (&id, rest) = sealed.split_first().ok_or(Error::Truncated)?;
        let (claimed, body) = rest.split_at_checked(TAG_BYTES).ok_or(Error::Truncated)?;
        let secret = self.0.iter().find(|secret| secret.id == id);
        let expected = tag(secret.ok_or(Error::UnknownKey(id))?, body);
        let expected = blake3::Hash::from_bytes(widen(&expected));
        let claimed: [u8; TAG_BYTES] = claimed.try_into().map_err(|_| Error::Truncated)?;
        // `Hash` compares in constant time.
        if expected != blake3::Hash::from_bytes(widen(&claimed)) {
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

fn tag(secret: &Secret, body: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(&secret.key, body);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}

fn widen(tag: &[u8; TAG_BYTES]) -> [u8; 32] {
    let mut wide = [0; 32];
    wide[..TAG_BYTES].copy_from_slice(tag);
    wide
}
