//! Declaration files: TOML files with templates and instances, which operators keep under version control.

use crate::protocol::objects::{KindName, ObjectList};
use anyhow::Context;
use foxnotch_core::declaration::{Declarations, Instance, Template};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::path::{Path, PathBuf};

/// The content of one declaration file, or of several that were joined.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclarationFile {
    /// Templates to create or change.
    #[serde(default, rename = "template")]
    pub templates: Vec<Template>,
    /// Instances to create or change.
    #[serde(default, rename = "instance")]
    pub instances: Vec<Instance>,
    /// Objects to delete.
    #[serde(default, rename = "delete")]
    pub deletions: Vec<Deletion>,
}

/// An object to delete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deletion {
    /// Whether the object is a template or an instance.
    pub kind: KindName,
    /// Name of the object.
    pub name: String,
}

/// A change to a stored object.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Whether the object is a template or an instance.
    pub kind: KindName,
    /// Name of the object.
    pub name: String,
    /// The object's revision before the change; 0 if the object is absent.
    pub from_revision: u64,
    /// The stored declaration; null if the object is absent.
    pub old: Value,
    /// The new declaration; null deletes the object.
    pub new: Value,
}

/// Reads declaration files and joins them. For a path that is a folder, all `.toml` files in the folder are read.
///
/// # Errors
/// When a file or folder cannot be read, or a file is not a declaration file.
pub fn read_declaration_files(paths: &[PathBuf]) -> anyhow::Result<DeclarationFile> {
    let mut joined = DeclarationFile::default();
    for path in list_files(paths)? {
        let text = std::fs::read_to_string(&path)
            .with_context(|| format!("{} cannot be read; check the path", path.display()))?;
        let file: DeclarationFile = toml::from_str(&text)
            .with_context(|| format!("{} is not a declaration file; correct the named field", path.display()))?;
        joined.templates.extend(file.templates);
        joined.instances.extend(file.instances);
        joined.deletions.extend(file.deletions);
    }
    Ok(joined)
}

fn list_files(paths: &[PathBuf]) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = std::fs::read_dir(path)
            .with_context(|| format!("the folder {} cannot be listed; check its permissions", path.display()))?;
        let paths_inside = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
        let mut toml_files: Vec<PathBuf> = paths_inside.filter(|path| is_toml(path)).collect();
        toml_files.sort();
        files.extend(toml_files);
    }
    Ok(files)
}

fn is_toml(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "toml")
}

/// The declarations that are stored in the object API. Objects that cannot be decoded are left out.
pub fn stored_declarations(list: &ObjectList) -> Declarations {
    let mut declarations = Declarations::default();
    for object in list.objects.iter().filter(|object| !object.deleted) {
        match object.kind {
            KindName::Template => {
                if let Ok(template) = serde_json::from_value::<Template>(object.body.clone()) {
                    declarations.templates.insert(template.name.clone(), template);
                }
            }
            KindName::Instance => {
                if let Ok(instance) = serde_json::from_value::<Instance>(object.body.clone()) {
                    declarations.instances.insert(instance.name.clone(), instance);
                }
            }
        }
    }
    declarations
}

/// The declarations that result when a file is applied to `base`.
///
/// # Errors
/// When a file declares one name twice.
pub fn merge_declarations(base: &Declarations, file: &DeclarationFile) -> anyhow::Result<Declarations> {
    let mut declarations = base.clone();
    for deletion in &file.deletions {
        match deletion.kind {
            KindName::Template => drop(declarations.templates.remove(&deletion.name)),
            KindName::Instance => drop(declarations.instances.remove(&deletion.name)),
        }
    }
    let mut seen = std::collections::BTreeSet::new();
    for template in &file.templates {
        anyhow::ensure!(
            seen.insert(&template.name),
            "template/{} is declared twice; remove one declaration",
            template.name
        );
        declarations.templates.insert(template.name.clone(), template.clone());
    }
    let mut seen = std::collections::BTreeSet::new();
    for instance in &file.instances {
        anyhow::ensure!(
            seen.insert(&instance.name),
            "instance/{} is declared twice; remove one declaration",
            instance.name
        );
        declarations.instances.insert(instance.name.clone(), instance.clone());
    }
    Ok(declarations)
}

/// The changes that turn the stored objects into the declared ones, in the order in which they are to be written.
/// Templates are written before instances, and instances are deleted before templates, so that no instance ever refers
/// to a missing template.
pub fn plan_changes(list: &ObjectList, wanted: &Declarations) -> Vec<Change> {
    let mut planned = Vec::new();
    for (name, template) in &wanted.templates {
        let new = serde_json::to_value(template).unwrap_or_default();
        planned.extend(change_of_object(list, KindName::Template, name, new));
    }
    for (name, instance) in &wanted.instances {
        let new = serde_json::to_value(instance).unwrap_or_default();
        planned.extend(change_of_object(list, KindName::Instance, name, new));
    }
    for kind in [KindName::Instance, KindName::Template] {
        for object in list.objects.iter().filter(|object| object.kind == kind && !object.deleted) {
            let is_declared = match kind {
                KindName::Template => wanted.templates.contains_key(&object.name),
                KindName::Instance => wanted.instances.contains_key(&object.name),
            };
            if !is_declared {
                planned.extend(change_of_object(list, kind, &object.name, Value::Null));
            }
        }
    }
    planned
}

/// The change that gives an object the declaration `new`; none if the object already has this declaration.
fn change_of_object(list: &ObjectList, kind: KindName, name: &str, new: Value) -> Option<Change> {
    let stored = list.objects.iter().find(|object| object.kind == kind && object.name == name);
    let old = stored.filter(|object| !object.deleted).map_or(Value::Null, |object| object.body.clone());
    let from_revision = stored.map_or(0, |object| object.revision);
    (old != new).then(|| Change { kind, name: name.to_owned(), from_revision, old, new })
}
