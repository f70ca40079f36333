package medlarroute.dispatch

import kotlinx.serialization.Serializable

/**
 * A backend server as the platform lists it.
 *
 * @property incarnation start of its process; 0 if it isn't known. A new one holds nothing of before.
 * @property draining it takes no new tasks and will leave.
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
) {
    /** True if [other] is the same process. */
    public fun isSameProcess(other: BackendInfo): Boolean =
        host == other.host && port == other.port && (incarnation == other.incarnation || other.incarnation == 0L)
}
