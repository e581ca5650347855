//! Digest of a configuration that is the same in all versions of the program.

use sha2::Digest;
use sha2::Sha256;

use crate::config::Document;
use crate::config::ModelSpec;
use crate::config::ServiceSpec;
use crate::config::WorkspaceSpec;
use crate::id::Fingerprint;

/// Feeds fields to the hash, each with its length, so that no two lists of fields coincide.
pub(crate) struct Digester(Sha256);

impl Digester {
    pub fn new(kind: &str) -> Self {
        Self(Sha256::new()).text(kind)
    }

    pub fn text(self, text: &str) -> Self {
        self.bytes(text.as_bytes())
    }

    pub fn bytes(mut self, bytes: &[u8]) -> Self {
        self.0.update((bytes.len() as u64).to_be_bytes());
        self.0.update(bytes);
        self
    }

    pub fn number(mut self, number: impl Into<u64>) -> Self {
        self.0.update(number.into().to_be_bytes());
        self
    }

    pub fn texts<'a>(self, texts: impl ExactSizeIterator<Item = &'a str>) -> Self {
        let count = self.number(texts.len() as u64);
        texts.fold(count, Self::text)
    }

    pub fn finish(self) -> Fingerprint {
        let hash = self.0.finalize();
        let mut short = [0; 16];
        short.copy_from_slice(&hash[..16]);
        Fingerprint(short)
    }
}

impl Document {
    /// Tells this configuration from others.
    pub fn digest(&self) -> Fingerprint {
        let mut digester = Digester::new("document").number(self.workspaces.len() as u64);
        for spec in &self.workspaces {
            digester = workspace(digester, spec);
        }
        digester = digester.number(self.budgets.len() as u64);
        for spec in &self.budgets {
            digester = digester.text(spec.name.as_str()).number(spec.prepaid.0);
        }
        digester = digester.number(self.models.len() as u64);
        for spec in &self.models {
            digester = model(digester, spec);
        }
        digester = digester.number(self.services.len() as u64);
        for spec in &self.services {
            digester = service(digester, spec);
        }
        digester.finish()
    }
}

fn workspace(digester: Digester, spec: &WorkspaceSpec) -> Digester {
    digester
        .text(spec.name.as_str())
        .text(spec.budget.as_str())
        .texts(spec.keys.iter().map(AsRef::as_ref))
        .texts(spec.models.iter().map(|model| model.as_str()))
        .texts(spec.services.iter().map(|service| service.as_str()))
        .number(spec.share)
}

fn model(digester: Digester, spec: &ModelSpec) -> Digester {
    digester
        .text(spec.name.as_str())
        .number(spec.limit.0)
        .number(spec.priority)
        .number(spec.first.0)
        .number(spec.between.0)
        .number(spec.whole.0)
}

fn service(digester: Digester, spec: &ServiceSpec) -> Digester {
    digester
        .text(spec.name.as_str())
        .texts(spec.idempotent.iter().map(AsRef::as_ref))
        .number(spec.keyed)
        .number(spec.priority)
        .number(spec.whole.0)
}
