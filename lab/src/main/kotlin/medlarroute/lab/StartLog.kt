package medlarroute.lab

import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.APPEND
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.WRITE

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
 * Log of all task starts of the backend stand-ins of a process: a file of JSON lines.
 *
 * Each line is handed to the operating system before [write] returns, so that it survives a kill of the process.
 * Thread-safe.
 */
class StartLog(path: Path) : AutoCloseable {
    private val file = FileChannel.open(path, CREATE, WRITE, APPEND)

    @Synchronized
    fun write(entry: StartLogEntry) {
        val line = ByteBuffer.wrap("${labJson.encodeToString(StartLogEntry.serializer(), entry)}\n".toByteArray())
        while (line.hasRemaining()) file.write(line)
    }

    override fun close(): Unit = file.close()

    companion object {
        /** Reads a start log. A last line without a line end is from a killed writer and is left out. */
        fun read(path: Path): List<StartLogEntry> =
            completeLines(path).map { labJson.decodeFromString(StartLogEntry.serializer(), it) }
    }
}

/** Lines of a file of JSON lines whose writer may have been killed in the middle of the last one. */
internal fun completeLines(path: Path): List<String> {
    val text = Files.readString(path)
    return text.substring(0, text.lastIndexOf('\n') + 1).lineSequence().filter { it.isNotBlank() }.toList()
}
