package medlarroute.dispatch

import kotlinx.serialization.Serializable

/**
 * A backend server as listed by the platform.
 *
 * @property incarnation identifies the process by its start time; 0 if unknown. A new process has none of the state of
 *   the previous one.
 * @property rack the rack that the backend server is in, one of the [labels]; null if unknown. A rack may lose power
 *   as a whole.
 * @property coldLeftMs for how long it remains slow after its start, in milliseconds; 0 if it is not.
 * @property draining whether it is shutting down and accepts no new tasks.
 */
@Serializable
public data class BackendInfo(
    public val id: String,
    public val host: String,
    public val port: Int,
    public val failureDomain: String,
    public val service: ServiceId,
    public val capacity: Resources,
    public val labels: List<String>,
    public val incarnation: Long,
    public val draining: Boolean,
    public val rack: String? = null,
    public val coldLeftMs: Long = 0,
) {
    /** Whether [other] describes the same process; an unknown incarnation of [other] matches any. */
    public fun isSameProcess(other: BackendInfo): Boolean =
        host == other.host && port == other.port && (incarnation == other.incarnation || other.incarnation == 0L)

    internal val address: String get() = "$host:$port"
}
