package medlarroute.core

import kotlinx.serialization.Serializable

/** All settings of an entry instance, read from one YAML file with a section for each part of the system. */
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
    public val log: LogSettings = LogSettings(),
    public val report: ReportSettings = ReportSettings(),
)

/**
 * Identity of the instance.
 *
 * @property instancesInFailureDomain upper bound of the entry instances in the failure domain.
 * @property failureDomains failure domains that share the quotas; the same in all instances.
 */
@Serializable
public data class InstanceSettings(
    @Setting("Name of this entry instance, stable across restarts, without dot and slash")
    public val id: String = "local",
    @Setting("Failure domain in which this instance runs, without dot and slash")
    public val failureDomain: String = "local",
    @Setting("Rack in which this instance runs; empty if unknown")
    public val rack: String = "",
    @Setting("Entry instances that the failure domain has at most", min = 1.0)
    public val instancesInFailureDomain: Int = 1,
    @Setting("Failure domains that share the quotas", min = 1.0)
    public val failureDomains: Int = 1,
)

/**
 * Port for callers.
 *
 * @property tokensFile file with one `caller token` pair per line; if empty, the header `X-Caller` names the caller.
 */
@Serializable
public data class CallerSettings(
    @Setting("Address on which callers are served")
    public val host: String = "127.0.0.1",
    @Setting("Port on which callers are served; 0 picks a free one", min = 0.0, max = 65535.0)
    public val port: Int = 8080,
    @Setting("File with one pair of caller and token a line; empty: the header X-Caller names the caller")
    public val tokensFile: String = "",
    @Setting("Largest body of a request", min = 1024.0)
    public val maxBodyBytes: Long = 8_388_608,
    @Setting("Largest payload of one task", min = 1.0)
    public val maxPayloadBytes: Int = 65_536,
    public val tls: TlsSettings = TlsSettings(),
)

/**
 * TLS on the port for callers; off if no file is set. Otherwise either both PEM files or both key store files are set.
 *
 * @property keyStoreFile key store in JKS or PKCS #12 format.
 * @property keyStorePasswordFile file that holds the password of the key store and of its key.
 */
@Serializable
public data class TlsSettings(
    @Setting("PEM file with the chain of certificates; nothing set: no TLS")
    public val certificateFile: String = "",
    @Setting("PEM file with the private key that belongs to the certificate")
    public val privateKeyFile: String = "",
    @Setting("Key store in JKS or PKCS #12 format, instead of PEM files")
    public val keyStoreFile: String = "",
    @Setting("File that holds the password of the key store and of its key")
    public val keyStorePasswordFile: String = "",
)

/** Port for operators. */
@Serializable
public data class OperatorSettings(
    @Setting("Address on which operators are served")
    public val host: String = "127.0.0.1",
    @Setting("Port on which operators are served; 0 picks a free one", min = 0.0, max = 65535.0)
    public val port: Int = 8081,
)

/**
 * Port for other entry instances, and how they are contacted.
 *
 * @property fanOut peers that get a heartbeat in each interval.
 * @property deadAfterMs time without contact after which a peer counts as unreachable.
 * @property heartbeatBytes upper bound of the encoded size of one heartbeat. With 3 peers in each second, 12 messages
 * of this size, sent and received, and their HTTP/2 frames stay within 4 KB/s.
 * @property silentAfterMs time without a reply to a PING after which a connection is closed and the forwards on it
 *   fail. It must be longer than the pauses of a healthy process.
 * @property advertisedPort port that the peers connect to, if a port mapping makes it differ from [port]; 0: [port].
 * @property seeds `host:port` of entry instances to contact at the start, in case the platform is down then.
 */
@Serializable
public data class PeerSettings(
    @Setting("Address on which other entry instances are served")
    public val host: String = "127.0.0.1",
    @Setting("Port on which other entry instances are served; 0 picks a free one", min = 0.0, max = 65535.0)
    public val port: Int = 8082,
    @Setting("Time between two heartbeats", min = 10.0)
    public val heartbeatIntervalMs: Long = 1_000,
    @Setting("Peers that get a heartbeat in each interval", min = 1.0, max = 64.0)
    public val fanOut: Int = 3,
    @Setting("Time without contact after which a peer counts as unreachable", min = 20.0)
    public val deadAfterMs: Long = 5_000,
    @Setting("Upper bound of the size of one heartbeat", min = 200.0)
    public val heartbeatBytes: Int = 240,
    @Setting("Time for connecting to a peer", min = 1.0)
    public val connectTimeoutMs: Long = 500,
    @Setting("Time without a reply to a PING after which a connection to a peer is given up", min = 10.0)
    public val silentAfterMs: Long = 3_000,
    @Setting("Entry instances to contact at the start, as host:port")
    public val seeds: List<String> = emptyList(),
    @Setting(
        "Port that the peers connect to, where it differs from the one served; 0: the same",
        min = 0.0,
        max = 65535.0,
    )
    public val advertisedPort: Int = 0,
)

