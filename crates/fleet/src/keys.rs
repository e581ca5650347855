//! Lookup of bearer keys by their SHA-256 hash.

use chestnutnotch_core::map::Map;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of a key hash.
pub const HASH_BYTES: usize = 32;

/// SHA-256 hash of a key.
pub type KeyHash = [u8; HASH_BYTES];

/// Maps keys to their owners. Hashes are compared in constant time. The time of a lookup can reveal
/// at most a part of the hash of a guessed key, never of a stored one.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// Entries by the first bytes of the hash.
    entries: Map<u64, Vec<Entry>>,
}

#[derive(Clone, Debug)]
struct Entry {
    hash: KeyHash,
    /// Position of the owner in the caller's list.
    owner: usize,
}

impl KeyIndex {
    /// Adds a key by its hash. `owner` is a position in a list of the caller.
    pub fn insert(&mut self, hash: KeyHash, owner: usize) {
        let entry = Entry { hash, owner };
        self.entries
            .entry(hash_prefix(&hash))
            .or_default()
            .push(entry);
    }

    /// Returns the owner of a key.
    pub fn find(&self, key: &str) -> Option<usize> {
        let hash = hash(key);
        let entries = self.entries.get(&hash_prefix(&hash))?;
        let entry = entries
            .iter()
            .find(|entry| entry.hash.ct_eq(&hash).into())?;
        Some(entry.owner)
    }
}

/// Returns the hash of a key.
pub fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Parses a hash of 64 hexadecimal digits.
pub fn decode(hex: &str) -> Option<KeyHash> {
    let digits = hex.as_bytes();
    if digits.len() != 2 * HASH_BYTES {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = (high << 4 | low) as u8;
    }
    Some(hash)
}

fn hash_prefix(hash: &KeyHash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(first)
}
