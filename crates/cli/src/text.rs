//! Tables, times and random names for the operator's program.

use std::fmt::Write;

use crate::CliError;

const DAY_MILLIS: u64 = 86_400_000;
const NAME_BYTES: usize = 16;

/// Lays rows out in columns; the first row is the heading.
pub fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: [usize; N] = std::array::from_fn(|column| width(column).unwrap_or(0));
    let mut out = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(widths) {
            // Writing to a string does not fail.
            let _ = write!(line, "{cell:<width$}  ");
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

/// Unix time in milliseconds as UTC, for instance `2026-12-04T00:10:00.250Z`.
pub fn utc(millis: u64) -> String {
    let (year, month, day) = date(millis / DAY_MILLIS);
    let rest = millis % DAY_MILLIS;
    let (hour, minute) = (rest / 3_600_000, rest / 60_000 % 60);
    let (second, milli) = (rest / 1_000 % 60, rest % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

/// Random lower-case hexadecimal, too long to meet by chance.
///
/// # Errors
///
/// [`CliError::Random`].
pub fn random() -> Result<String, CliError> {
    let mut bytes = [0; NAME_BYTES];
    getrandom::fill(&mut bytes)?;
    Ok(hex(bytes))
}

/// Lower-case hexadecimal.
pub fn hex(bytes: impl AsRef<[u8]>) -> String {
    let pairs = bytes.as_ref().iter().map(|byte| format!("{byte:02x}"));
    pairs.collect()
}

/// Gregorian date of a day counted from 1970-01-01, by the algorithm "civil from days".
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let era = days / 146_097;
    let of_era = days % 146_097;
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let shifted = (5 * of_year + 2) / 153;
    let day = of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 {
        shifted + 3
    } else {
        shifted - 9
    };
    (era * 400 + year + u64::from(month <= 2), month, day)
}
