package medlarroute.core

/**
 * One incarnation of an entry instance, as it describes itself.
 *
 * @property leaving true once the instance drains; never false again in the same [incarnation].
 * @property sequence incremented with each change that the instance makes to its own description; 0 for a description
 * from the platform's list.
 */
public data class EntryMember(
    public val instance: InstanceId,
    public val failureDomain: FailureDomainId,
    public val incarnation: Incarnation,
    public val host: String,
    public val peerPort: Int,
    public val operatorsPort: Int = 0,
    public val leaving: Boolean = false,
    public val sequence: Long = 0,
) {
    /** This incarnation as the home of its tickets. */
    public val home: SubmissionRegistry.Home get() = SubmissionRegistry.Home(failureDomain, instance, incarnation)

    /** The newer of two descriptions of the same instance. Leaving is kept within an incarnation. */
    internal fun merge(other: EntryMember): EntryMember {
        if (incarnation != other.incarnation) return if (incarnation > other.incarnation) this else other
        val newer = if (other.sequence >= sequence) other else this
        return newer.copy(leaving = leaving || other.leaving)
    }
}

/** A backend server in the platform's list. [incarnation] is 0 if the list does not contain it. */
public data class ListedBackend(
    public val server: BackendServer,
    public val host: String,
    public val port: Int,
    public val leaving: Boolean = false,
    public val incarnation: Long = 0,
)

/** The platform's list of instances, as fetched. */
public data class InstanceList(
    public val entries: List<EntryMember>,
    public val backends: List<ListedBackend>,
)
