//! The daemons and the operator's program of chestnutnotch. The binaries are thin; see `cmd`.
