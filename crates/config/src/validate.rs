//! Validates a configuration document beyond what its types enforce.

use std::collections::{BTreeMap, HashSet};

use crate::document::{
    ConfigDocument, MAXIMUM_TARGET_ID, MAXIMUM_WEIGHT, Service, ServiceId, Target,
    TransportProtocol,
};
use crate::parse::ConfigError;

/// Validates all services, all targets and the references between them.
pub fn check_document(file: &str, document: &ConfigDocument) -> Result<(), ConfigError> {
    if document.revision == 0 {
        return Err(ConfigError::field(file, "revision", 0, "a number of at least 1"));
    }
    let services = check_services(file, &document.services)?;
    check_targets(file, &document.targets, &services)
}

/// Checks that no target serves another service than in the previous document.
pub fn check_successor(
    file: &str,
    document: &ConfigDocument,
    previous: &ConfigDocument,
) -> Result<(), ConfigError> {
    let services: BTreeMap<_, _> =
        previous.targets.iter().map(|target| (target.id, target.service)).collect();
    for (index, target) in document.targets.iter().enumerate() {
        match services.get(&target.id) {
            Some(&service) if service != target.service => {
                let field = format!("targets[{index}].service");
                let expected = format!(
                    "{}, its current service; another service needs a new target id",
                    service.0
                );
                return Err(ConfigError::field(file, field, target.service.0, expected));
            }
            _ => {}
        }
    }
    Ok(())
}

fn check_services<'a>(
    file: &str,
    services: &'a [Service],
) -> Result<BTreeMap<ServiceId, &'a Service>, ConfigError> {
    let mut by_id = BTreeMap::new();
    let mut names = HashSet::new();
    let mut endpoints = HashSet::new();
    for (index, service) in services.iter().enumerate() {
        let field = |name: &str| format!("services[{index}].{name}");
        if by_id.insert(service.id, service).is_some() {
            let expected = "an id that no other service has";
            return Err(ConfigError::field(file, field("id"), service.id.0, expected));
        }
        check_name(file, field("name"), &service.name)?;
        if !names.insert(&service.name) {
            let expected = "a name that no other service has";
            return Err(ConfigError::field(file, field("name"), &service.name, expected));
        }
        if service.port == 0 {
            return Err(ConfigError::field(file, field("port"), 0, "a port from 1 to 65535"));
        }
        let is_udp = service.protocol == TransportProtocol::Udp;
        if !endpoints.insert((service.address, service.port, is_udp)) {
            let value = format!("{} port {}", service.address, service.port);
            let expected = "an address and port that no other service has";
            return Err(ConfigError::field(file, field("address"), value, expected));
        }
    }
    Ok(by_id)
}

fn check_targets(
    file: &str,
    targets: &[Target],
    services: &BTreeMap<ServiceId, &Service>,
) -> Result<(), ConfigError> {
    let mut ids = HashSet::new();
    let mut names = HashSet::new();
    let mut agent_addresses = HashSet::new();
    for (index, target) in targets.iter().enumerate() {
        let field = |name: &str| format!("targets[{index}].{name}");
        check_target_values(file, target, &field)?;
        if !services.contains_key(&target.service) {
            let expected = "the id of a service in this document";
            return Err(ConfigError::field(file, field("service"), target.service.0, expected));
        }
        if !ids.insert(target.id) {
            let expected = "an id that no other target has";
            return Err(ConfigError::field(file, field("id"), target.id.0, expected));
        }
        if !names.insert(&target.name) {
            let expected = "a name that no other target has";
            return Err(ConfigError::field(file, field("name"), &target.name, expected));
        }
        if !agent_addresses.insert(target.agent) {
            let expected = "an agent address that no other target has";
            return Err(ConfigError::field(file, field("agent"), target.agent, expected));
        }
    }
    Ok(())
}

fn check_target_values(
    file: &str,
    target: &Target,
    field: &impl Fn(&str) -> String,
) -> Result<(), ConfigError> {
    check_name(file, field("name"), &target.name)?;
    check_range(file, field("id"), u32::from(target.id.0), 0, u32::from(MAXIMUM_TARGET_ID))?;
    check_range(file, field("weight"), target.weight, 1, MAXIMUM_WEIGHT)?;
    check_range(file, field("slots"), target.slots, 1, u32::MAX)?;
    check_range(file, field("connections"), target.connections, 1, u32::MAX)?;
    check_range(file, field("agent"), u32::from(target.agent.port()), 1, u32::from(u16::MAX))?;
    check_range(file, field("back_end"), u32::from(target.back_end.port()), 1, u32::from(u16::MAX))
}

fn check_range(
    file: &str,
    field: String,
    value: u32,
    minimum: u32,
    maximum: u32,
) -> Result<(), ConfigError> {
    if (minimum..=maximum).contains(&value) {
        return Ok(());
    }
    Err(ConfigError::field(file, field, value, format!("a number from {minimum} to {maximum}")))
}

fn check_name(file: &str, field: String, name: &str) -> Result<(), ConfigError> {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed) {
        return Ok(());
    }
    let expected = "1 to 64 letters, digits, '-', '_' or '.'";
    Err(ConfigError::field(file, field, format!("{name:?}"), expected))
}