/**
 * The platform's service.
 *
 * @property url base URL, for example `http://127.0.0.1:7000`; empty: no platform, rules come from the embedding code.
 * @property timeoutMs time after which a request times out, so that its outcome is unknown.
 * @property maxBackoffMs longest delay between two attempts while the platform fails.
 * @property claimTimeoutMs time after which a claim for an `Idempotency-Key` times out, so that its outcome is unknown.
 */
@Serializable
public data class PlatformSettings(
    @Setting("Base URL of the platform's service; empty: none, rules come from a file")
    public val url: String = "",
    @Setting("Time after which a request to the platform is given up", min = 1.0)
    public val timeoutMs: Long = 1_000,
    @Setting("Time between two polls of the list of instances", min = 10.0)
    public val listIntervalMs: Long = 2_000,
    @Setting("Time between two polls of the rules", min = 10.0)
    public val rulesIntervalMs: Long = 1_000,
    @Setting("Longest wait between two attempts while the platform fails", min = 10.0)
    public val maxBackoffMs: Long = 10_000,
    @Setting("Time after which a claim of an Idempotency-Key is given up", min = 1.0)
    public val claimTimeoutMs: Long = 2_000,
)

/**
 * Connections to backend servers.
 *
 * @property pingIntervalMs interval of HTTP/2 PINGs on a connection.
 * @property silentAfterMs time without received bytes, while requests are outstanding, after which a connection is
 *   closed.
 * @property maxDecisionAgeMs age beyond which a start is no longer sent.
 * @property leaseMs longest lease requested at once. Leases of longer tasks are renewed, so that the tasks of a dead
 *   entry instance end soon.
 * @property threads threads that exchange messages with backend servers.
 */
@Serializable
public data class BackendSettings(
    @Setting("Time after which an attempt to connect to a backend server is given up", min = 1.0)
    public val connectTimeoutMs: Long = 500,
    @Setting("Time between two HTTP/2 PINGs on a connection", min = 10.0)
    public val pingIntervalMs: Long = 1_000,
    @Setting("Time without any byte, while requests are outstanding, after which a connection is given up", min = 10.0)
    public val silentAfterMs: Long = 3_000,
    @Setting("Age of a decision beyond which a start is not sent any more", min = 1.0)
    public val maxDecisionAgeMs: Long = 500,
    @Setting("Longest lease asked for at once; longer tasks have theirs renewed", min = 100.0)
    public val leaseMs: Long = 5_000,
    @Setting("Threads that exchange messages with backend servers", min = 1.0, max = 64.0)
    public val threads: Int = 2,
)

/**
 * Shutdown of an instance.
 *
 * @property limitMs at least the longest timeout of a job, so that no request is aborted.
 * @property settleMs time for the load balancer to notice that the readiness check fails.
 */
@Serializable
public data class DrainSettings(
    @Setting("Longest time for which a stopping instance waits for running jobs and open requests", min = 1.0)
    public val limitMs: Long = 65_000,
    @Setting("Time for which requests are still taken after the readiness check fails", min = 0.0)
    public val settleMs: Long = 1_000,
)

/** Log lines on standard output. */
@Serializable
public data class LogSettings(
    @Setting("Form of log lines: TEXT or JSON")
    public val format: LogFormat = LogFormat.TEXT,
    @Setting("Least severe level that is written: ERROR, WARN, INFO or DEBUG")
    public val level: LogLevel = LogLevel.INFO,
)

/** Format of log lines. */
public enum class LogFormat { TEXT, JSON }

/** Severity of log lines. */
public enum class LogLevel { ERROR, WARN, INFO, DEBUG }

/** The objectives of the burn-rate report. */
@Serializable
public data class ReportSettings(
    @Setting("Service-level objectives; the first that matches a job counts it")
    public val objectives: List<ObjectiveSettings> = emptyList(),
)

/** Target share of the jobs of a caller and kind that complete in time. An empty [caller] or [kind] matches any. */
@Serializable
public data class ObjectiveSettings(
    @Setting("Caller whose jobs are counted; empty: any")
    public val caller: String = "",
    @Setting("Kind of the jobs that are counted; empty: any")
    public val kind: String = "",
    @Setting("Share of jobs that complete in time", min = 0.5, max = 0.99999)
    public val share: Double = 0.99,
    @Setting("Latency within which a job counts as complete in time", min = 1.0)
    public val latencyMs: Long = 1_000,
)
