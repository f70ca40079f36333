package medlarroute.dispatch

/**
 * Settings of [PeerNetwork]. Times are in milliseconds.
 *
 * @property heartbeatIntervalMs heartbeat interval.
 * @property followerHeartbeatIntervalMs heartbeat interval of instances that own nothing in deployments above
 *   [fullMeshSize], where most messages are heartbeats.
 * @property distantHeartbeatIntervalMs heartbeat interval between instances that do not depend on each other in
 *   deployments above [fullMeshSize]. Only the choice of an owner for jobs that overflow depends on these heartbeats.
 * @property redialAfterMs time without a message after which a new connection is opened: more than two heartbeat
 *   intervals.
 * @property silentMs time without a message after which a peer no longer counts as alive; leaves a new connection time
 *   to receive a heartbeat.
 * @property redialPauseMs minimum time between two connection attempts to a peer. The senior side waits twice as long
 *   while there is no connection, so that usually only one side dials.
 * @property fullMeshSize maximum number of peers that are all monitored. In larger deployments only the preferred
 *   candidates for ownership and the owners are, so that the load of an instance does not grow with the deployment.
 * @property monitoredPreferred number of preferred candidates of the whole deployment that are monitored.
 * @property monitoredInDomain number of available candidates of the own failure domain that are monitored, together
 *   with those preferred to them, which may become available again.
 */
public data class PeerNetworkSettings(
    val heartbeatIntervalMs: Long = 100,
    val followerHeartbeatIntervalMs: Long = 200,
    val distantHeartbeatIntervalMs: Long = 1_000,
    val redialAfterMs: Long = 250,
    val silentMs: Long = 400,
    val redialPauseMs: Long = 200,
    val connectTimeoutMs: Long = 400,
    val fullMeshSize: Int = 12,
    val monitoredPreferred: Int = 3,
    val monitoredInDomain: Int = 2,
) {
    /** Time without a message after which a peer with this heartbeat interval no longer counts as alive. */
    internal fun silentMs(intervalMs: Long): Long = silentMs + 2 * (intervalMs - heartbeatIntervalMs)

    /** Time without a message after which a new connection to a peer with this heartbeat interval is opened. */
    internal fun redialAfterMs(intervalMs: Long): Long = redialAfterMs + intervalMs - heartbeatIntervalMs
}
