use ragwortgrade_schema::platform::Vm;

/// Settings of the list of VMs.
#[derive(Clone, Debug)]
pub struct VmListSettings {
    /// `ip:port`; port 0 lets the system choose.
    pub address: String,
    /// Time until a change is shown, in milliseconds.
    pub lag_ms: u64,
    /// VMs at the start.
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
