//! Errors in configuration files name the file, the line and what was expected.

use std::path::Path;
use std::sync::Arc;

use chestnutnotch::file;
use chestnutnotch::file::FileError;
use chestnutnotch::publish;
use chestnutnotch::publish::Collected;
use chestnutnotch::publish::PublishError;
use chestnutnotch::settings::Settings;
use chestnutnotch_core::config::ConfigError;

/// A valid file, collected before the file under test.
const VALID: &str = "[[budget]]\nname = \"desks\"\nprepaid = 1000\n\n[[model]]\nname = \"chat\"\n";

/// Collects `VALID` and another file, and checks the result.
fn collect_with(text: &str) -> Result<Collected, PublishError> {
    let mut collected = Collected::default();
    collected.add(&Arc::from(Path::new("first.toml")), VALID)?;
    collected.add(&Arc::from(Path::new("second.toml")), text)?;
    collected.check()?;
    Ok(collected)
}

/// One test for each text that has to be refused, with the exact message.
macro_rules! refused {
    ($($name:ident: $text:expr => $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let error = collect_with($text).err().expect("the text has to be refused");
            assert_eq!(error.to_string(), $message);
        }
    )*};
}

refused! {
    unknown_key: "[[model]]\nname = \"a\"\nlimt = 5\n"
        => "second.toml:3: unknown key `limt`; the nearest known key is `limit`";
    unknown_table: "[[modell]]\nname = \"a\"\n"
        => "second.toml:1: unknown key `modell`; the nearest known key is `model`";
    unlike_any_key: "[[budget]]\nname = \"a\"\nprepaid = 1\nzzzz = 5\n"
        => "second.toml:4: unknown key `zzzz`; expected one of name, prepaid";
    missing_key: "\n[[budget]]\nname = \"a\"\n"
        => "second.toml:2: expected the key `prepaid`";
    wrong_type: "[[budget]]\nname = \"a\"\nprepaid = \"many\"\n"
        => "second.toml:3: invalid type: string \"many\", expected u64";
    negative: "[[budget]]\nname = \"a\"\nprepaid = -1\n"
        => "second.toml:3: invalid value: integer `-1`, expected u64";
    twice_in_two_files: "\n\n[[budget]]\nname = \"desks\"\nprepaid = 1\n"
        => "second.toml:3: budget desks is declared already at first.toml:1";
}

#[test]
fn not_toml() {
    let error = collect_with("[[budget]]\nname = \n").err();
    let Some(PublishError::File(FileError::Malformed { place, .. })) = error else {
        panic!("{error:?}");
    };
    assert_eq!(place.to_string(), "second.toml:2");
}

#[test]
fn dangling_budget() {
    let text = "\n[[workspace]]\nname = \"lodge\"\nbudget = \"none\"\nkeys = []\n";
    let error = collect_with(text).err();
    let Some(PublishError::Inconsistent { place, source }) = error else {
        panic!("{error:?}");
    };
    assert_eq!(
        place.map(|place| place.to_string()).as_deref(),
        Some("second.toml:2")
    );
    assert!(matches!(source, ConfigError::Dangling { .. }), "{source}");
}

#[test]
fn settings_name_the_nearest_key() {
    let text = "control = []\n[host]\nname = \"a\"\ncenter = \"b\"\n";
    let parsed = file::parse::<Settings>(&Arc::from(Path::new("a.toml")), text);
    assert_eq!(
        parsed.err().map(|error| error.to_string()).as_deref(),
        Some("a.toml:4: unknown key `center`; the nearest known key is `centre`"),
    );
}

#[test]
fn empty_folder() {
    let folder = tempfile::tempdir().expect("folder");
    let error = publish::collect(folder.path()).err();
    assert!(matches!(error, Some(PublishError::Empty(_))), "{error:?}");
}

#[test]
fn any_text_is_read_or_refused() {
    bolero::check!()
        .with_iterations(2_000)
        .for_each(|bytes: &[u8]| {
            let text = String::from_utf8_lossy(bytes);
            let mut collected = Collected::default();
            let _ = collected.add(&Arc::from(Path::new("any.toml")), &text);
            let _ = file::parse::<Settings>(&Arc::from(Path::new("any.toml")), &text);
        });
}
