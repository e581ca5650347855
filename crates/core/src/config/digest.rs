//! Digests that identify a configuration or a command. They don't depend on a serialization format,
//! so all versions of the program compute the same ones.

use sha2::Digest;
use sha2::Sha256;

use crate::config::Document;
use crate::config::ModelSpec;
use crate::config::ServiceSpec;
use crate::config::WorkspaceSpec;
use crate::id::Fingerprint;

/// Hashes a sequence of fields with SHA-256. Texts and lists are preceded by their length, so that
/// different sequences don't give the same input to the hash.
pub(crate) struct Digester(Sha256);

impl Digester {
    /// Starts a digest of a kind of value, which keeps kinds with the same fields apart.
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

    /// Adds a list of texts, preceded by its length.
    pub fn texts<'a>(self, texts: impl ExactSizeIterator<Item = &'a str>) -> Self {
        let counted = self.number(texts.len() as u64);
        texts.fold(counted, Self::text)
    }

    /// Returns the first 16 bytes of the hash.
    pub fn finish(self) -> Fingerprint {
        let hash = self.0.finalize();
        let mut short = [0; 16];
        short.copy_from_slice(&hash[..16]);
        Fingerprint(short)
    }
}

impl Document {
    /// Returns the digest of all tables in their order.
    pub fn digest(&self) -> Fingerprint {
        let mut digester = Digester::new("document").number(self.workspaces.len() as u64);
        for spec in &self.workspaces {
            digester = add_workspace(digester, spec);
        }
        digester = digester.number(self.budgets.len() as u64);
        for spec in &self.budgets {
            digester = digester.text(spec.name.as_str()).number(spec.prepaid.0);
        }
        digester = digester.number(self.models.len() as u64);
        for spec in &self.models {
            digester = add_model(digester, spec);
        }
        digester = digester.number(self.services.len() as u64);
        for spec in &self.services {
            digester = add_service(digester, spec);
        }
        digester.finish()
    }
}

fn add_workspace(digester: Digester, spec: &WorkspaceSpec) -> Digester {
    digester
        .text(spec.name.as_str())
        .text(spec.budget.as_str())
        .texts(spec.keys.iter().map(AsRef::as_ref))
        .texts(spec.models.iter().map(|model| model.as_str()))
        .texts(spec.services.iter().map(|service| service.as_str()))
        .number(spec.share)
}

fn add_model(digester: Digester, spec: &ModelSpec) -> Digester {
    digester
        .text(spec.name.as_str())
        .number(spec.limit.0)
        .number(spec.priority)
        .number(spec.first.0)
        .number(spec.between.0)
        .number(spec.whole.0)
}

fn add_service(digester: Digester, spec: &ServiceSpec) -> Digester {
    digester
        .text(spec.name.as_str())
        .texts(spec.idempotent.iter().map(AsRef::as_ref))
        .number(spec.keyed)
        .number(spec.priority)
        .number(spec.whole.0)
}
