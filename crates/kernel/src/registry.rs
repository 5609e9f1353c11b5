//! The service registry.

use std::any::Any;
use std::collections::HashMap;
use std::rc::Rc;

use crate::error::{Error, Result};

/// Services by name. Remembers the order of registration.
#[derive(Default)]
pub struct ServiceRegistry {
    services: HashMap<&'static str, Rc<dyn Any>>,
    order: Vec<&'static str>,
}

impl ServiceRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers `service` under `name` and returns a shared handle to it.
    ///
    /// # Errors
    /// [`Error::AlreadyRegistered`] if the name is in use.
    pub fn register<S: Any>(&mut self, name: &'static str, service: S) -> Result<Rc<S>> {
        if self.services.contains_key(name) {
            return Err(Error::AlreadyRegistered(name));
        }
        let handle = Rc::new(service);
        self.services.insert(name, handle.clone());
        self.order.push(name);
        Ok(handle)
    }

    /// Looks up the service registered under `name`.
    ///
    /// # Errors
    /// [`Error::NotRegistered`] if there is none, [`Error::WrongType`] if it isn't an `S`.
    pub fn find<S: Any>(&self, name: &'static str) -> Result<Rc<S>> {
        let service = self.services.get(name).ok_or(Error::NotRegistered(name))?;
        service
            .clone()
            .downcast::<S>()
            .map_err(|_| Error::WrongType(name))
    }

    /// All names in the order of registration.
    pub fn names(&self) -> &[&'static str] {
        &self.order
    }
}
