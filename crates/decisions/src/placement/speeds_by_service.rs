//! Comparison of the endpoints' speeds.

use {
    crate::{
        placement::Dispatcher,
        speeds::{ServiceSpeeds, SpeedSample},
    },
    chestnutrun_types::ServiceId,
    indexmap::IndexMap,
};

impl Dispatcher {
    /// Compares the speeds of each service's endpoints, and tells the held jobs how fast
    /// the fastest one is.
    pub(super) fn compare_speeds(&mut self) {
        let mut samples: IndexMap<&ServiceId, Vec<SpeedSample>> = IndexMap::new();
        for view in self.views.values() {
            if let Some((info, sample)) = view.usable().zip(view.speed_sample()) {
                samples.entry(&info.service).or_default().push(sample);
            }
        }
        let compared = samples.into_iter().map(|(service, samples)| {
            let speeds = ServiceSpeeds::new(samples.into_iter());
            (service.clone(), speeds)
        });
        self.speeds = compared.collect();
        for job in self.jobs.values_mut() {
            let speeds = self.speeds.get(&job.route.service);
            let fastest = speeds.copied().unwrap_or_default().fastest();
            job.objective.set_fastest(fastest);
        }
    }

    /// Returns the slowness of a service's fastest endpoint.
    pub(super) fn fastest(&self, service: &ServiceId) -> f32 {
        let speeds = self.speeds.get(service);
        speeds.copied().unwrap_or_default().fastest()
    }
}
