//! The table of services by name.

use std::any::Any;
use std::collections::HashMap;
use std::sync::Arc;

use crate::error::{Error, Result};

/// Services by name, in the order in which they were registered.
#[derive(Default)]
pub struct ServiceRegistry {
    services: HashMap<&'static str, Arc<dyn Any + Send + Sync>>,
    order: Vec<&'static str>,
}

impl ServiceRegistry {
    /// An empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers `service` under `name` and returns the shared handle.
    ///
    /// # Errors
    /// [`Error::Taken`] when the name is in use.
    pub fn register<S: Any + Send + Sync>(
        &mut self,
        name: &'static str,
        service: S,
    ) -> Result<Arc<S>> {
        self.share(name, Arc::new(service))
    }

    /// Registers a handle that is shared already.
    ///
    /// # Errors
    /// [`Error::Taken`] when the name is in use.
    pub fn share<S: Any + Send + Sync>(
        &mut self,
        name: &'static str,
        handle: Arc<S>,
    ) -> Result<Arc<S>> {
        if self.services.contains_key(name) {
            return Err(Error::Taken(name));
        }
        self.services.insert(name, handle.clone());
        self.order.push(name);
        Ok(handle)
    }

    /// Finds the service `name`.
    ///
    /// # Errors
    /// [`Error::Missing`] or [`Error::WrongType`].
    pub fn find<S: Any + Send + Sync>(&self, name: &'static str) -> Result<Arc<S>> {
        let service = self.services.get(name).ok_or(Error::Missing(name))?;
        service
            .clone()
            .downcast::<S>()
            .map_err(|_| Error::WrongType(name))
    }

    /// Names in the order of registration.
    pub fn names(&self) -> &[&'static str] {
        &self.order
    }
}
