//! What a router admits: bounded queues, fair shares, deadlines, the retry budget.
