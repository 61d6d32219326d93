//! Message files: `prost-build` with `bincode` derives.

use std::collections::BTreeMap;
use std::path::Path;

use crate::Failure;

/// Compiles `files` and returns the generated code by file name.
pub fn generate(proto: &Path, files: &[&str]) -> Result<BTreeMap<String, String>, Failure> {
    let descriptors = protox::compile(files, [proto])?;
    let mut config = prost_build::Config::new();
    config.type_attribute(".", "#[derive(::bincode::Encode, ::bincode::Decode)]");
    let requests = descriptors
        .file
        .into_iter()
        .map(|file| {
            (
                prost_build::Module::from_protobuf_package_name(file.package()),
                file,
            )
        })
        .collect();
    let modules = config.generate(requests)?;
    let mut generated = BTreeMap::new();
    for (module, code) in modules {
        let tree = syn::parse_file(&code)?;
        generated.insert(module.to_file_name_or("root"), prettyplease::unparse(&tree));
    }
    Ok(generated)
}
