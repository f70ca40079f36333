package medlarroute.dispatch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What instances tell each other. */
@Serializable
public sealed interface PeerMessage {
    /** First message on a connection, in both directions. */
    @Serializable
    @SerialName("hello")
    public data class Hello(val member: PeerMember) : PeerMessage

    /**
     * Heartbeat.
     *
     * @property owned tokens of the failure domains that the sender owns.
     * @property released tokens of the failure domains that the sender has given up to whoever comes next.
     * @property loadPercent demand of running and waiting tasks, as a part of the room that the sender orders.
     * @property storeReachable whether the platform's store answers the sender.
     * @property intervalMs time until the sender's next heartbeat, in milliseconds.
     */
    @Serializable
    @SerialName("beat")
    public data class Beat(
        val configurationVersion: Long = 0,
        val owned: Map<String, Long> = emptyMap(),
        val released: Map<String, Long> = emptyMap(),
        val loadPercent: Int = 0,
        val storeReachable: Boolean = true,
        val leaving: Boolean = false,
        val intervalMs: Long = 100,
    ) : PeerMessage

    /** Asks an owner to run a job. Answered by one [Ended] or [Moved] with the same [number]. */
    @Serializable
    @SerialName("submit")
    public data class Submit(
        val number: Long,
        val job: JobRequest,
        val timeoutMs: Long,
        val waitedMs: Long,
        val progress: JobProgress? = null,
    ) : PeerMessage

    /** The caller of a submitted job has left. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(val number: Long, val job: JobId, val everyone: Boolean = false) : PeerMessage

    /** All requests of the sender that the receiver should have; sent when a connection opens. */
    @Serializable
    @SerialName("open")
    public data class OpenRequests(val numbers: List<Long>) : PeerMessage

    /** Result of a job. */
    @Serializable
    @SerialName("ended")
    public data class Ended(val number: Long, val job: JobId, val result: JobResult) : PeerMessage

    /** The sender does not own the backend servers any more; the job goes on with the next owner. */
    @Serializable
    @SerialName("moved")
    public data class Moved(val number: Long, val job: JobId, val progress: JobProgress) : PeerMessage

    /** A configuration that the receiver lacks. */
    @Serializable
    @SerialName("configuration")
    public data class Configuration(val configuration: DispatchConfiguration) : PeerMessage

    /** The sender's list of backend servers. */
    @Serializable
    @SerialName("backends")
    public data class Backends(val backends: List<BackendInfo>) : PeerMessage

    /** Instances that the sender knows. */
    @Serializable
    @SerialName("members")
    public data class Members(val members: List<PeerMember>) : PeerMessage
}
