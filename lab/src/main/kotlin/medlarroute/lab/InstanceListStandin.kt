package medlarroute.lab

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Role of an instance in the platform's list. */
@Serializable
enum class InstanceRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("backend")
    BACKEND,
}

/** State of an instance in the platform's list. */
@Serializable
enum class InstanceState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/**
 * Entry of the platform's list, after docs/platform-protocol.md.
 *
 * @property port tasks' port of a backend server, peers' port of an entry instance.
 * @property incarnation number of the process life; 0: not told.
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

/** The list of instances and its past, so that it can be read with a lag. Thread-safe. */
internal class InstanceListStandin(
    initial: List<PlatformInstance>,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** The list as it was from [since] on. */
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
    fun put(instance: PlatformInstance): Unit = change { list -> list.filter { it.id != instance.id } + instance }

    @Synchronized
    fun remove(id: String): Unit = change { list -> list.filter { it.id != id } }

    private fun change(edit: (List<PlatformInstance>) -> List<PlatformInstance>) {
        val last = versions.last()
        versions.addLast(Version(origin.elapsedNow(), last.number + 1, edit(last.instances)))
        // The first version stays, since a lag may reach back before the start.
        while (versions.size > MAX_VERSIONS) versions.removeAt(1)
    }

    private companion object {
        const val MAX_VERSIONS = 1_000
    }
}
