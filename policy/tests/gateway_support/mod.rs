//! Builders for tests of the gateway's decisions.
#![allow(dead_code, reason = "each test file uses some of the builders")]

use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    DeliverySemantics, Endpoint, EndpointState, EngineLimits, EngineWork, Engines, Part, Placement,
    Prompt, Refusal, Route, Speed, Stage, WaitLimit,
};
use ragwortgrade_schema::Name;

/// Length of the part that all prompts share.
const SYSTEM_TOKENS: u32 = 500;
/// Length of a document that some prompts share.
const DOCUMENT_TOKENS: u32 = 5_000;

/// Endpoints of a fleet and what one daemon knows about their work.
pub struct Fleet {
    pub engines: Engines,
    endpoints: Vec<Endpoint>,
}

impl Fleet {
    pub fn new(prefill: usize, decode: usize) -> Self {
        let prefill_engines = (0..prefill).map(|number| engine("prefill", number, Stage::Prefill));
        let decoders = (0..decode).map(|number| engine("decode", number, Stage::Decode));
        Self {
            engines: Engines::open(Speed::default()),
            endpoints: prefill_engines.chain(decoders).collect(),
        }
    }

    /// Creates a large fleet whose engines alternate between two data centres.
    pub fn of_two_data_centres(prefill: usize, decode: usize) -> Self {
        let mut fleet = Self::new(prefill, decode);
        for (number, endpoint) in fleet.endpoints.iter_mut().enumerate() {
            endpoint.data_centre = if number % 2 == 0 { "a" } else { "b" }.into();
        }
        fleet
    }

    /// Sets the number of requests that each engine runs at once.
    pub fn with_slots(mut self, slots: u32) -> Self {
        for endpoint in &mut self.endpoints {
            endpoint.slots = slots;
        }
        self
    }

    /// Records that a peer has the same work on each of these engines.
    pub fn report_work(&mut self, engines: &[&str], work: EngineWork, now: Instant) {
        let work = engines.iter().map(|name| ((*name).into(), work)).collect();
        self.engines.update_peer(&"peer".into(), work, now);
    }

    pub fn place(
        &self,
        prompt: &Prompt,
        route: &Route,
        now: Instant,
    ) -> Result<Placement, Refusal> {
        self.place_excluding(prompt, route, &[], now)
    }

    /// Places a request that arrived in a given data centre.
    pub fn place_from(&self, data_centre: &str, prompt: &Prompt, route: &Route) -> Placement {
        let candidates: Vec<&Endpoint> = self.endpoints.iter().collect();
        let time_left = Duration::from_secs(10);
        let now = Instant::from_millis(1_000);
        let (limits, data_centre) = (limits(), data_centre.into());
        let placement = self.engines.place(
            &candidates,
            prompt,
            route,
            &limits,
            time_left,
            WaitLimit::default(),
            &[],
            &data_centre,
            now,
        );
        placement.unwrap()
    }

    /// Chooses the decode engine for a placement whose remote prefill has ended.
    pub fn decoder_after_prefill(
        &self,
        placement: &Placement,
        prompt: &Prompt,
        excluded: &[Name],
        now: Instant,
    ) -> Option<Name> {
        let candidates: Vec<&Endpoint> = self.endpoints.iter().collect();
        let prefill = placement.prefill.as_ref().unwrap();
        let prefill = candidates.iter().find(|it| it.id == *prefill).unwrap();
        let (limits, data_centre) = (limits(), Name::from("a"));
        self.engines.decoder_after_prefill(
            placement,
            prefill,
            &candidates,
            prompt,
            &route(2),
            &limits,
            excluded,
            &data_centre,
            now,
        )
    }

    pub fn place_excluding(
        &self,
        prompt: &Prompt,
        route: &Route,
        tried: &[Name],
        now: Instant,
    ) -> Result<Placement, Refusal> {
        self.place_within(prompt, route, WaitLimit::default(), tried, now)
    }

    pub fn place_within(
        &self,
        prompt: &Prompt,
        route: &Route,
        wait_limit: WaitLimit,
        tried: &[Name],
        now: Instant,
    ) -> Result<Placement, Refusal> {
        let candidates: Vec<&Endpoint> = self.endpoints.iter().collect();
        let time_left = Duration::from_secs(10);
        self.engines.place(
            &candidates,
            prompt,
            route,
            &limits(),
            time_left,
            wait_limit,
            tried,
            &"a".into(),
            now,
        )
    }
}

pub fn endpoint(id: &str, service: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: service.into(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        slots: 8,
        state: EndpointState::Ready,
        cold_remaining: Duration::ZERO,
        stage: None,
        started_ms: None,
        is_spot: false,
        leaves_in: None,
    }
}

fn engine(kind: &str, number: usize, stage: Stage) -> Endpoint {
    Endpoint {
        stage: Some(stage),
        ..endpoint(&format!("{kind}-{number}"), "models")
    }
}

pub fn limits() -> EngineLimits {
    EngineLimits {
        sequences_max: 64,
        kv_tokens: 800_000,
        kv_token_bytes: 35_136.0,
        link_mbps: 550_000.0,
        event_tokens: 10,
        handle_ttl: Duration::from_secs(5),
    }
}

/// Creates a prompt of `tokens`. A document is shared with other prompts.
pub fn prompt(tokens: u32, document: Option<u64>) -> Prompt {
    let mut parts = vec![Part {
        id: 1,
        tokens: SYSTEM_TOKENS.min(tokens / 2),
    }];
    parts.extend(document.map(|id| Part {
        id,
        tokens: DOCUMENT_TOKENS.min(tokens / 2),
    }));
    parts.push(Part {
        id: u64::MAX,
        tokens: tokens / 2,
    });
    Prompt {
        tokens,
        output_tokens_max: 100,
        output_tokens_hint: Some(20),
        parts,
        ..Prompt::default()
    }
}

pub fn route(rank: u8) -> Route {
    Route {
        name: "route".into(),
        host: "shop.example".into(),
        prefix: "/a/".into(),
        delivery: DeliverySemantics::Stream,
        time_limit: Duration::from_secs(10),
        target: Duration::from_millis(500),
        pause_target: Some(Duration::from_millis(250)),
        rank,
        attempts_max: 1,
        is_public: false,
        traffic_split: vec![("models".into(), 1)],
    }
}
