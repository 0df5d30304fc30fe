//! Starting a cell's processes, and waiting until they serve.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use laurelstile_lab::error::LabError;
use laurelstile_lab::process::NodeProcess;
use laurelstile_lab::relay::Relay;
use laurelstiled::settings::{AgentSettings, GatewaySettings, Node, PeerSettings, Role, Settings};
use tokio::time::Instant;

use super::{AgentNode, Cell, GatewayNode, HollowNodes, OPERATOR_TOKEN, gateway_name, host};
use crate::hollow::{HollowAgent, HollowSettings};

const SECRET: &str = "the lab's shared secret";
const FIRST_GATEWAY_HOST: u8 = 10;
const FIRST_AGENT_HOST: u8 = 30;
/// How long a process may take to serve, and a configuration to be in force.
pub(super) const START_PATIENCE: Duration = Duration::from_secs(60);
const POLL_PAUSE: Duration = Duration::from_millis(25);

impl Cell {
    pub(super) fn start_hollow(&self) -> Result<HollowNodes, LabError> {
        let metrics = self.block.free_address(FIRST_AGENT_HOST)?;
        let mut agents = Vec::new();
        let mut settings = HollowSettings {
            metrics,
            agents: Vec::new(),
        };
        for index in 0..self.plan.backends {
            let name = format!("hollow-{}", index + 1);
            let listen = self
                .block
                .free_address(host(FIRST_AGENT_HOST, index % 200))?;
            settings.agents.push(HollowAgent {
                node: self.node(&name, self.zone(index)),
                listen,
            });
            agents.push((name, listen));
        }
        let path = self.directory.path().join("hollow.json");
        let text = serde_json::to_vec_pretty(&settings)?;
        std::fs::write(&path, text).map_err(|source| LabError::Write {
            path: path.clone(),
            source,
        })?;
        let arguments = vec!["hollow".into(), "--settings".into(), path.into()];
        let process = NodeProcess::start("hollow", self.directory.path(), arguments)?;
        Ok(HollowNodes {
            process,
            metrics: format!("http://{metrics}"),
            agents,
        })
    }

    pub(super) async fn start_agent(&self, index: usize) -> Result<AgentNode, LabError> {
        let name = format!("worker-{}", index + 1);
        let host = host(FIRST_AGENT_HOST, index);
        let agent = self.block.free_address(host)?;
        let metrics = self.block.free_address(host)?;
        let backend_address = self.block.free_address(host)?;
        let backend = self.start_backend(&name, backend_address)?;
        let settings = Settings {
            node: self.node(&name, self.zone(index)),
            log_level: self.plan.log_level,
            threads: 1,
            role: Role::Agent(AgentSettings {
                listen: agent,
                metrics,
                backend: format!("http://{backend_address}"),
            }),
        };
        let process = self.start_daemon(&name, &settings)?;
        let (dialed, relay) = if self.plan.relays {
            let dialed = self.block.free_address(host)?;
            (dialed, Some(Relay::start(dialed, agent).await?))
        } else {
            (agent, None)
        };
        Ok(AgentNode {
            process,
            backend,
            relay,
            metrics: format!("http://{metrics}"),
            backend_address: format!("http://{backend_address}"),
            dialed,
            agent,
        })
    }

    pub(super) fn start_backend(
        &self,
        name: &str,
        address: SocketAddr,
    ) -> Result<NodeProcess, LabError> {
        let backend_name = format!("{name}-backend");
        let mut arguments = vec![
            "backend".into(),
            "--listen".into(),
            address.to_string().into(),
            "--name".into(),
            name.into(),
        ];
        if self.plan.histories {
            arguments.push("--history".into());
            arguments.push(self.history_of(&backend_name).into());
        }
        NodeProcess::start(&backend_name, self.directory.path(), arguments)
    }

    pub(super) async fn start_gateways(&mut self, platform: SocketAddr) -> Result<(), LabError> {
        let mut addresses = Vec::new();
        for index in 0..self.plan.gateways {
            let host = host(FIRST_GATEWAY_HOST, index);
            let mesh = self.block.free_address(host)?;
            addresses.push((self.block.free_address(host)?, mesh));
        }
        for index in 0..self.plan.gateways {
            let name = gateway_name(index);
            let source = self.block.ip(host(FIRST_GATEWAY_HOST, index));
            let (api, mesh) = addresses[index];
            let mut peers = Vec::new();
            for (other, (_, mesh)) in addresses.iter().enumerate().skip(index + 1) {
                peers.push(PeerSettings {
                    name: gateway_name(other),
                    address: self.mesh_link(index, other, *mesh).await?,
                });
            }
            let settings = Settings {
                node: self.node(&name, self.zone(index)),
                log_level: self.plan.log_level,
                threads: 1,
                role: Role::Gateway(GatewaySettings {
                    api,
                    mesh,
                    source: Some(source),
                    peers,
                    platform: format!("http://{platform}"),
                    operator_token: OPERATOR_TOKEN.to_owned(),
                    max_body_bytes: 16 * 1024 * 1024,
                    configuration_poll_millis: 300,
                    machines_poll_millis: 500,
                }),
            };
            let process = self.start_daemon(&name, &settings)?;
            self.gateways.push(GatewayNode {
                process,
                api: format!("http://{api}"),
                source,
                mesh,
            });
        }
        Ok(())
    }

    async fn mesh_link(
        &mut self,
        dialer: usize,
        dialed: usize,
        mesh: SocketAddr,
    ) -> Result<SocketAddr, LabError> {
        if !self.plan.relays {
            return Ok(mesh);
        }
        let listen = self.block.free_address(host(FIRST_GATEWAY_HOST, dialed))?;
        let relay = Relay::start(listen, mesh).await?;
        self.mesh_relays.push((dialer, dialed, relay));
        Ok(listen)
    }

    pub(super) fn node(&self, name: &str, zone: &str) -> Node {
        Node {
            name: name.to_owned(),
            zone: zone.into(),
            secret: SECRET.to_owned(),
            history: self.plan.histories.then(|| self.history_of(name)),
        }
    }

    pub(super) fn start_daemon(
        &self,
        name: &str,
        settings: &Settings,
    ) -> Result<NodeProcess, LabError> {
        let path = self.directory.path().join(format!("{name}.json"));
        let text = serde_json::to_vec_pretty(settings)?;
        std::fs::write(&path, text).map_err(|source| LabError::Write {
            path: path.clone(),
            source,
        })?;
        let arguments = vec!["daemon".into(), "--settings".into(), path.into()];
        NodeProcess::start(name, self.directory.path(), arguments)
    }

    pub(super) async fn await_platform(&self) -> Result<(), LabError> {
        let uri = format!("{}/machines", self.platform_address);
        self.await_success(&uri, "the platform").await
    }

    pub(super) async fn await_gateways(&self) -> Result<(), LabError> {
        for gateway in &self.gateways {
            let uri = format!("{}/health/live", gateway.api);
            self.await_success(&uri, "a gateway").await?;
        }
        Ok(())
    }

    pub(super) async fn await_success(
        &self,
        uri: &str,
        what: &'static str,
    ) -> Result<(), LabError> {
        let end = Instant::now() + START_PATIENCE;
        while Instant::now() < end {
            let response = self.http.exchange(Method::GET, uri, &[], Vec::new()).await;
            if response.is_ok_and(|response| response.status.is_success()) {
                return Ok(());
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
        Err(LabError::TimedOut { what })
    }
}
