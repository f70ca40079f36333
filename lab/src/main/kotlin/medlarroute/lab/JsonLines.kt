package medlarroute.lab

import kotlinx.serialization.KSerializer
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.APPEND
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.WRITE

/**
 * Appends values to a file in the JSON Lines format.
 *
 * Each line is passed to the operating system before [write] returns, so that it survives if the process is killed.
 * Thread-safe.
 */
internal class JsonLinesWriter<T>(path: Path, private val serializer: KSerializer<T>) : AutoCloseable {
    private val file = FileChannel.open(path, CREATE, WRITE, APPEND)

    @Synchronized
    fun write(value: T) {
        val line = ByteBuffer.wrap("${labJson.encodeToString(serializer, value)}\n".toByteArray())
        while (line.hasRemaining()) file.write(line)
    }

    override fun close(): Unit = file.close()
}

/**
 * Reads a file of a [JsonLinesWriter]. An unterminated last line was left by a writer that was killed, and is skipped.
 */
internal fun <T> readJsonLines(path: Path, serializer: KSerializer<T>): List<T> {
    val text = Files.readString(path)
    val complete = text.substring(0, text.lastIndexOf('\n') + 1)
    return complete.lineSequence().filter { it.isNotBlank() }.map { labJson.decodeFromString(serializer, it) }.toList()
}
