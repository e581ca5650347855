//! Prints the slopes behind docs/CAPACITY.md: state, processor time and bytes of each role's work,
//! at three sizes each.
//!
//! Processor time is the thread's own, as the kernel counts it, so that other work on the machine
//! does not count. Memory is what the allocator has handed out while a structure is filled.

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
    router::purse(&meter)?;
    bytes::messages();
    bytes::configuration();
    Ok(())
}
