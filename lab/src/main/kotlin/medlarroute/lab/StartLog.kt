package medlarroute.lab

import kotlinx.serialization.Serializable
import java.nio.file.Path

/** Type of an event of a backend stand-in. */
@Serializable
enum class StartLogEvent {
    /** A task started. */
    START,

    /** A started task ended, with [StartLogEntry.outcome]. */
    END,

    /** The backend server began to leave. It must get no new tasks after [ScenarioChecker]'s bound. */
    LEAVING,

    /** The backend server started, or stopped leaving, and accepts tasks. */
    SERVING,
}

/** How a started task ended. */
@Serializable
enum class TaskOutcome { DONE, FAILED, STOPPED, LEASE_LAPSED, CRASHED }

/**
 * One line of a start log.
 *
 * @property timeMs wall-clock time in milliseconds since the Unix epoch.
 * @property task id of the task; empty for events of the backend server itself.
 */
@Serializable
data class StartLogEntry(
    val event: StartLogEvent,
    val timeMs: Long,
    val backend: String,
    val task: String = "",
    val outcome: TaskOutcome? = null,
)

/**
 * Log of the task starts, task ends and state changes of all backend stand-ins of a process, in the JSON Lines format.
 * An entry survives if the process is killed after [write] has returned. Thread-safe.
 */
class StartLog(path: Path) : AutoCloseable {
    private val lines = JsonLinesWriter(path, StartLogEntry.serializer())

    fun write(entry: StartLogEntry): Unit = lines.write(entry)

    override fun close(): Unit = lines.close()

    companion object {
        fun read(path: Path): List<StartLogEntry> = readJsonLines(path, StartLogEntry.serializer())
    }
}
