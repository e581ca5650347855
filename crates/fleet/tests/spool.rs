//! The bill spool: acknowledged bills survive a crash, and damaged records are never read.

#![allow(clippy::unwrap_used)]

use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;

use chestnutnotch::edges::disk::spool::Spool;
use chestnutnotch::edges::disk::spool::SpoolError;
use chestnutnotch_core::command::Bill;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::id::RequestId;
use chestnutnotch_core::id::RouterId;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Tokens;

const FILE: &str = "bills.spool";

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let folder = tempfile::tempdir().unwrap();
                let run: fn(&Path) = $body;
                run(folder.path());
            }
        )*
    };
}

fn holder(incarnation: u64) -> Holder {
    Holder::Router(RouterId {
        host: "host-1".into(),
        incarnation: Incarnation(incarnation),
    })
}

fn bill(key: &str, incarnation: u64) -> Bill {
    Bill {
        id: RequestId {
            workspace: "desk".into(),
            key: key.into(),
        },
        body: Fingerprint::of(key),
        budget: "season".into(),
        holder: holder(incarnation),
        attempt: 1,
        prompt: Tokens(7),
        generated: Tokens(11),
    }
}

fn open(folder: &Path) -> Spool {
    Spool::open(folder).unwrap()
}

fn append(folder: &Path, bytes: &[u8]) {
    let mut file = OpenOptions::new()
        .append(true)
        .open(folder.join(FILE))
        .unwrap();
    file.write_all(bytes).unwrap();
}

cases! {
    bills_survive_a_restart => |folder| {
        open(folder).add(vec![bill("a", 1), bill("b", 1)]).unwrap();
        assert_eq!(open(folder).bills(), [bill("a", 1), bill("b", 1)]);
    };
    agreed_bills_are_forgotten => |folder| {
        let mut spool = open(folder);
        spool.add(vec![bill("a", 1), bill("b", 1)]).unwrap();
        spool.remove_committed(2).unwrap();
        spool.add(vec![bill("c", 1)]).unwrap();
        drop(spool);
        assert_eq!(open(folder).bills(), [bill("c", 1)]);
    };
    bills_agreed_in_part_come_back_whole => |folder| {
        let mut spool = open(folder);
        spool.add(vec![bill("a", 1), bill("b", 1)]).unwrap();
        spool.remove_committed(1).unwrap();
        assert_eq!(spool.bills(), [bill("b", 1)]);
        drop(spool);
        assert_eq!(open(folder).bills().len(), 2);
    };
    a_torn_tail_is_cut => |folder| {
        open(folder).add(vec![bill("a", 1)]).unwrap();
        append(folder, &[40, 0, 0, 0, 1, 2, 3, 4, 5]);
        let mut spool = open(folder);
        assert_eq!(spool.bills(), [bill("a", 1)]);
        spool.add(vec![bill("b", 1)]).unwrap();
        drop(spool);
        assert_eq!(open(folder).bills(), [bill("a", 1), bill("b", 1)]);
    };
    corruption_before_the_tail_is_refused => |folder| {
        open(folder).add(vec![bill("a", 1), bill("b", 1)]).unwrap();
        let path = folder.join(FILE);
        let mut bytes = std::fs::read(&path).unwrap();
        bytes[10] ^= 1;
        std::fs::write(&path, bytes).unwrap();
        assert!(matches!(Spool::open(folder), Err(SpoolError::Corrupt { offset: 0, .. })));
    };
    a_sealed_holder_is_refused_after_a_restart => |folder| {
        let mut spool = open(folder);
        assert!(spool.seal(&holder(1)).unwrap());
        drop(spool);
        let mut spool = open(folder);
        let refused = spool.add(vec![bill("a", 2), bill("b", 1)]);
        assert!(matches!(refused, Err(SpoolError::Sealed(_))));
        assert_eq!(spool.bills(), []);
        spool.add(vec![bill("a", 2)]).unwrap();
    };
    seals_outlive_the_agreed_bills => |folder| {
        let mut spool = open(folder);
        spool.add(vec![bill("a", 1)]).unwrap();
        assert!(!spool.seal(&holder(1)).unwrap());
        spool.remove_committed(1).unwrap();
        assert!(spool.seal(&holder(1)).unwrap());
        drop(spool);
        assert!(open(folder).add(vec![bill("b", 1)]).is_err());
    };
}

#[test]
fn any_file_is_read_or_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE);
    open(folder.path())
        .add(vec![bill("a", 1), bill("b", 2)])
        .unwrap();
    let original = std::fs::read(&path).unwrap();
    bolero::check!()
        .with_type::<(u16, u8, u16)>()
        .with_iterations(500)
        .for_each(|(at, mask, cut)| {
            let mut bytes = original.clone();
            let at = usize::from(*at) % bytes.len();
            bytes[at] ^= mask;
            bytes.truncate(bytes.len() - usize::from(*cut) % bytes.len());
            std::fs::write(&path, &bytes).unwrap();
            if let Ok(spool) = Spool::open(folder.path()) {
                // The bills read are a prefix of those written.
                let all = [bill("a", 1), bill("b", 2)];
                assert_eq!(spool.bills(), &all[..spool.bills().len()]);
            }
        });
}
