package medlarroute.lab

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Role of an instance in the platform's instance list. */
@Serializable
enum class InstanceRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("backend")
    BACKEND,
}

/** State of an instance in the platform's instance list. */
@Serializable
enum class InstanceState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/**
 * Entry of the platform's instance list, as in docs/platform-protocol.md.
 *
 * @property port port for tasks of a backend server, port for peers of an entry instance.
 * @property incarnation incarnation number of the process; 0 if it is unknown.
 */
@Serializable
data class PlatformInstance(
    val id: String,
    val role: InstanceRole,
    val failureDomain: String,
    val host: String = "127.0.0.1",
    val port: Int,
    val state: InstanceState = InstanceState.LIVE,
    val rack: String = "",
    val slots: Int = 0,
    val cores: Int = 0,
    val accelerators: Int = 0,
    val incarnation: Long = 0,
    val callersPort: Int = 0,
    val operatorsPort: Int = 0,
)

/** Body of `GET /v1/instances`. */
@Serializable
data class PlatformInstances(val instances: List<PlatformInstance>)

/** The instance list with its earlier versions, so that it can be read as of an earlier time. Thread-safe. */
internal class LaggedInstanceList(
    initial: List<PlatformInstance>,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** A version of the list that became current at [since], measured from the creation of the [LaggedInstanceList]. */
    class Version(val since: Duration, val number: Long, val instances: List<PlatformInstance>) {
        val etag: String get() = "\"list-$number\""
    }

    private val origin = clock.markNow()
    private val versions = ArrayDeque(listOf(Version(-Duration.INFINITE, 1, initial)))

    @Synchronized
    fun current(): List<PlatformInstance> = versions.last().instances

    /** The list as it was [lag] ago. */
    @Synchronized
    fun read(lag: Duration): Version {
        val until = origin.elapsedNow() - lag
        return versions.last { it.since <= until }
    }

    @Synchronized
    fun put(instance: PlatformInstance): Unit = addVersion { list -> list.filter { it.id != instance.id } + instance }

    @Synchronized
    fun remove(id: String): Unit = addVersion { list -> list.filter { it.id != id } }

    private fun addVersion(edit: (List<PlatformInstance>) -> List<PlatformInstance>) {
        val last = versions.last()
        versions.addLast(Version(origin.elapsedNow(), last.number + 1, edit(last.instances)))
        // The first version is kept, since a lag may reach back to before the start.
        while (versions.size > MAX_VERSIONS) versions.removeAt(1)
    }

    private companion object {
        const val MAX_VERSIONS = 1_000
    }
}
