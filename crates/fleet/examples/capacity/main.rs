//! Prints the measurements behind docs/CAPACITY.md: memory, processor time and message sizes of the
//! work of each role, at three sizes each.
//!
//! Processor time is that of the measuring thread, as counted by the kernel, so that other work on
//! the machine does not count. Memory is what the allocator hands out while a structure is filled.

mod bytes;
mod fill;
mod meter;
mod router;
mod state;

use std::alloc::System;

use cap::Cap;

use meter::Meter;
use meter::MeterError;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

fn main() -> Result<(), MeterError> {
    let meter = Meter::new();
    println!("| what | size | per item or call | unit |");
    println!("|---|---|---|---|");
    state::budgets(&meter)?;
    state::draws(&meter)?;
    state::bills(&meter)?;
    state::claims(&meter)?;
    router::upstreams(&meter)?;
    router::holder_ledger(&meter)?;
    bytes::messages();
    bytes::configuration();
    Ok(())
}
