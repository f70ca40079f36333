package medlarroute.core

import kotlinx.serialization.Serializable

/** All settings of an entry instance, as read from one YAML file. Each part of the system has its own section. */
@Serializable
public data class Settings(
    public val instance: InstanceSettings = InstanceSettings(),
    public val callers: CallerSettings = CallerSettings(),
    public val operators: OperatorSettings = OperatorSettings(),
    public val peers: PeerSettings = PeerSettings(),
    public val platform: PlatformSettings = PlatformSettings(),
    public val backends: BackendSettings = BackendSettings(),
    public val engine: EngineSettings = EngineSettings(),
    public val registry: RegistrySettings = RegistrySettings(),
    public val drain: DrainSettings = DrainSettings(),
)

/**
 * Who the instance is.
 *
 * @property quotaSlot number of this instance among the entry instances of its failure domain, from 0.
 * @property instancesInFailureDomain entry instances that the failure domain has at most.
 * @property failureDomains failure domains that share the quotas; the same in all instances.
 */
@Serializable
public data class InstanceSettings(
    public val id: String = "local",
    public val failureDomain: String = "local",
    public val rack: String = "",
    public val quotaSlot: Int = 0,
    public val instancesInFailureDomain: Int = 1,
    public val failureDomains: Int = 1,
)

/**
 * Port for callers.
 *
 * @property tokensFile file with one `caller token` pair a line; empty: the header `X-Caller` names the caller.
 */
@Serializable
public data class CallerSettings(
    public val host: String = "127.0.0.1",
    public val port: Int = 8080,
    public val tokensFile: String = "",
    public val maxBodyBytes: Long = 8_388_608,
    public val maxPayloadBytes: Int = 65_536,
)

/** Port for operators. */
@Serializable
public data class OperatorSettings(
    public val host: String = "127.0.0.1",
    public val port: Int = 8081,
)

/**
 * Port for other entry instances, and how they are contacted.
 *
 * @property fanOut peers that get a heartbeat in each interval.
 * @property deadAfterMs time without contact after which a peer counts as unreachable.
 * @property heartbeatBytes upper bound of the encoded size of one heartbeat. With 3 peers in each second, 12 messages
 * of this size, sent and received, and their HTTP/2 frames stay within 4 KB/s.
 * @property pingIntervalMs interval of HTTP/2 PINGs on an idle connection. A connection whose PING has no reply within
 *   it is given up together with the forwards on it, so it is longer than the pauses of a healthy process.
 * @property seeds `host:port` of entry instances to contact at the start, for a start while the platform is down.
 */
@Serializable
public data class PeerSettings(
    public val host: String = "127.0.0.1",
    public val port: Int = 8082,
    public val heartbeatIntervalMs: Long = 1_000,
    public val fanOut: Int = 3,
    public val deadAfterMs: Long = 5_000,
    public val heartbeatBytes: Int = 240,
    public val connectTimeoutMs: Long = 500,
    public val pingIntervalMs: Long = 2_000,
    public val seeds: List<String> = emptyList(),
)

/**
 * The platform's service.
 *
 * @property url base URL, for example `http://127.0.0.1:7000`; empty: no platform, rules come from the embedding code.
 * @property timeoutMs time after which the outcome of one request counts as unknown.
 * @property maxBackoffMs longest wait between two attempts while the platform fails.
 * @property claimTimeoutMs time after which a claim for an `Idempotency-Key` is given up as unknown.
 */
@Serializable
public data class PlatformSettings(
    public val url: String = "",
    public val timeoutMs: Long = 1_000,
    public val listIntervalMs: Long = 2_000,
    public val rulesIntervalMs: Long = 1_000,
    public val maxBackoffMs: Long = 10_000,
    public val claimTimeoutMs: Long = 2_000,
)

/**
 * Connections to backend servers.
 *
 * @property pingIntervalMs interval of HTTP/2 PINGs on a connection.
 * @property silentAfterMs time without any byte, while requests are outstanding, after which a connection is given up.
 * @property maxDecisionAgeMs age beyond which a start is not sent any more.
 */
@Serializable
public data class BackendSettings(
    public val connectTimeoutMs: Long = 500,
    public val pingIntervalMs: Long = 1_000,
    public val silentAfterMs: Long = 3_000,
    public val maxDecisionAgeMs: Long = 500,
)

/** How a stopping instance ends. [limitMs] is at least the longest timeout of a job, so that no request is cut. */
@Serializable
public data class DrainSettings(
    public val limitMs: Long = 65_000,
)
