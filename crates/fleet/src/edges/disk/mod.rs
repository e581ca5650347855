//! Files under the data folder: the log, snapshots and the identity of a control replica.
