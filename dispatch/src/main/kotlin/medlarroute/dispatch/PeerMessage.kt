package medlarroute.dispatch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import medlarroute.dispatch.evacuation.EvacuatedDomains

/** Messages between instances. */
@Serializable
public sealed interface PeerMessage {
    /** First message on a connection, in both directions. */
    @Serializable
    @SerialName("hello")
    public data class Hello(val member: PeerMember) : PeerMessage

    /**
     * Heartbeat.
     *
     * @property owned failure domains that the sender owns, with their tokens.
     * @property released failure domains that the sender has released for the next owner, with their tokens.
     * @property successors instances to which the sender has released them.
     * @property loadPercent demand of running and queued tasks as a percentage of the capacity under the sender's
     *   control.
     * @property ownerLoads [loadPercent] of the other owners by instance, as an owner knows it. Other instances hear
     *   distant owners less often than their own.
     * @property storeReachable whether the platform's store responds to the sender.
     * @property intervalMs time until the sender's next heartbeat, in milliseconds.
     * @property sentAtMs time on the sender's clock, see [PeerClock].
     * @property renewal the sender's open requests at the receiver; null if there are none.
     * @property evacuationVersion version of the sender's [EvacuatedDomains]; 0 if it has only known the empty set.
     * @property missing instances that the sender, an owner, has not heard for a while, see [MemberRemoval].
     * @property heard instances that another owner misses and the sender hears.
     */
    @Serializable
    @SerialName("beat")
    public data class Heartbeat(
        val configurationVersion: Long = 0,
        val owned: Map<String, Long> = emptyMap(),
        val released: Map<String, Long> = emptyMap(),
        val successors: Map<String, String> = emptyMap(),
        val loadPercent: Int = 0,
        val ownerLoads: Map<String, Int> = emptyMap(),
        val storeReachable: Boolean = true,
        val leaving: Boolean = false,
        val intervalMs: Long = 100,
        val sentAtMs: Long = 0,
        val renewal: Renewal? = null,
        val evacuationVersion: Long = 0,
        val missing: List<String> = emptyList(),
        val heard: List<String> = emptyList(),
    ) : PeerMessage {
        /** The content of which a change is reported at once. */
        internal fun withoutLoads(): Heartbeat = copy(loadPercent = 0, ownerLoads = emptyMap())
    }

    /**
     * Asks an owner to run a job. Answered by one [Ended] or [Moved] with the same [number].
     *
     * @property timeoutMs how long the caller still waits.
     * @property waitedMs how long the caller has waited already.
     * @property progress progress of the job under a previous owner; null if no previous owner can have started a task.
     * @property heardAtMs [Heartbeat.sentAtMs] of the receiver's last heartbeat that the sender has received; null if
     *   it has received none.
     * @property unreadMs how long the request may have waited before the sender has read it, in addition to [waitedMs].
     */
    @Serializable
    @SerialName("submit")
    public data class Submit(
        val number: Long,
        val job: JobRequest,
        val timeoutMs: Long,
        val waitedMs: Long,
        val progress: JobProgress? = null,
        val heardAtMs: Long? = null,
        val unreadMs: Long = 0,
    ) : PeerMessage

    /** Withdraws a submitted job whose caller has disconnected. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(val number: Long, val job: JobId) : PeerMessage

    /** Jobs that were cancelled for all instances. Sent at once, and again when a connection opens. */
    @Serializable
    @SerialName("cancelled")
    public data class Cancelled(val jobs: List<JobId>) : PeerMessage

    /** Numbers of all requests that the sender has open at the receiver. Sent when a connection opens. */
    @Serializable
    @SerialName("open")
    public data class OpenRequests(val numbers: List<Long>) : PeerMessage

    /** Result of a job. */
    @Serializable
    @SerialName("ended")
    public data class Ended(val number: Long, val job: JobId, val result: JobResult) : PeerMessage

    /**
     * The sender no longer runs the job, since it owns no backend servers or had lost contact with the receiver. The
     * job has to be submitted again.
     *
     * @property openAt owner at which the job is open; null if none is known.
     */
    @Serializable
    @SerialName("moved")
    public data class Moved(
        val number: Long,
        val job: JobId,
        val progress: JobProgress,
        val openAt: String? = null,
    ) : PeerMessage

    /**
     * A configuration that the receiver lacks, or evacuated failure domains that it does not know of.
     *
     * @property evacuated null if the sender is of an earlier version of the program.
     */
    @Serializable
    @SerialName("configuration")
    public data class Configuration(
        val configuration: DispatchConfiguration,
        val evacuated: EvacuatedDomains? = null,
    ) : PeerMessage

    /** The sender's list of backend servers, as of [version] of the store. */
    @Serializable
    @SerialName("backends")
    public data class Backends(val backends: List<BackendInfo>, val version: Long = 0) : PeerMessage

    /** What the sender knows of tasks that may have crashed backend servers. */
    @Serializable
    @SerialName("histories")
    public data class Histories(val histories: List<TaskHistory>) : PeerMessage

    /**
     * What the receiver must not run.
     *
     * @property tasks tasks of which a run goes on at the sender's backend servers, although its job is unknown or has
     *   ended. Instances of earlier versions require it.
     * @property running jobs that are open at the sender and have runs.
     * @property waiting jobs that are open at the sender and have no run.
     * @property areAll see [OpenJobs.areAll].
     * @property wantsJobs whether the sender waits for all open jobs of the receiver.
     */
    @Serializable
    @SerialName("active")
    public data class ActiveRuns(
        val tasks: List<TaskKey>,
        val running: List<JobId> = emptyList(),
        val waiting: List<JobId> = emptyList(),
        val areAll: Boolean = false,
        val wantsJobs: Boolean = false,
    ) : PeerMessage {
        internal constructor(jobs: OpenJobs) : this(emptyList(), jobs.running, jobs.waiting, jobs.areAll)

        internal val jobs: OpenJobs get() = OpenJobs(running, waiting, areAll)
    }

    /** All instances that the sender knows. */
    @Serializable
    @SerialName("members")
    public data class Members(val members: List<PeerMember>) : PeerMessage
}

/**
 * Requests that an instance has open at an owner, which may let their runs continue for a limited time from now on.
 *
 * @property requests numbers of the requests.
 * @property heardAtMs [PeerMessage.Heartbeat.sentAtMs] of the owner's last heartbeat that the instance has received.
 *   The time limit begins then, so that it does not depend on how long the messages take.
 */
@Serializable
public data class Renewal(val requests: List<Long>, val heardAtMs: Long)
