//! Hash maps and sets with a faster hasher than the standard one.
//!
//! The hasher isn't keyed, so it does not resist chosen collisions.

/// A hash map that hashes with `FxHasher`.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// A hash set that hashes with `FxHasher`.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
