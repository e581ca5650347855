//! Bearer keys by their hash.

use chestnutnotch_core::map::Map;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Bytes of a hash.
pub const HASH_BYTES: usize = 32;

/// Hash of a key.
pub type KeyHash = [u8; HASH_BYTES];

/// Finds the owner of a key. Hashes are compared in constant time; the index shows at most a part of
/// the hash of a guess, never of a stored key.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    rows: Map<u64, Vec<Row>>,
}

#[derive(Clone, Debug)]
struct Row {
    hash: KeyHash,
    owner: usize,
}

impl KeyIndex {
    /// Adds a key by its hash.
    pub fn insert(&mut self, hash: KeyHash, owner: usize) {
        let row = Row { hash, owner };
        self.rows.entry(slot(&hash)).or_default().push(row);
    }

    /// Owner of a key.
    pub fn find(&self, key: &str) -> Option<usize> {
        let hash = hash(key);
        let rows = self.rows.get(&slot(&hash))?;
        let row = rows.iter().find(|row| row.hash.ct_eq(&hash).into())?;
        Some(row.owner)
    }
}

/// Hash of a key.
pub fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Reads a hash of 64 hexadecimal digits.
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

fn slot(hash: &KeyHash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(first)
}
