//! JSON files: `prost-build` with `serde` derives that follow the JSON mapping of protocol buffers.

use std::path::Path;

use heck::ToSnakeCase;
use prost_build::{Config, Module};
use prost_types::field_descriptor_proto::Type;
use prost_types::{EnumDescriptorProto, FieldDescriptorProto, FileDescriptorProto};

use crate::Failure;

/// Compiles `file` and returns the generated code.
pub fn generate(proto: &Path, file: &str) -> Result<String, Failure> {
    let descriptors = protox::compile([file], [proto])?;
    let mut config = Config::new();
    config.message_attribute(
        ".",
        "#[derive(::serde::Serialize, ::serde::Deserialize)]\n#[serde(default)]",
    );
    let mut names = String::new();
    let mut requests = Vec::new();
    for descriptor in descriptors.file {
        attach(&mut config, &descriptor);
        names.push_str(&name_modules(&descriptor));
        let module = Module::from_protobuf_package_name(descriptor.package());
        requests.push((module, descriptor));
    }
    let code: String = config.generate(requests)?.into_values().collect();
    let tree = syn::parse_file(&(code + &names))?;
    Ok(prettyplease::unparse(&tree))
}

/// Adds the `serde` attributes of every field of a file.
fn attach(config: &mut Config, file: &FileDescriptorProto) {
    for message in &file.message_type {
        for field in &message.field {
            let path = format!(".{}.{}.{}", file.package(), message.name(), field.name());
            config.field_attribute(path, attribute(field));
        }
    }
}

/// Default values are left out, as the mapping does. 64-bit numbers are strings, bytes are base64 and
/// enum values are names.
fn attribute(field: &FieldDescriptorProto) -> String {
    let form = match field.r#type() {
        Type::Int64 | Type::Uint64 => ", with = \"crate::json::number\"".to_owned(),
        Type::Bytes => ", with = \"crate::json::base64\"".to_owned(),
        Type::Enum => format!(", with = \"{}\"", name_module(field.type_name())),
        _ => String::new(),
    };
    let name = field.name();
    format!(
        "#[serde(rename = \"{name}\", skip_serializing_if = \"crate::json::is_default\"{form})]"
    )
}

/// Module that holds the text form of an enum.
fn name_module(type_name: &str) -> String {
    let name = type_name.rsplit('.').next().unwrap_or(type_name);
    format!("{}_name", name.to_snake_case())
}

fn name_modules(file: &FileDescriptorProto) -> String {
    let line = |kind: &EnumDescriptorProto| {
        let module = name_module(kind.name());
        format!("crate::json::names!({module}, {});", kind.name())
    };
    let lines: Vec<String> = file.enum_type.iter().map(line).collect();
    lines.join("\n")
}
