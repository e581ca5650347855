//! Formatting of tables, times and hexadecimal, and random ids for the command line.

use std::fmt::Write;

use crate::CliError;

const MILLIS_PER_DAY: u64 = 86_400_000;
/// 128 bits, so that ids chosen independently do not collide.
const RANDOM_BYTES: usize = 16;

/// Formats rows as aligned columns; the first row holds the headings.
pub fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: [usize; N] = std::array::from_fn(|column| width(column).unwrap_or(0));
    let mut out = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(widths) {
            // Writing to a string never fails.
            let _ = write!(line, "{cell:<width$}  ");
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

/// Formats a Unix time in milliseconds as UTC, for instance `2026-12-04T00:10:00.250Z`.
pub fn utc(millis: u64) -> String {
    let (year, month, day) = civil_from_days(millis / MILLIS_PER_DAY);
    let millis_of_day = millis % MILLIS_PER_DAY;
    let (hour, minute) = (millis_of_day / 3_600_000, millis_of_day / 60_000 % 60);
    let (second, milli) = (millis_of_day / 1_000 % 60, millis_of_day % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

/// Returns a random id in lower-case hexadecimal.
///
/// # Errors
///
/// [`CliError::Random`].
pub fn random_hex() -> Result<String, CliError> {
    let mut bytes = [0; RANDOM_BYTES];
    getrandom::fill(&mut bytes)?;
    Ok(hex(bytes))
}

/// Formats bytes as lower-case hexadecimal.
pub fn hex(bytes: impl AsRef<[u8]>) -> String {
    let pairs = bytes.as_ref().iter().map(|byte| format!("{byte:02x}"));
    pairs.collect()
}

/// Returns year, month and day of a day counted from 1970-01-01 in the Gregorian calendar, by the
/// algorithm "civil from days". Its years begin in March, so that a leap day is the last day.
fn civil_from_days(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    (era * 400 + year + u64::from(month <= 2), month, day)
}
