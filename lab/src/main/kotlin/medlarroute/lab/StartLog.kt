package medlarroute.lab

import kotlinx.serialization.Serializable
import java.nio.file.Path

/** What happened at a backend stand-in. */
@Serializable
enum class StartLogEvent {
    /** A task started. */
    START,

    /** A started task ended; [StartLogEntry.outcome] says how. */
    END,

    /** The backend server began to leave and must get no new work after the bound. */
    LEAVING,

    /** The backend server serves again, or for the first time. */
    SERVING,
}

/** How a started task ended. */
@Serializable
enum class TaskOutcome { DONE, FAILED, STOPPED, LEASE_LAPSED, CRASHED }

/**
 * One line of a start log.
 *
 * @property timeMs wall clock of the machine, in milliseconds since 1970.
 * @property task id of the task; empty for events that concern the backend server.
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
 * Log of all task starts of the backend stand-ins of a process: a file of JSON lines. A line survives a kill of the
 * process once [write] has returned. Thread-safe.
 */
class StartLog(path: Path) : AutoCloseable {
    private val lines = JsonLinesWriter(path, StartLogEntry.serializer())

    fun write(entry: StartLogEntry): Unit = lines.write(entry)

    override fun close(): Unit = lines.close()

    companion object {
        /** Reads a start log. */
        fun read(path: Path): List<StartLogEntry> = readJsonLines(path, StartLogEntry.serializer())
    }
}
