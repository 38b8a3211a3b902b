use std::io;
use std::sync::Arc;
use std::time::Duration;

use ragwortgrade_policy::rendezvous;

use super::Table;
use crate::Node;
use crate::platform::VmList;
use crate::worker::Worker;

const PERIOD: Duration = Duration::from_secs(1);
/// Two daemons per data centre read the list, so that a leaving endpoint is detected even if one of
/// them is paused.
const READERS: usize = 2;
/// Periods between the reads of each other daemon. The list of 1,130 VMs is about 170 KB, so only
/// the readers of a data centre read it every second.
const NON_READER_PERIODS: u32 = 120;
/// Key of the rendezvous hash that selects the readers.
const READER_KEY: &str = "vm-list";

/// Reads the VM list: every second if this daemon is one of the readers, otherwise rarely.
#[derive(Debug)]
pub struct VmListReader {
    _worker: Worker,
}

impl VmListReader {
    /// Spawns the reader's thread, which starts with a read.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn spawn(node: Arc<Node>, table: Arc<Table>, list: Arc<dyn VmList>) -> io::Result<Self> {
        let mut periods_left = 0;
        let worker = Worker::spawn("vm-list-reader", move || {
            if periods_left == 0 || table.take_resumed() || is_reader(&node, &table) {
                periods_left = if read(&table, &*list) {
                    NON_READER_PERIODS
                } else {
                    1
                };
            }
            periods_left -= 1;
            PERIOD
        })?;
        Ok(Self { _worker: worker })
    }
}

fn is_reader(node: &Node, table: &Table) -> bool {
    let daemons = table.local_daemons();
    rendezvous::is_among_highest(&node.settings.daemon.id, READER_KEY, &daemons, READERS)
}

/// Reads the list once; returns whether that succeeded.
fn read(table: &Table, list: &dyn VmList) -> bool {
    match list.vms() {
        Ok(vms) => {
            table.merge_vm_list(&vms);
            true
        }
        Err(error) => {
            log::debug!(error:% = error; "cannot read the VM list");
            false
        }
    }
}
