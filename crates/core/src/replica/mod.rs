//! Agreement of the control replicas on one log of commands.
