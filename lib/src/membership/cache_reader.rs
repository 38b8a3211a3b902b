use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ragwortgrade_policy::event::Event;
use ragwortgrade_schema::Name;

use super::Endpoint;
use crate::Node;
use crate::worker::Worker;

const PERIOD: Duration = Duration::from_secs(1);
/// Engines queried per period, so that the cost of a daemon does not grow with the fleet. Reading
/// all 91 engines of a data centre takes 23 s. That is fast enough because cache events only refine
/// the estimate of where a prefix is cached, which is based on where this daemon sent it.
const ENGINES_PER_PERIOD: usize = 4;

/// Reads the cache events of this data centre's engines in round-robin order.
#[derive(Debug)]
pub struct CacheReader {
    _worker: Worker,
}

/// Position in one engine's sequence of cache events.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    incarnation: u64,
    /// Sequence number of the last event read; the next read continues after it.
    next: u64,
}

impl CacheReader {
    /// Spawns the reader's thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn spawn(node: Arc<Node>) -> io::Result<Self> {
        let mut positions = HashMap::new();
        let mut offset = 0;
        let worker = Worker::spawn("cache-reader", move || {
            read_batch(&node, &mut positions, &mut offset);
            PERIOD
        })?;
        Ok(Self { _worker: worker })
    }
}

/// Reads the next few engines, starting at `offset` in the list of engines, and advances `offset`.
fn read_batch(node: &Node, positions: &mut HashMap<Name, Position>, offset: &mut usize) {
    let engines = local_engines(node);
    positions.retain(|id, _| engines.iter().any(|engine| engine.id == *id));
    let count = engines.len().min(ENGINES_PER_PERIOD);
    let selected: Vec<(&Endpoint, Position)> = (0..count)
        .filter_map(|step| engines.get((*offset + step) % engines.len()))
        .map(|engine| (engine, position_of(engine, positions)))
        .collect();
    *offset = offset.wrapping_add(count);
    thread::scope(|scope| {
        let reads: Vec<_> = selected
            .into_iter()
            .map(|(engine, position)| scope.spawn(move || read(node, engine, position)))
            .collect();
        for read in reads {
            if let Ok(Some((id, position))) = read.join() {
                positions.insert(id, position);
            }
        }
    });
}

fn local_engines(node: &Node) -> Vec<Endpoint> {
    let own = &node.settings.daemon.data_centre;
    let is_local_engine =
        |endpoint: &Endpoint| endpoint.service.is_none() && endpoint.data_centre == *own;
    node.directory
        .all()
        .into_iter()
        .filter(is_local_engine)
        .collect()
}

/// Returns the position from which to read an engine; a restarted engine is read from the start,
/// because it numbers its events anew.
fn position_of(engine: &Endpoint, positions: &HashMap<Name, Position>) -> Position {
    let start = Position {
        incarnation: engine.incarnation,
        next: 0,
    };
    let known = positions.get(&engine.id).copied();
    known
        .filter(|position| position.incarnation == engine.incarnation)
        .unwrap_or(start)
}

/// Reads the new cache events of an engine; returns its name and the next position to read, or
/// `None` if the engine did not answer.
fn read(node: &Node, engine: &Endpoint, position: Position) -> Option<(Name, Position)> {
    let answer = node
        .engines
        .cache_events(&engine.address, position.next)
        .ok()?;
    for event in answer.events {
        node.observe(Event::Cached {
            engine: engine.id.clone(),
            event,
        });
    }
    // The VM list lags behind a restart, so a lower position also means that the engine restarted.
    let next = if answer.next < position.next {
        0
    } else {
        answer.next
    };
    Some((engine.id.clone(), Position { next, ..position }))
}
