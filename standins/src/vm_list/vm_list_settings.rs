use ragwortgrade_schema::platform::Vm;

/// Settings of the VM list.
#[derive(Clone, Debug)]
pub struct VmListSettings {
    /// Listen address as `ip:port`; port 0 selects a free port.
    pub address: String,
    /// Delay until a change is visible, in milliseconds.
    pub lag_ms: u64,
    /// Initial VMs.
    pub vms: Vec<Vm>,
}

impl Default for VmListSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            lag_ms: 500,
            vms: Vec::new(),
        }
    }
}
